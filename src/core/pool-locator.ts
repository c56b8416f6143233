/** Computes the locations of a pool's tenants that the owner sends to routers. Pure. */
import type { TenantDemand } from './tenant-demand.js';
import type { TenantSpec } from './documents.js';
import type { EngineLedger } from './engine-ledger.js';
import type { LoadTimeEstimator } from './load-time-estimator.js';
import type { TenantLocation } from './pool-messages.js';
import { replicaSpecOf } from './replica-spec.js';

/** Estimated remaining time of an overdue load, as a share of its elapsed time. */
const OVERDUE_REMAINING_SHARE = 0.5;
/** Retry time in milliseconds that routers receive when no engine has free memory. */
const NO_CAPACITY_RETRY_MS = 2_000;

/** A load that failed. */
export interface LoadFailure {
  /** Time before which the load is not retried, in Unix milliseconds. */
  readonly until: number;
}

/** The part of a pool's state that the locator reads. */
export interface LocatedPool {
  readonly pool: string;
  readonly epoch: number;
  readonly engines: ReadonlyMap<string, EngineLedger>;
  readonly loadTimes: LoadTimeEstimator;
  failure(tenant: string): LoadFailure | undefined;
  specOf(tenant: string): TenantSpec | undefined;
  /** Maximum number of replicas of the tenant in this pool. */
  replicaLimit(tenant: string): number;
  countReplicas(tenant: string): number;
}

/** Locates tenants in a pool. */
export class PoolLocator {
  constructor(private readonly pool: LocatedPool) {}

  /** Returns where a tenant runs, or when it is expected to run. */
  locate(name: string, demand: TenantDemand, now: number): TenantLocation {
    const { pool, epoch } = this.pool;
    const routers = Math.max(1, demand.routerCount);
    const base = { pool, epoch, version: 0, tenant: name, routers, retryAfterMs: 0, readyInMs: 0 };
    const replicas = [...this.pool.engines.values()].flatMap((engine) => {
      const replica = engine.replicas.get(name);
      if (replica?.state !== 'loaded' || !engine.takesLoads()) return [];
      const share = Math.max(1, Math.ceil(replica.spec.slots / routers));
      return [{ engine: engine.address, incarnation: engine.incarnation, share }];
    });
    if (replicas.length > 0) return { ...base, state: 'loaded', replicas };
    const readyInMs = this.readyInMs(name, now);
    if (readyInMs !== undefined) return { ...base, state: 'loading', replicas, readyInMs };
    const failure = this.pool.failure(name);
    if (failure !== undefined && failure.until > now) {
      return { ...base, state: 'load_failed', replicas, retryAfterMs: failure.until - now };
    }
    if (!this.lacksCapacity(name, demand, now)) return { ...base, state: 'cold', replicas };
    return { ...base, state: 'no_capacity', replicas, retryAfterMs: NO_CAPACITY_RETRY_MS };
  }

  private readyInMs(name: string, now: number): number | undefined {
    for (const engine of this.pool.engines.values()) {
      const replica = engine.replicas.get(name);
      if (replica?.state !== 'ordered' && replica?.state !== 'loading') continue;
      const expected = this.pool.loadTimes.expected(replica.tier, replica.spec.modelBytes);
      const elapsed = now - replica.orderedAt;
      // An overdue load, for example from a stalled weight store, is assumed to need more time the longer it has taken.
      return elapsed <= expected ? expected - elapsed : elapsed * OVERDUE_REMAINING_SHARE;
    }
    return undefined;
  }

  /** Whether waiting requests cannot be served now because the pool may not or cannot load another replica. */
  private lacksCapacity(name: string, demand: TenantDemand, now: number): boolean {
    const tenant = this.pool.specOf(name);
    if (tenant === undefined || this.pool.replicaLimit(name) === 0) return true;
    if (demand.waiting(now) === 0 || this.isFreeingCapacity()) return false;
    if (this.pool.countReplicas(name) >= this.pool.replicaLimit(name)) return false;
    const spec = replicaSpecOf(tenant);
    return ![...this.pool.engines.values()].some(
      (engine) => engine.takesLoads() && engine.usedBytesWith(spec) <= engine.capacityBytes,
    );
  }

  private isFreeingCapacity(): boolean {
    return [...this.pool.engines.values()].some(
      (engine) =>
        !engine.sealed ||
        [...engine.replicas.values()].some((replica) => replica.state === 'unloading'),
    );
  }
}
