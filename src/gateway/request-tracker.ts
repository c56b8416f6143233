/**
 * Counts this daemon's demand for models and its requests in flight at backends,
 * for the choice of a backend and for the demand reports to the service owners.
 */
import { adapterKey } from '../core/backend-ledger.js';
import { ArrivalHistory } from '../core/arrival-history.js';
import { GapSamples } from '../core/capacity/gap-samples.js';
import type { BackendUse, DemandReport, DemandSample } from '../core/demand-report.js';
import type { ModelReference } from '../core/service-configuration.js';

interface DemandCount extends ModelReference {
  arrivals: number;
  readonly waiting: Set<WaitingCaller>;
  goalMs: number;
}

/** A caller that waits for a model: its request is held here, or it was refused and will retry. */
export interface WaitingCaller {
  /** Steady time by which the model should be loaded. */
  readonly dueAt: number;
  readonly goalMs: number;
}

/**
 * The due time of a late caller is postponed by this many goals, so that callers that can still be served in
 * time go first.
 */
const LATE_DELAY_GOALS = 4;

interface InFlight extends ModelReference {
  readonly service: string;
  readonly backend: string;
  count: number;
}

/** Counters of one daemon. */
export class RequestTracker {
  /** By service, then by model and adapter. */
  private readonly demand = new Map<string, Map<string, DemandCount>>();
  private readonly models = new Map<string, InFlight>();
  private readonly backends = new Map<string, number>();
  /** Services that have changed since their last report. */
  private readonly changed = new Set<string>();
  /** By service. */
  private readonly histories = new Map<string, ArrivalHistory>();
  /** Gaps of streams, by service. */
  private readonly streamGaps = new Map<string, GapSamples>();

  /** Records that a request for a model has arrived. */
  recordArrival(service: string, reference: ModelReference, goalMs: number, now: number): void {
    const counted = this.demandFor(service, reference, goalMs);
    this.changed.add(service);
    counted.arrivals += 1;
    this.historyOf(service).record(reference, goalMs, now);
    counted.goalMs = Math.min(counted.goalMs, goalMs);
  }

  /** Records that a caller starts to wait. */
  addWaiting(service: string, reference: ModelReference, caller: WaitingCaller): void {
    const counted = this.demandFor(service, reference, caller.goalMs);
    this.changed.add(service);
    counted.waiting.add(caller);
    counted.goalMs = Math.min(counted.goalMs, caller.goalMs);
  }

  /** Records that a caller no longer waits. */
  removeWaiting(service: string, reference: ModelReference, caller: WaitingCaller): void {
    this.changed.add(service);
    this.demand.get(service)?.get(adapterKey(reference))?.waiting.delete(caller);
  }

  /** Changes the number of requests in flight at a backend by `change`. */
  addInFlight(
    service: string,
    backend: string,
    reference: ModelReference | undefined,
    change: 1 | -1,
  ): void {
    this.backends.set(backend, this.inFlightAt(backend) + change);
    if (this.inFlightAt(backend) === 0) this.backends.delete(backend);
    if (reference === undefined) return;
    this.changed.add(service);
    const key = `${backend} ${adapterKey(reference)}`;
    const entry = this.models.get(key) ?? { ...reference, service, backend, count: 0 };
    entry.count += change;
    this.models.set(key, entry);
    if (entry.count === 0) this.models.delete(key);
  }

  /** Returns the gap samples of a service's streams. */
  gapsOf(service: string): GapSamples {
    const known = this.streamGaps.get(service) ?? new GapSamples();
    this.streamGaps.set(service, known);
    return known;
  }

  /** Returns the number of this daemon's requests in flight at a backend. */
  inFlightAt(backend: string): number {
    return this.backends.get(backend) ?? 0;
  }

  /** Returns the services with demand or changes since the last report, or with requests in flight. */
  activeServices(): string[] {
    const services = new Set([...this.demand.keys(), ...this.changed]);
    for (const entry of this.models.values()) services.add(entry.service);
    return [...services];
  }

  /** Returns whether a service has changed since its last report. */
  hasChanged(service: string): boolean {
    return this.changed.has(service);
  }

  /** Returns a report on the demand since the last one, and resets the counters. */
  report(service: string, daemon: string, failing: readonly string[], now: number): DemandReport {
    this.changed.delete(service);
    const samples: DemandSample[] = [];
    const counted = this.demand.get(service) ?? new Map<string, DemandCount>();
    for (const [key, entry] of counted) {
      const { model, adapter, arrivals, goalMs } = entry;
      const waiting = entry.waiting.size;
      samples.push({ model, adapter, arrivals, waiting, goalMs, dueInMs: dueInMs(entry, now) });
      entry.arrivals = 0;
      if (waiting === 0) counted.delete(key);
    }
    if (counted.size === 0) this.demand.delete(service);
    const use: BackendUse[] = [];
    for (const entry of this.models.values()) {
      if (entry.service !== service) continue;
      const { backend, model, adapter, count } = entry;
      use.push({ backend, model, adapter, inFlight: count });
    }
    const gaps = this.streamGaps.get(service);
    const gapReport = gaps?.isDue(now) === true ? gaps.takeReport(now) : undefined;
    return { daemon, samples, use, failing, gaps: gapReport };
  }

  /** Adds recent requests, weighted by age, to the next report, for a new owner. */
  addRecentArrivals(service: string, now: number): void {
    this.changed.add(service);
    for (const { reference, goalMs, arrivals } of this.historyOf(service).recent(now)) {
      const counted = this.demandFor(service, reference, goalMs);
      counted.arrivals = Math.max(counted.arrivals, arrivals);
      counted.goalMs = Math.min(counted.goalMs, goalMs);
    }
  }

  private historyOf(service: string): ArrivalHistory {
    const known = this.histories.get(service) ?? new ArrivalHistory();
    this.histories.set(service, known);
    return known;
  }

  private demandFor(service: string, reference: ModelReference, goalMs: number): DemandCount {
    const models = this.demand.get(service) ?? new Map<string, DemandCount>();
    this.demand.set(service, models);
    const key = adapterKey(reference);
    const known = models.get(key);
    if (known !== undefined) return known;
    const { model, adapter } = reference;
    const fresh: DemandCount = { model, adapter, arrivals: 0, waiting: new Set(), goalMs };
    models.set(key, fresh);
    return fresh;
  }
}

function dueInMs(counted: DemandCount, now: number): number {
  let earliest = Infinity;
  for (const { dueAt, goalMs } of counted.waiting) {
    const isLate = dueAt <= now;
    earliest = Math.min(earliest, dueAt + (isLate ? LATE_DELAY_GOALS * goalMs : 0));
  }
  return earliest === Infinity ? 0 : Math.round(earliest - now);
}
