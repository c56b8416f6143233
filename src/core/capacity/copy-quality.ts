/**
 * Rates the copies of a model by the speed of the backend that holds them: a model's streams pause too long
 * at a backend that is too slow for it. This counters placements in which slow backends hold the busy models
 * while fast ones hold models whose streams would be on time anywhere. No I/O.
 */
import type { BackendLedger } from '../backend-ledger.js';
import type { CapacityView } from './capacity-view.js';

/** Capacity estimates for the placement planner. */
export interface PlanningCapacity {
  readonly view: CapacityView;
  /** The longest pause that callers of a model accept, in milliseconds; infinite if unknown. */
  pauseGoalMs(model: string): number;
}

/** Quality of a copy whose streams are all late: a late stream is still better than a refused request. */
const MIN_QUALITY = 0.3;
/** Quality from which a copy counts as good as the best one: a smaller difference does not justify a move. */
const GOOD_QUALITY = 0.8;
/**
 * A copy counts as fully good for this long after its load, because the load has been paid for and the
 * estimate for its backend may still change.
 */
const NEW_COPY_PERIOD_MS = 10_000;
/** Cost of late pauses for a caller that starts to wait, as milliseconds of waiting. */
const LATE_STREAM_COST_MS = 1_500;
/** Additional cost, in the same unit, for each expected urgent request per second. */
const URGENT_RATE_COST_MS = 4_000;
/** Maximum cost of lateness at a backend, so that none is avoided for longer than this, in milliseconds. */
const MAX_LATENESS_COST_MS = 8_000;

interface Extremes {
  readonly fastest: string;
  readonly slowest: string;
}

/** Quality of the backends for one model. */
interface ModelBackendQuality {
  /** Share of streams that are on time at the best backend. */
  readonly bestOnTimeShare: number;
  /** Whether even the slowest backend counts as good as the best one. */
  readonly isGoodAnywhere: boolean;
  /** Cached quality by backend; filled on demand. */
  readonly qualities: Map<string, number>;
}

/** Quality of model copies during one planning round. */
export class CopyQuality {
  /** The backends with the lowest and the highest pause risk for every model; computed on first use. */
  private extremes: Extremes | undefined;
  private readonly qualityByModel = new Map<string, ModelBackendQuality>();

  /** @param capacity - Undefined if all backends count as equal. */
  constructor(
    private readonly capacity: PlanningCapacity | undefined,
    private readonly backends: readonly BackendLedger[],
    private readonly now: number,
  ) {}

  /** Quality of a backend for a model relative to the best backend, from {@link MIN_QUALITY} to 1. */
  backendQuality(backend: string, model: string): number {
    if (this.isGoodAnywhere(model)) return 1;
    const { bestOnTimeShare, qualities } = this.qualityOfModel(model);
    const quality = qualities.get(backend) ?? this.computeQuality(backend, model, bestOnTimeShare);
    qualities.set(backend, quality);
    return quality;
  }

  /**
   * Whether all backends are equally good for a model, as is the case for most models. Backends then need not be
   * rated one by one; without this check a round over hundreds of backends and models would take much longer.
   */
  isGoodAnywhere(model: string): boolean {
    return this.capacity === undefined || this.qualityOfModel(model).isGoodAnywhere;
  }

  /** Quality of an existing copy; 1 for a newly loaded one. */
  copyQuality(ledger: BackendLedger, model: string): number {
    const loadedAt = ledger.models.get(model)?.loadedAt ?? this.now;
    const isNew = this.now - loadedAt < NEW_COPY_PERIOD_MS;
    return isNew ? 1 : this.backendQuality(ledger.id, model);
  }

  /** Whether a copy at the backend counts as good as at the best backend. */
  isGoodBackend(backend: string, model: string): boolean {
    return this.backendQuality(backend, model) >= GOOD_QUALITY;
  }

  /**
   * Cost of late streams at the backend for callers, in milliseconds of waiting.
   *
   * @param urgentRate - Urgent requests per second for the model.
   */
  latenessCostMs(backend: string, model: string, urgentRate: number): number {
    const qualityLoss = 1 - this.backendQuality(backend, model);
    if (qualityLoss === 0) return 0;
    return Math.min(
      MAX_LATENESS_COST_MS,
      qualityLoss * (LATE_STREAM_COST_MS + urgentRate * URGENT_RATE_COST_MS),
    );
  }

  private qualityOfModel(model: string): ModelBackendQuality {
    const known = this.qualityByModel.get(model);
    if (known !== undefined) return known;
    const { fastest, slowest } = this.extremeBackends();
    const bestOnTimeShare = 1 - this.riskAt(fastest, model);
    const isGoodAnywhere = this.computeQuality(slowest, model, bestOnTimeShare) === 1;
    const created: ModelBackendQuality = { bestOnTimeShare, isGoodAnywhere, qualities: new Map() };
    this.qualityByModel.set(model, created);
    return created;
  }

  private computeQuality(backend: string, model: string, bestOnTimeShare: number): number {
    if (bestOnTimeShare <= 0) return 1;
    const onTimeShare = 1 - this.riskAt(backend, model);
    const quality = Math.max(MIN_QUALITY, onTimeShare / bestOnTimeShare);
    return quality >= GOOD_QUALITY ? 1 : quality;
  }

  private extremeBackends(): Extremes {
    this.extremes ??= this.findExtremes();
    return this.extremes;
  }

  private findExtremes(): Extremes {
    let [fastest, slowest] = ['', ''];
    let [highest, lowest] = [0, Infinity];
    for (const { id } of this.backends) {
      const speed = this.capacity?.view.speedOf(id) ?? 1;
      if (speed > highest) [fastest, highest] = [id, speed];
      if (speed < lowest) [slowest, lowest] = [id, speed];
    }
    return { fastest, slowest };
  }

  private riskAt(backend: string, model: string): number {
    const { capacity } = this;
    return capacity?.view.pauseRisk(backend, model, capacity.pauseGoalMs(model)) ?? 0;
  }
}
