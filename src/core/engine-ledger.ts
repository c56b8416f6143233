/**
 * A pool owner's accounting for one engine. Replicas and memory count from the
 * moment a load is decided until the engine confirms the unload, so the counts
 * may be too high but not too low. Pure.
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
  /** Sequence number of the last order for this replica. */
  sequence: number;
  readonly orderedAt: number;
  readonly tier: CheckpointTier;
  inFlight: number;
  /** Time of the last known use, in Unix milliseconds. */
  lastUsedAt: number;
}

/** An order that has been sent and not yet answered. */
export interface PendingOrder {
  readonly sequence: number;
  readonly order: EngineOrder;
}

/** Changes that a report reveals. */
export interface ReportChanges {
  /** Replicas that have become loaded. */
  readonly loaded: CountedReplica[];
  /** Tenants that are used again after an idle time. */
  readonly reactivated: { readonly tenant: string; readonly idleMs: number }[];
}

/** The owner's view of one engine. */
export class EngineLedger {
  /** Whether this engine, in its current incarnation, has accepted a seal of the owner's epoch. */
  sealed = false;
  /** Whether the engine itself reports that it is leaving. */
  private reportsLeaving = false;
  /** Whether the platform's list shows the engine as leaving. */
  listedLeaving = false;
  /** False while the owner receives no reports from the engine. */
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

  /** Returns the sequence number for the next order. */
  nextSequence(): number {
    this.lastSequence += 1;
    return this.lastSequence;
  }

  /** Resets the state for a new incarnation; the old process and all its replicas no longer exist. */
  restart(incarnation: string): void {
    this.incarnation = incarnation;
    this.sealed = false;
    this.reportsLeaving = false;
    this.replicas.clear();
    this.cached.clear();
    this.lastReport = 0;
  }

  /** Memory in bytes that counts as used: each base model once, plus all adapters. */
  usedBytes(): number {
    return memoryOf([...this.replicas.values()].map((replica) => replica.spec));
  }

  /** Memory in bytes that would count as used with `spec` loaded as well. */
  usedBytesWith(spec: ReplicaSpec): number {
    return memoryOf([...[...this.replicas.values()].map((replica) => replica.spec), spec]);
  }

  /** Whether `spec` fits once the unloads in progress have finished; false if no unload is in progress. */
  fitsAfterUnloads(spec: ReplicaSpec): boolean {
    const staying = [...this.replicas.values()].filter((replica) => replica.state !== 'unloading');
    if (staying.length === this.replicas.size) return false;
    return memoryOf([...staying.map((replica) => replica.spec), spec]) <= this.capacityBytes;
  }

  /** A text that changes when a replica is added, removed or changes state, but not when load figures change. */
  stateSignature(): string {
    const states = [...this.replicas].map(([tenant, replica]) => `${tenant}=${replica.state}`);
    return `${this.incarnation}|${this.takesLoads()}|${states.join(',')}`;
  }

  /** The nearest storage tier that has the model's checkpoint. */
  tierOf(model: string): CheckpointTier {
    for (const replica of this.replicas.values()) {
      if (replica.spec.model === model && replica.state === 'loaded') return 'resident';
    }
    return this.cached.get(model) ?? 'remote';
  }

  /** Whether the engine is about to shut down. */
  get leaving(): boolean {
    return this.reportsLeaving || this.listedLeaving;
  }

  /** Records that the engine refused an order because it is about to shut down. */
  markLeaving(): void {
    this.reportsLeaving = true;
  }

  /** Whether the owner may order new loads on this engine. */
  takesLoads(): boolean {
    return this.sealed && this.reachable && !this.leaving;
  }

  /** Counts a load as soon as it is decided. */
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

  /** Marks a replica as unloading; it counts until the engine confirms the unload. */
  countUnload(tenant: string, sequence: number): void {
    const replica = this.replicas.get(tenant);
    if (replica === undefined) return;
    replica.state = 'unloading';
    replica.sequence = sequence;
  }

  /**
   * Applies a report of the registered incarnation. Late reports are safe: a report
   * with an older number is ignored, and a replica missing from the report is removed
   * only if the engine had already processed the last order for it.
   */
  applyReport(report: EngineReport, now: number): ReportChanges {
    const changes: ReportChanges = { loaded: [], reactivated: [] };
    if (report.incarnation !== this.incarnation || report.number <= this.lastReport) return changes;
    this.lastReport = report.number;
    this.capacityBytes = report.capacityBytes;
    this.reportsLeaving = report.leaving;
    this.cached.clear();
    for (const { model, tier } of report.cached) this.cached.set(model, tier);
    const shown = new Set(report.holdings.map((holding) => holding.replica.tenant));
    for (const [tenant, replica] of this.replicas) {
      if (!shown.has(tenant) && report.sequence >= replica.sequence) this.replicas.delete(tenant);
    }
    for (const holding of report.holdings) {
      this.adoptHolding(holding, report.sequence, now, changes);
    }
    return changes;
  }

  private adoptHolding(
    holding: Holding,
    reportSequence: number,
    now: number,
    changes: ReportChanges,
  ): void {
    const tenant = holding.replica.tenant;
    const known =
      this.replicas.get(tenant) ?? this.addReportedReplica(holding, reportSequence, now);
    if (known.inFlight === 0 && holding.inFlight > 0) {
      changes.reactivated.push({ tenant, idleMs: now - known.lastUsedAt });
    }
    known.inFlight = holding.inFlight;
    known.lastUsedAt = Math.max(known.lastUsedAt, now - holding.idleMs);
    // The last order for this replica is newer than the state in the report.
    if (reportSequence < known.sequence) return;
    if (holding.state === 'loaded' && known.state !== 'loaded') changes.loaded.push(known);
    known.state = holding.state;
  }

  private addReportedReplica(holding: Holding, sequence: number, now: number): CountedReplica {
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

/** Memory in bytes of a set of replicas on one engine; tenants share base models. */
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
