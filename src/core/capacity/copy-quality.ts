/**
 * What copies of models are good for by where they lie: a model's streams pause too long at a
 * backend that is slow for it. Answers load under which busy models' copies lie at slow backends
 * while fast ones hold models that would be in time anywhere. Pure.
 */
import type { BackendLedger } from '../backend-ledger.js';
import type { CapacityView } from './capacity-view.js';

/** What the planner knows of capacity. */
export interface PlannedCapacity {
  readonly view: CapacityView;
  /** The longest pause that callers of a model bear, in milliseconds; infinite if none is known. */
  pauseGoalMs(model: string): number;
}

/** A copy at which all streams are late is still worth this part: late is better than refused. */
const LEAST_QUALITY = 0.3;
/** A copy is as good as the best place from this quality on: a lesser difference is not moved for. */
const GOOD_QUALITY = 0.8;
/**
 * A copy counts in full for so long after its load, in milliseconds: it has cost its load, and
 * what is believed of its backend may change while it is new.
 */
const SMALLEST_STAY_MS = 10_000;
/** What a caller that begins to wait loses by late pauses, in milliseconds of waiting. */
const LATE_STREAM_MS = 1_500;
/** The same for each urgent request a second that will come. */
const LATE_RATE_MS = 4_000;
/** No place is avoided for longer than this, in milliseconds. */
const MOST_LATE_MS = 8_000;

/** Quality of copies for one round of planning. */
export class CopyQuality {
  /** The backend at which every model's risk is smallest; worked out when first asked for. */
  private fastest: string | undefined;
  private readonly qualities = new Map<string, Map<string, number>>();

  /** @param capacity - Undefined if all backends count as alike. */
  constructor(
    private readonly capacity: PlannedCapacity | undefined,
    private readonly backends: readonly BackendLedger[],
    private readonly now: number,
  ) {}

  /** Quality of a place for a model against its best place, {@link LEAST_QUALITY} to 1. */
  ofPlace(backend: string, model: string): number {
    if (this.capacity === undefined) return 1;
    const known = this.qualities.get(model) ?? new Map<string, number>();
    this.qualities.set(model, known);
    const quality = known.get(backend) ?? this.workOut(backend, model);
    known.set(backend, quality);
    return quality;
  }

  /** Quality of a copy that is held; a new one counts in full. */
  ofCopy(ledger: BackendLedger, model: string): number {
    const loadedAt = ledger.models.get(model)?.loadedAt ?? this.now;
    const isNew = this.now - loadedAt < SMALLEST_STAY_MS;
    return isNew ? 1 : this.ofPlace(ledger.id, model);
  }

  /** Whether a copy at the place is as good as anywhere. */
  isGood(backend: string, model: string): boolean {
    return this.ofPlace(backend, model) >= GOOD_QUALITY;
  }

  /**
   * What lateness at the place costs callers, in milliseconds of waiting.
   *
   * @param urgentRate - Urgent requests a second for the model.
   */
  lateMs(backend: string, model: string, urgentRate: number): number {
    const lost = 1 - this.ofPlace(backend, model);
    if (lost === 0) return 0;
    return Math.min(MOST_LATE_MS, lost * (LATE_STREAM_MS + urgentRate * LATE_RATE_MS));
  }

  private workOut(backend: string, model: string): number {
    const inTime = 1 - this.riskAt(backend, model);
    const best = 1 - this.riskAt(this.fastestBackend(), model);
    if (best <= 0) return 1;
    const quality = Math.max(LEAST_QUALITY, inTime / best);
    return quality >= GOOD_QUALITY ? 1 : quality;
  }

  private fastestBackend(): string {
    this.fastest ??= this.findFastest();
    return this.fastest;
  }

  private findFastest(): string {
    let [fastest, most] = ['', 0];
    for (const { id } of this.backends) {
      const speed = this.capacity?.view.speedOf(id) ?? 1;
      if (speed > most) [fastest, most] = [id, speed];
    }
    return fastest;
  }

  private riskAt(backend: string, model: string): number {
    const { capacity } = this;
    return capacity?.view.pauseRisk(backend, model, capacity.pauseGoalMs(model)) ?? 0;
  }
}
