/** What one router knows and holds of one tenant. Pure. */
import type { PoolRoute, RoutedRequest } from './router-messages.js';
import { isRefusal, type TenantLocation } from './pool-messages.js';
import { RequestQueue } from './request-queue.js';
import type { ReplicaView } from './replica-choice.js';
import { TokenBucket } from './token-bucket.js';
import type { TenantSpec } from './documents.js';

/** Milliseconds after which a reported load figure counts for nothing. */
const LOAD_FIGURE_LIFETIME_MS = 2_000;
/** Milliseconds that a replica which refused as busy is passed over. */
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
  /** Requests sent and not ended. */
  inFlight = 0;
  /** Unix milliseconds of the last wake and of the last request. */
  lastWakeAt = 0;
  lastUsedAt: number;
  private readonly bucket: TokenBucket;
  private readonly locations = new Map<string, TenantLocation>();
  private readonly replicas = new Map<string, ReplicaState>();

  constructor(spec: TenantSpec, now: number) {
    this.lastUsedAt = now;
    this.bucket = new TokenBucket(spec.limits.requestsPerSecond, burstOf(spec, 1), now);
  }

  /** Routers that share the tenant's limits, this one among them. */
  routers(): number {
    const counts = [...this.locations.values()].map((location) => location.routers);
    return Math.max(1, ...counts);
  }

  /** Takes one request from this router's part of the tenant's rate; 0 if granted, else milliseconds to wait. */
  takeRate(spec: TenantSpec, now: number): number {
    const routers = this.routers();
    this.bucket.setRate(spec.limits.requestsPerSecond / routers, burstOf(spec, routers), now);
    return this.bucket.take(now) ? 0 : Math.max(1, this.bucket.waitMs(now));
  }

  /** Takes in a location, unless a newer one of the same pool is known. */
  setLocation(location: TenantLocation): boolean {
    const known = this.locations.get(location.pool);
    if (known !== undefined && !isNewer(location, known)) return false;
    this.locations.set(location.pool, location);
    return true;
  }

  /** Forgets a pool's location. */
  dropLocation(pool: string): void {
    this.locations.delete(pool);
  }

  /** Keeps only the pools that still have a part of the tenant. */
  keepPools(routes: readonly PoolRoute[]): void {
    const names = new Set(routes.map((route) => route.pool));
    for (const pool of this.locations.keys()) if (!names.has(pool)) this.locations.delete(pool);
  }

  /** The last word on a pool. */
  locationOf(pool: string): TenantLocation | undefined {
    return this.locations.get(pool);
  }

  /** Takes an engine out of all locations; true if it was in one. */
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

  /** Loaded replicas that may be chosen now. */
  usableReplicas(now: number, avoid: ReadonlySet<string>): ReplicaView[] {
    const views: ReplicaView[] = [];
    for (const location of this.locations.values()) {
      if (location.state !== 'loaded') continue;
      for (const replica of location.replicas) {
        const state = this.replicas.get(replica.engine);
        if (avoid.has(replica.engine) || (state?.pausedUntil ?? 0) > now) continue;
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

  /** Counts a request that has ended at a replica. */
  countEnded(engine: string): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    const state = this.replicaState(engine);
    state.inFlight = Math.max(0, state.inFlight - 1);
    if (state.inFlight === 0 && state.pausedUntil === 0) this.replicas.delete(engine);
  }

  /** Takes in a load figure that rode on an answer. */
  setReportedLoad(engine: string, load: number, now: number): void {
    const state = this.replicaState(engine);
    state.reportedLoad = load;
    state.reportedAt = now;
  }

  /** Passes a replica over for a moment. */
  pauseReplica(engine: string, now: number): void {
    this.replicaState(engine).pausedUntil = now + BUSY_PAUSE_MS;
  }

  private replicaState(engine: string): ReplicaState {
    const known = this.replicas.get(engine);
    if (known !== undefined) return known;
    const fresh = { inFlight: 0, reportedLoad: 0, reportedAt: 0, pausedUntil: 0 };
    this.replicas.set(engine, fresh);
    return fresh;
  }

  /** The pool whose owner is told that requests wait: one that has not refused, if there is one. */
  wakeTarget(pools: readonly PoolRoute[]): PoolRoute | undefined {
    const owned = pools.filter((pool) => pool.owner !== '');
    const helpful = owned.find((pool) => {
      const location = this.locationOf(pool.pool);
      return location === undefined || !isRefusal(location);
    });
    return helpful ?? owned[0];
  }
}

function burstOf(spec: TenantSpec, routers: number): number {
  return Math.max(1, spec.limits.requestsPerSecond / routers);
}

function decayedLoad(state: ReplicaState | undefined, now: number): number {
  if (state === undefined) return 0;
  const age = (now - state.reportedAt) / LOAD_FIGURE_LIFETIME_MS;
  return Math.max(0, state.reportedLoad * (1 - age));
}

function isNewer(a: TenantLocation, b: TenantLocation): boolean {
  return a.epoch > b.epoch || (a.epoch === b.epoch && a.version > b.version);
}
