/** An engine in the experiments' discrete-event model: holdings, caches and load times. */
import { memoryOf } from '../core/engine-ledger.js';
import type {
  CheckpointTier,
  EngineOrder,
  EngineReport,
  OrderFence,
  ReplicaSpec,
  ReplicaState,
} from '../engines/engine-client.js';

/** Models in the memory cache of a machine, and on its disk. */
const MEMORY_CACHE_MODELS = 3;
const DISK_CACHE_MODELS = 12;

/** A replica on a simulated engine. Times are milliseconds of the simulation. */
export interface SimulatedReplica {
  readonly spec: ReplicaSpec;
  state: ReplicaState;
  inFlight: number;
  /** Since when it has been loaded and without a request; undefined while it is in use. */
  idleSince: number | undefined;
}

/** What follows from an order. */
export type OrderOutcome =
  | { readonly type: 'none' }
  | { readonly type: 'load'; readonly replica: SimulatedReplica; readonly tier: CheckpointTier }
  | { readonly type: 'released'; readonly replica: SimulatedReplica };

/** One engine. */
export class SimulatedEngine {
  readonly replicas = new Map<string, SimulatedReplica>();
  private readonly memoryCache: string[] = [];
  private readonly diskCache: string[] = [];
  private epoch = 0;
  private sequence = 0;
  private number = 0;

  constructor(
    readonly address: string,
    private readonly capacityBytes: number,
  ) {}

  /** Takes an order of the one owner that there is in the model. */
  take(fence: OrderFence, order: EngineOrder): OrderOutcome {
    this.epoch = fence.epoch;
    this.sequence = fence.sequence;
    if (order.type === 'load') return this.startLoad(order.replica);
    if (order.type === 'unload') return this.startUnload(order.tenant);
    return { type: 'none' };
  }

  /** A load has ended. */
  finishLoad(replica: SimulatedReplica, now: number): void {
    replica.state = 'loaded';
    replica.idleSince = now;
    remember(this.memoryCache, replica.spec.model, MEMORY_CACHE_MODELS);
    remember(this.diskCache, replica.spec.model, DISK_CACHE_MODELS);
  }

  /** Releases a replica whose unload was ordered, once nothing runs on it. */
  releaseIfDrained(replica: SimulatedReplica): boolean {
    if (replica.state !== 'unloading' || replica.inFlight > 0) return false;
    return this.replicas.delete(replica.spec.tenant);
  }

  /** Accelerator memory in use. */
  usedBytes(): number {
    return memoryOf([...this.replicas.values()].map((replica) => replica.spec));
  }

  /** What the engine says of itself. */
  report(now: number): EngineReport {
    this.number += 1;
    const holdings = [...this.replicas.values()].map((replica) => ({
      replica: replica.spec,
      state: replica.state,
      inFlight: replica.inFlight,
      idleMs: replica.idleSince === undefined ? 0 : now - replica.idleSince,
    }));
    const { epoch, sequence, number, capacityBytes } = this;
    const cached = [
      ...this.diskCache.map((model) => ({ model, tier: 'disk' as const })),
      ...this.memoryCache.map((model) => ({ model, tier: 'memory' as const })),
    ];
    const fixed = { incarnation: this.address, leaving: false };
    return { ...fixed, epoch, sequence, number, capacityBytes, holdings, cached };
  }

  private startLoad(spec: ReplicaSpec): OrderOutcome {
    const tier = this.tierOf(spec.model);
    const replica = { spec, state: 'loading' as const, inFlight: 0, idleSince: undefined };
    this.replicas.set(spec.tenant, replica);
    return { type: 'load', replica, tier };
  }

  private startUnload(tenant: string): OrderOutcome {
    const replica = this.replicas.get(tenant);
    if (replica === undefined) return { type: 'none' };
    replica.state = 'unloading';
    return this.releaseIfDrained(replica) ? { type: 'released', replica } : { type: 'none' };
  }

  private tierOf(model: string): CheckpointTier {
    for (const replica of this.replicas.values()) {
      if (replica.spec.model === model && replica.state === 'loaded') return 'resident';
    }
    if (this.memoryCache.includes(model)) return 'memory';
    return this.diskCache.includes(model) ? 'disk' : 'remote';
  }
}

/** Adds to a cache that forgets what was used longest ago. */
function remember(cache: string[], model: string, size: number): void {
  const index = cache.indexOf(model);
  if (index >= 0) cache.splice(index, 1);
  cache.push(model);
  if (cache.length > size) cache.shift();
}
