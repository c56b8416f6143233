/**
 * What a pool's owner counts for one engine. Replicas and memory count from the
 * moment a load is decided until the engine confirms the unload: rather too
 * much than too little. Pure.
 */
import type {
  CheckpointTier,
  EngineOrder,
  EngineReport,
  Holding,
  ReplicaSpec,
} from '../engines/engine-client.js';

/** A replica as the owner counts it. */
export interface CountedReplica {
  readonly spec: ReplicaSpec;
  state: 'ordered' | 'loading' | 'loaded' | 'unloading' | 'failed';
  /** Sequence of the last order about this replica. */
  sequence: number;
  readonly orderedAt: number;
  readonly tier: CheckpointTier;
  inFlight: number;
  /** Unix milliseconds of the last use that is known of. */
  lastUsedAt: number;
}

/** An order on its way. */
export interface PendingOrder {
  readonly sequence: number;
  readonly order: EngineOrder;
}

/** What a report shows that was not known before. */
export interface ReportNews {
  /** Replicas that have become loaded. */
  readonly loaded: CountedReplica[];
  /** Tenants that are used again after an idle time. */
  readonly woken: { readonly tenant: string; readonly idleMs: number }[];
}

/** The owner's view of one engine. */
export class EngineLedger {
  /** Whether this engine has answered a seal in the owner's epoch and incarnation. */
  sealed = false;
  /** The engine's own word, or the platform's list. */
  private saysLeaving = false;
  listedLeaving = false;
  /** False while the engine's reports are cut off. */
  reachable = true;
  capacityBytes = 0;
  readonly replicas = new Map<string, CountedReplica>();
  readonly cached = new Map<string, CheckpointTier>();
  private lastSequence = 0;
  private lastReport = 0;

  constructor(
    readonly address: string,
    public incarnation: string,
  ) {}

  /** The next order's sequence. */
  nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  /** Starts over for a new incarnation: the old process and all that it held are gone. */
  restart(incarnation: string): void {
    this.incarnation = incarnation;
    this.sealed = false;
    this.saysLeaving = false;
    this.replicas.clear();
    this.cached.clear();
    this.lastReport = 0;
  }

  /** Memory that is counted as used: each base model once, and all adapters. */
  usedBytes(): number {
    return memoryOf([...this.replicas.values()].map((replica) => replica.spec));
  }

  /** Memory that is used once `spec` is loaded too. */
  usedBytesWith(spec: ReplicaSpec): number {
    return memoryOf([...[...this.replicas.values()].map((replica) => replica.spec), spec]);
  }

  /** Whether `spec` fits once the unloads that are under way have ended. */
  fitsAfterUnloads(spec: ReplicaSpec): boolean {
    const staying = [...this.replicas.values()].filter((replica) => replica.state !== 'unloading');
    if (staying.length === this.replicas.size) return false;
    return memoryOf([...staying.map((replica) => replica.spec), spec]) <= this.capacityBytes;
  }

  /** Changes when a replica comes, goes or changes state; load figures do not count. */
  stateSignature(): string {
    const states = [...this.replicas].map(([tenant, replica]) => `${tenant}=${replica.state}`);
    return `${this.incarnation}|${this.takesLoads()}|${states.join(',')}`;
  }

  /** Where the checkpoint of a model is nearest. */
  tierOf(model: string): CheckpointTier {
    for (const replica of this.replicas.values()) {
      if (replica.spec.model === model && replica.state === 'loaded') return 'resident';
    }
    return this.cached.get(model) ?? 'remote';
  }

  /** Whether the engine is about to go. */
  get leaving(): boolean {
    return this.saysLeaving || this.listedLeaving;
  }

  /** The engine has refused an order because it is about to go. */
  markLeaving(): void {
    this.saysLeaving = true;
  }

  /** Whether new loads may be ordered. */
  takesLoads(): boolean {
    return this.sealed && this.reachable && !this.leaving;
  }

  /** Counts a load from the moment that it is decided. */
  countLoad(spec: ReplicaSpec, sequence: number, now: number): void {
    this.replicas.set(spec.tenant, {
      spec,
      state: 'ordered',
      sequence,
      orderedAt: now,
      tier: this.tierOf(spec.model),
      inFlight: 0,
      lastUsedAt: now,
    });
  }

  /** Marks a replica that is being unloaded; it counts until the engine confirms. */
  countUnload(tenant: string, sequence: number): void {
    const replica = this.replicas.get(tenant);
    if (replica === undefined) return;
    replica.state = 'unloading';
    replica.sequence = sequence;
  }

  /**
   * Takes in a report of the registered incarnation. Safe against late reports:
   * an older number is ignored, and a replica that the report does not show is
   * only dropped if the engine had already taken the last order about it.
   */
  adopt(report: EngineReport, now: number): ReportNews {
    const news: ReportNews = { loaded: [], woken: [] };
    if (report.incarnation !== this.incarnation || report.number <= this.lastReport) return news;
    this.lastReport = report.number;
    this.capacityBytes = report.capacityBytes;
    this.saysLeaving = report.leaving;
    this.cached.clear();
    for (const { model, tier } of report.cached) this.cached.set(model, tier);
    const shown = new Set(report.holdings.map((holding) => holding.replica.tenant));
    for (const [tenant, replica] of this.replicas) {
      if (!shown.has(tenant) && report.sequence >= replica.sequence) this.replicas.delete(tenant);
    }
    for (const holding of report.holdings) {
      this.adoptHolding(holding, report.sequence, now, news);
    }
    return news;
  }

  private adoptHolding(
    holding: Holding,
    reportSequence: number,
    now: number,
    news: ReportNews,
  ): void {
    const tenant = holding.replica.tenant;
    const known = this.replicas.get(tenant) ?? this.addFound(holding, reportSequence, now);
    if (known.inFlight === 0 && holding.inFlight > 0) {
      news.woken.push({ tenant, idleMs: now - known.lastUsedAt });
    }
    known.inFlight = holding.inFlight;
    known.lastUsedAt = Math.max(known.lastUsedAt, now - holding.idleMs);
    // An order that the engine has not taken yet is newer than what the report shows.
    if (reportSequence < known.sequence) return;
    if (holding.state === 'loaded' && known.state !== 'loaded') news.loaded.push(known);
    known.state = holding.state;
  }

  private addFound(holding: Holding, sequence: number, now: number): CountedReplica {
    const found: CountedReplica = {
      spec: holding.replica,
      state: holding.state,
      sequence,
      orderedAt: now,
      tier: 'remote',
      inFlight: holding.inFlight,
      lastUsedAt: now - holding.idleMs,
    };
    this.replicas.set(holding.replica.tenant, found);
    return found;
  }
}

/** Memory of a set of replicas on one engine: base models are shared between tenants. */
export function memoryOf(specs: readonly ReplicaSpec[]): number {
  const models = new Map<string, number>();
  let bytes = 0;
  for (const spec of specs) {
    const key = `${spec.model}\n${spec.version}`;
    if (!models.has(key)) bytes += spec.modelBytes;
    models.set(key, spec.modelBytes);
    for (const adapter of spec.adapters) bytes += adapter.bytes;
  }
  return bytes;
}
