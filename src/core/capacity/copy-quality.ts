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

interface Extremes {
  readonly fastest: string;
  readonly slowest: string;
}

/** What is known of the places for one model. */
interface ModelPlaces {
  /** Share of streams in time at the best place. */
  readonly bestInTime: number;
  /** Whether even the slowest place is as good. */
  readonly isGoodAnywhere: boolean;
  /** By backend, as far as asked for. */
  readonly qualities: Map<string, number>;
}

/** Quality of copies for one round of planning. */
export class CopyQuality {
  /** The backends at which every model's risk is smallest and greatest; worked out when first asked for. */
  private extremes: Extremes | undefined;
  private readonly places = new Map<string, ModelPlaces>();

  /** @param capacity - Undefined if all backends count as alike. */
  constructor(
    private readonly capacity: PlannedCapacity | undefined,
    private readonly backends: readonly BackendLedger[],
    private readonly now: number,
  ) {}

  /** Quality of a place for a model against its best place, {@link LEAST_QUALITY} to 1. */
  ofPlace(backend: string, model: string): number {
    if (this.isGoodAnywhere(model)) return 1;
    const { bestInTime, qualities } = this.placesOf(model);
    const quality = qualities.get(backend) ?? this.workOut(backend, model, bestInTime);
    qualities.set(backend, quality);
    return quality;
  }

  /**
   * Whether all places are as good for a model, as for most: then none needs to be looked at. Without it a round
   * over hundreds of backends and models would take much longer.
   */
  isGoodAnywhere(model: string): boolean {
    return this.capacity === undefined || this.placesOf(model).isGoodAnywhere;
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

  private placesOf(model: string): ModelPlaces {
    const known = this.places.get(model);
    if (known !== undefined) return known;
    const { fastest, slowest } = this.extremeBackends();
    const bestInTime = 1 - this.riskAt(fastest, model);
    const isGoodAnywhere = this.workOut(slowest, model, bestInTime) === 1;
    const made: ModelPlaces = { bestInTime, isGoodAnywhere, qualities: new Map() };
    this.places.set(model, made);
    return made;
  }

  private workOut(backend: string, model: string, bestInTime: number): number {
    if (bestInTime <= 0) return 1;
    const inTime = 1 - this.riskAt(backend, model);
    const quality = Math.max(LEAST_QUALITY, inTime / bestInTime);
    return quality >= GOOD_QUALITY ? 1 : quality;
  }

  private extremeBackends(): Extremes {
    this.extremes ??= this.findExtremes();
    return this.extremes;
  }

  private findExtremes(): Extremes {
    let [fastest, slowest] = ['', ''];
    let [most, least] = [0, Infinity];
    for (const { id } of this.backends) {
      const speed = this.capacity?.view.speedOf(id) ?? 1;
      if (speed > most) [fastest, most] = [id, speed];
      if (speed < least) [slowest, least] = [id, speed];
    }
    return { fastest, slowest };
  }

  private riskAt(backend: string, model: string): number {
    const { capacity } = this;
    return capacity?.view.pauseRisk(backend, model, capacity.pauseGoalMs(model)) ?? 0;
  }
}
