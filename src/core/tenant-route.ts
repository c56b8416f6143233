/** One router's state of one tenant: queue, rate limit, locations and replicas. Performs no I/O. */
import type { PoolRoute, RoutedRequest } from './router-messages.js';
import { isRefusal, type TenantLocation } from './pool-messages.js';
import { RequestQueue } from './request-queue.js';
import type { ReplicaView } from './replica-choice.js';
import { TokenBucket } from './token-bucket.js';
import type { TenantSpec } from './documents.js';

/** Milliseconds over which the weight of a reported load decays to zero. */
const REPORTED_LOAD_LIFETIME_MS = 2_000;
/** Milliseconds for which a replica gets no requests after it refused one as busy. */
const BUSY_PAUSE_MS = 20;

interface ReplicaState {
  inFlight: number;
  reportedLoad: number;
  reportedAt: number;
  pausedUntil: number;
}

/** One tenant at one router. */
export class TenantRoute {
  readonly queue = new RequestQueue<RoutedRequest>();
  /** Requests that were sent and have not ended yet. */
  inFlight = 0;
  /** Time of the last wake; `lastUsedAt` is the time of the last request. Both in Unix milliseconds. */
  lastWakeAt = 0;
  lastUsedAt: number;
  private readonly bucket: TokenBucket;
  private readonly locations = new Map<string, TenantLocation>();
  private readonly replicas = new Map<string, ReplicaState>();

  constructor(spec: TenantSpec, now: number) {
    this.lastUsedAt = now;
    this.bucket = new TokenBucket(spec.limits.requestsPerSecond, burstOf(spec, 1), now);
  }

  /** Number of routers that share the tenant's limits, including this one. */
  routers(): number {
    const counts = [...this.locations.values()].map((location) => location.routers);
    return Math.max(1, ...counts);
  }

  /** Takes one request from this router's share of the tenant's rate. Returns 0 if allowed, else the milliseconds to wait. */
  takeRateToken(spec: TenantSpec, now: number): number {
    const routers = this.routers();
    this.bucket.setRate(spec.limits.requestsPerSecond / routers, burstOf(spec, routers), now);
    return this.bucket.take(now) ? 0 : Math.max(1, this.bucket.waitMs(now));
  }

  /** Stores a location. Returns false if the stored one of the same pool is at least as new. */
  setLocation(location: TenantLocation): boolean {
    const known = this.locations.get(location.pool);
    if (known !== undefined && !isNewer(location, known)) return false;
    this.locations.set(location.pool, location);
    return true;
  }

  /** Deletes a pool's location. */
  dropLocation(pool: string): void {
    this.locations.delete(pool);
  }

  /** Deletes the locations of pools that no longer have a share of the tenant. */
  retainPools(routes: readonly PoolRoute[]): void {
    const names = new Set(routes.map((route) => route.pool));
    for (const pool of this.locations.keys()) if (!names.has(pool)) this.locations.delete(pool);
  }

  /** The newest location received from a pool. */
  locationOf(pool: string): TenantLocation | undefined {
    return this.locations.get(pool);
  }

  /** Removes an engine from all locations. Returns whether any location contained it. */
  removeEngine(engine: string): boolean {
    let found = false;
    for (const [pool, location] of this.locations) {
      const replicas = location.replicas.filter((replica) => replica.engine !== engine);
      if (replicas.length === location.replicas.length) continue;
      found = true;
      const state = replicas.length > 0 ? location.state : 'cold';
      this.locations.set(pool, { ...location, state, replicas });
    }
    return found;
  }

  /** Loaded replicas that can take a request now. */
  usableReplicas(now: number, excluded: ReadonlySet<string>): ReplicaView[] {
    const views: ReplicaView[] = [];
    for (const location of this.locations.values()) {
      if (location.state !== 'loaded') continue;
      for (const replica of location.replicas) {
        const state = this.replicas.get(replica.engine);
        if (excluded.has(replica.engine) || (state?.pausedUntil ?? 0) > now) continue;
        const inFlight = state?.inFlight ?? 0;
        const reportedLoad = decayedLoad(state, now);
        views.push({ pool: location.pool, ...replica, inFlight, reportedLoad });
      }
    }
    return views;
  }

  /** Whether any pool is known to hold a loaded replica. */
  isLoaded(): boolean {
    return [...this.locations.values()].some((location) => location.state === 'loaded');
  }

  /** Counts a request sent to a replica. */
  countSent(engine: string): void {
    this.inFlight += 1;
    this.replicaState(engine).inFlight += 1;
  }

  /** Counts a request that ended at a replica. */
  countEnded(engine: string): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    const state = this.replicaState(engine);
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (state.inFlight === 0 && state.pausedUntil === 0) this.replicas.delete(engine);
  }

  /** Stores a load that a replica reported with an answer. */
  setReportedLoad(engine: string, load: number, now: number): void {
    const state = this.replicaState(engine);
    state.reportedLoad = load;
    state.reportedAt = now;
  }

  /** Excludes a replica from selection for `BUSY_PAUSE_MS`. */
  pauseReplica(engine: string, now: number): void {
    this.replicaState(engine).pausedUntil = now + BUSY_PAUSE_MS;
  }

  private replicaState(engine: string): ReplicaState {
    const known = this.replicas.get(engine);
    if (known !== undefined) return known;
    const initial = { inFlight: 0, reportedLoad: 0, reportedAt: 0, pausedUntil: 0 };
    this.replicas.set(engine, initial);
    return initial;
  }

  /** The pool whose owner is notified of waiting requests: preferably one that has not refused the tenant. */
  wakeTarget(pools: readonly PoolRoute[]): PoolRoute | undefined {
    const owned = pools.filter((pool) => pool.owner !== '');
    const accepting = owned.find((pool) => {
      const location = this.locationOf(pool.pool);
      return location === undefined || !isRefusal(location);
    });
    return accepting ?? owned[0];
  }
}

function burstOf(spec: TenantSpec, routers: number): number {
  return Math.max(1, spec.limits.requestsPerSecond / routers);
}

function decayedLoad(state: ReplicaState | undefined, now: number): number {
  if (state === undefined) return 0;
  const age = (now - state.reportedAt) / REPORTED_LOAD_LIFETIME_MS;
  return Math.max(0, state.reportedLoad * (1 - age));
}

function isNewer(a: TenantLocation, b: TenantLocation): boolean {
  return a.epoch > b.epoch || (a.epoch === b.epoch && a.version > b.version);
}
