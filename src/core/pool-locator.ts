/** Where the tenants of a pool run, as their routers are told. Pure. */
import type { Demand } from './demand.js';
import type { TenantSpec } from './documents.js';
import type { EngineLedger } from './engine-ledger.js';
import type { LoadTimes } from './load-times.js';
import type { TenantLocation } from './pool-messages.js';
import { replicaSpecOf } from './replica-spec.js';

/** What is still to come of an overdue load, as a share of the time it has taken. */
const OVERDUE_SHARE = 0.5;
/** Milliseconds that routers are told to wait when no engine has room. */
const NO_CAPACITY_RETRY_MS = 2_000;

/** A load that failed. */
export interface LoadFailure {
  /** Milliseconds before which it is not tried again. */
  readonly until: number;
}

/** What is read of the pool. */
export interface LocatedPool {
  readonly pool: string;
  readonly epoch: number;
  readonly engines: ReadonlyMap<string, EngineLedger>;
  readonly loadTimes: LoadTimes;
  failure(tenant: string): LoadFailure | undefined;
  specOf(tenant: string): TenantSpec | undefined;
  /** Replicas that the pool may have. */
  allowed(tenant: string): number;
  countReplicas(tenant: string): number;
}

/** Tells where tenants run. */
export class PoolLocator {
  constructor(private readonly pool: LocatedPool) {}

  /** Where a tenant runs, or when it will. */
  locate(name: string, demand: Demand, now: number): TenantLocation {
    const { pool, epoch } = this.pool;
    const routers = Math.max(1, demand.size);
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
    if (!this.lacksRoom(name, demand, now)) return { ...base, state: 'cold', replicas };
    return { ...base, state: 'no_capacity', replicas, retryAfterMs: NO_CAPACITY_RETRY_MS };
  }

  private readyInMs(name: string, now: number): number | undefined {
    for (const engine of this.pool.engines.values()) {
      const replica = engine.replicas.get(name);
      if (replica?.state !== 'ordered' && replica?.state !== 'loading') continue;
      const expected = this.pool.loadTimes.expected(replica.tier, replica.spec.modelBytes);
      const elapsed = now - replica.orderedAt;
      // An overdue load, as with a stalled weight store: the longer it has taken, the longer it will.
      return elapsed <= expected ? expected - elapsed : elapsed * OVERDUE_SHARE;
    }
    return undefined;
  }

  /** Whether waiting requests wait in vain now. */
  private lacksRoom(name: string, demand: Demand, now: number): boolean {
    const tenant = this.pool.specOf(name);
    if (tenant === undefined || this.pool.allowed(name) === 0) return true;
    if (demand.waiting(now) === 0 || this.isMakingRoom()) return false;
    if (this.pool.countReplicas(name) >= this.pool.allowed(name)) return false;
    const spec = replicaSpecOf(tenant);
    return ![...this.pool.engines.values()].some(
      (engine) => engine.takesLoads() && engine.usedBytesWith(spec) <= engine.capacityBytes,
    );
  }

  private isMakingRoom(): boolean {
    return [...this.pool.engines.values()].some(
      (engine) =>
        !engine.sealed ||
        [...engine.replicas.values()].some((replica) => replica.state === 'unloading'),
    );
  }
}
