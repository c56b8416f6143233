/**
 * Counts what this daemon's callers ask of models, and what it has in flight at
 * backends: for the choice of a backend, and for the reports to the owners.
 */
import { adapterKey } from '../core/backend-ledger.js';
import { ArrivalHistory } from '../core/arrival-history.js';
import { GapSamples } from '../core/capacity/gap-samples.js';
import type { BackendUse, DemandReport, DemandSample } from '../core/demand-report.js';
import type { ModelReference } from '../core/service-configuration.js';

interface Counted extends ModelReference {
  arrivals: number;
  readonly waiting: Set<WaitingCaller>;
  goalMs: number;
}

/** A caller that waits for a model, here or until it comes back. */
export interface WaitingCaller {
  /** Steady time by which it should find its model. */
  readonly dueAt: number;
  readonly goalMs: number;
}

/** A caller whose time has passed gives way to those who can still be served in time, for so many goals. */
const LATE_GOALS = 4;

interface InFlight extends ModelReference {
  readonly service: string;
  readonly backend: string;
  count: number;
}

/** What one daemon has counted. */
export class RequestTracker {
  /** By service, then by model and adapter. */
  private readonly demand = new Map<string, Map<string, Counted>>();
  private readonly models = new Map<string, InFlight>();
  private readonly backends = new Map<string, number>();
  /** Services of which the last report is no longer true. */
  private readonly changed = new Set<string>();
  /** By service. */
  private readonly histories = new Map<string, ArrivalHistory>();
  /** Gaps of streams, by service. */
  private readonly streamGaps = new Map<string, GapSamples>();

  arrived(service: string, reference: ModelReference, goalMs: number, now: number): void {
    const counted = this.counted(service, reference, goalMs);
    this.changed.add(service);
    counted.arrivals += 1;
    this.historyOf(service).record(reference, goalMs, now);
    counted.goalMs = Math.min(counted.goalMs, goalMs);
  }

  /** A caller begins to wait. */
  waits(service: string, reference: ModelReference, caller: WaitingCaller): void {
    const counted = this.counted(service, reference, caller.goalMs);
    this.changed.add(service);
    counted.waiting.add(caller);
    counted.goalMs = Math.min(counted.goalMs, caller.goalMs);
  }

  /** A caller waits no longer. */
  endsWaiting(service: string, reference: ModelReference, caller: WaitingCaller): void {
    this.changed.add(service);
    this.demand.get(service)?.get(adapterKey(reference))?.waiting.delete(caller);
  }

  sent(
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

  /** Where the gaps of a service's streams are gathered. */
  gapsOf(service: string): GapSamples {
    const known = this.streamGaps.get(service) ?? new GapSamples();
    this.streamGaps.set(service, known);
    return known;
  }

  /** Requests of this daemon at a backend. */
  inFlightAt(backend: string): number {
    return this.backends.get(backend) ?? 0;
  }

  /** Services whose models were asked for or used since the last report, or are in use. */
  activeServices(): string[] {
    const services = new Set([...this.demand.keys(), ...this.changed]);
    for (const entry of this.models.values()) services.add(entry.service);
    return [...services];
  }

  /** Whether the last report on a service is no longer true. */
  hasChanged(service: string): boolean {
    return this.changed.has(service);
  }

  /** What has happened since the last report on the service. */
  report(service: string, daemon: string, failing: readonly string[], now: number): DemandReport {
    this.changed.delete(service);
    const samples: DemandSample[] = [];
    const counted = this.demand.get(service) ?? new Map<string, Counted>();
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
    const told = gaps?.isDue(now) === true ? gaps.takeReport(now) : undefined;
    return { daemon, samples, use, failing, gaps: told };
  }

  /** A new owner is told of the requests of some time, each counted for what it still tells. */
  recall(service: string, now: number): void {
    this.changed.add(service);
    for (const { reference, goalMs, arrivals } of this.historyOf(service).recent(now)) {
      const counted = this.counted(service, reference, goalMs);
      counted.arrivals = Math.max(counted.arrivals, arrivals);
      counted.goalMs = Math.min(counted.goalMs, goalMs);
    }
  }

  private historyOf(service: string): ArrivalHistory {
    const known = this.histories.get(service) ?? new ArrivalHistory();
    this.histories.set(service, known);
    return known;
  }

  private counted(service: string, reference: ModelReference, goalMs: number): Counted {
    const models = this.demand.get(service) ?? new Map<string, Counted>();
    this.demand.set(service, models);
    const key = adapterKey(reference);
    const known = models.get(key);
    if (known !== undefined) return known;
    const { model, adapter } = reference;
    const fresh: Counted = { model, adapter, arrivals: 0, waiting: new Set(), goalMs };
    models.set(key, fresh);
    return fresh;
  }
}

function dueInMs(counted: Counted, now: number): number {
  let earliest = Infinity;
  for (const { dueAt, goalMs } of counted.waiting) {
    const isLate = dueAt <= now;
    earliest = Math.min(earliest, dueAt + (isLate ? LATE_GOALS * goalMs : 0));
  }
  return earliest === Infinity ? 0 : Math.round(earliest - now);
}
