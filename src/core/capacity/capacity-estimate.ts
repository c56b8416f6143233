/**
 * Estimates the speeds of a service's backends and the event gaps of its models from the reports of all
 * daemons. The statistical model is log(gap) = log(the model's usual gap) - log(the backend's speed). Statistics of
 * each pair of a backend and a model decay exponentially. Speeds and gaps are fitted to them in
 * alternation (alternating least squares); ridge regression pulls each towards its prior while there is
 * little data. Outlying reports are winsorized, so that short slow periods of a backend hardly
 * move its speed. A separate short-term average tracks backends that are temporarily slow.
 *
 * One unit of weight stands for {@link GAPS_PER_WEIGHT} gaps. Logarithms are natural. No I/O; times are
 * milliseconds of a monotonic clock.
 */
import type { GapReport, GapSample } from './gap-samples.js';
import { isPlausibleGap, LearnedCapacity, type CapacityFigures } from './learned-capacity.js';
import { PauseStatistics } from './pause-statistics.js';

/** Half-life of the statistics: a speed lasts as long as its process, but other load on the machine changes within minutes. */
const SPEED_HALF_LIFE_MS = 120_000;
/** Time constant of the moving average that detects a temporarily slow backend and its recovery. */
const SLOWNESS_TIME_CONSTANT_MS = 2_000;
/** Log slowdown from which a backend counts as temporarily slow: a smaller one ends before daemons learn of it. */
const SLOWNESS_DEADBAND = Math.log(1.35);
/** Consecutive gaps fall into the same slow period, so this many of them carry as much information as one independent gap. */
const GAPS_PER_WEIGHT = 8;
/** Maximum weight of one daemon's report on a pair, so that no single daemon determines the estimate. */
const MAX_REPORT_WEIGHT = 4;
/** Prior weight of a backend running at the usual speed, 1. */
const SPEED_PRIOR_WEIGHT = 0.5;
/** Prior weight of a model's gap: almost none, because nothing is known in advance. */
const MODEL_PRIOR_WEIGHT = 0.001;
/** Standard deviation of the log gap at weight 1, including slow periods. */
const GAP_SPREAD = 0.5;
/** A speed within this many of its standard errors of the usual speed counts as usual. */
const SIGNIFICANT_STANDARD_ERRORS = 1.5;
/** A log speed this close to 0 counts as the usual speed: callers would not notice the difference. */
const SPEED_DEADBAND = 0.1;
/** Published estimates are kept while the new value differs by no more than this logarithm. */
const PUBLISH_TOLERANCE = Math.log(1.1);
/** Weight of a pair from which its expected gap is accurate enough to judge a report. */
const MIN_JUDGING_WEIGHT = 2;
/** Log deviations of reports are clamped to this size when slowness is measured: a larger deviation counts as a slow period. */
const MAX_DEVIATION = Math.log(3);
/**
 * Log deviations are clamped to this size when the speed is estimated. Like a median, the speed is then
 * that of most of the time, and slow periods hardly move it. While there is little data, the wider initial limit
 * applies, so that the speed of a backend that was first seen in a slow period is corrected soon.
 */
const MAX_SPEED_DEVIATION = 0.15;
const MAX_INITIAL_SPEED_DEVIATION = 0.6;
/** Weight of a pair from which the narrow limit applies; below it the limit is interpolated between the two. */
const NARROW_LIMIT_WEIGHT = 15;
/** A daemon whose mean log deviation exceeds this gets less weight; slow periods alone cause half of this deviation. */
const CREDIBLE_DEVIATION = 0.7;
/** Weight of a new report in a daemon's mean deviation. */
const DEVIATION_SMOOTHING = 0.1;
/** Maximum number of tracked models and daemons; more names than this can only come from errors. */
const MAX_MODELS = 4_096;
const MAX_DAEMONS = 1_024;
/** Iterations of each fit. Few are enough because a fit starts from the previous result. */
const FIT_ITERATIONS = 6;
/** Maximum weight of a pair, so that an initial estimate or an outdated speed is corrected within seconds. */
const MAX_PAIR_WEIGHT = 30;
/** Pairs whose weight decays below this are dropped. */
const MIN_PAIR_WEIGHT = 0.05;

/** Statistics of one model's streams at one backend. */
interface Pair {
  readonly model: string;
  /** Decays with a half-life of {@link SPEED_HALF_LIFE_MS}. */
  weight: number;
  /** Weighted mean of the log gaps (gaps in milliseconds). */
  mean: number;
  updatedAt: number;
}

interface Backend {
  readonly pairs: Map<string, Pair>;
  /** Log speed. */
  speed: number;
  /** Total weight of the data behind the speed, including the prior. */
  weight: number;
  /** Current log slowdown relative to its speed. */
  slowness: number;
  slownessAt: number;
  /** Since `slownessAt`: the weighted sum of the log deviations of the gaps, and the sum of the weights. */
  deviationSum: number;
  deviationWeight: number;
  gaps: number;
  firstAt: number;
}

/** A change of a backend's published speed. */
export interface SpeedChange {
  readonly backend: string;
  /** Speeds relative to the usual one, before and after the change. */
  readonly from: number;
  readonly to: number;
  /** Total number of gaps observed. */
  readonly gaps: number;
  /** Milliseconds since the backend was first observed. */
  readonly ageMs: number;
}

/** Estimates the capacity of one service's backends; run by the service's owner. */
export class CapacityEstimate {
  private readonly backends = new Map<string, Backend>();
  /** Log of each model's usual gap in milliseconds at a backend of speed 1. */
  private readonly models = new Map<string, number>();
  /** Shortest pause goal reported for each model, in milliseconds. */
  private readonly pauseGoals = new Map<string, number>();
  /** Mean absolute log deviation of each daemon's reports. */
  private readonly daemonDeviations = new Map<string, number>();
  private readonly pauses = new PauseStatistics();
  /**
   * Published values, which changes within the tolerance leave as they are. `speeds` are relative to the usual
   * speed and include temporary slowness, `steadySpeeds` leave it out; `gaps` are the models' usual gaps in
   * milliseconds at speed 1.
   */
  private readonly speeds = new Map<string, number>();
  private readonly steadySpeeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];

  /** Adds a daemon's report. Returns the number of entries that were dropped as invalid or beyond the limits. */
  addReport(daemon: string, report: GapReport, now: number): number {
    let dropped = 0;
    for (const sample of report.samples) {
      if (isInvalid(sample) || this.exceedsModelLimit(sample)) dropped += 1;
      else this.addSample(daemon, sample, now);
    }
    if (!this.pauses.add(report.pauseClasses, now)) dropped += 1;
    return dropped;
  }

  /** Discards everything known about a backend, because another process may now have its id. */
  forget(backend: string): void {
    this.backends.delete(backend);
    this.speeds.delete(backend);
    this.steadySpeeds.delete(backend);
  }

  /** Recomputes the estimates. Returns the changes of published speeds, temporary slowness left out. */
  recompute(now: number): SpeedChange[] {
    for (const backend of this.backends.values()) decay(backend, now);
    for (let iteration = 0; iteration < FIT_ITERATIONS; iteration++) this.fit();
    this.center();
    this.publishModelGaps();
    this.pauseShares = this.pauses.shares(this.pauseShares, now);
    return [...this.backends].flatMap(([id, backend]) =>
      this.publishBackendSpeeds(id, backend, now),
    );
  }

  /** The published estimates that are sent to the daemons. */
  get figures(): CapacityFigures {
    const { speeds, gaps, pauseShares } = this;
    return { speeds, gaps, pauseShares };
  }

  /** Capacity view for routing requests: includes temporary slowness. */
  view(): LearnedCapacity {
    return new LearnedCapacity(this.figures);
  }

  /** Capacity view for placing model copies, which stay for longer than a slow period: leaves temporary slowness out. */
  steadyView(): LearnedCapacity {
    return new LearnedCapacity({ ...this.figures, speeds: this.steadySpeeds });
  }

  /** Shortest pause goal of the model's streams so far, in milliseconds; infinite if there were none. */
  pauseGoalMs(model: string): number {
    return this.pauseGoals.get(model) ?? Infinity;
  }

  private exceedsModelLimit({ model }: GapSample): boolean {
    return this.pauseGoals.size >= MAX_MODELS && !this.pauseGoals.has(model);
  }

  private addSample(daemon: string, sample: GapSample, now: number): void {
    const backend = this.backendOf(sample.backend, now);
    const observed = sample.logSum / sample.gaps;
    const deviation = this.deviationOf(backend, sample.model, observed);
    const credibility = deviation === undefined ? 1 : this.credibility(daemon, deviation);
    const weight = Math.min(MAX_REPORT_WEIGHT, sample.gaps / GAPS_PER_WEIGHT) * credibility;
    const clamped = clamp(deviation ?? 0, MAX_DEVIATION);
    const known = backend.pairs.get(sample.model)?.weight ?? 0;
    const mean = observed - (deviation ?? 0) + clamp(deviation ?? 0, maxSpeedDeviation(known));
    addTo(backend, sample.model, mean, weight, now);
    backend.gaps += sample.gaps;
    backend.deviationSum += weight * clamped;
    backend.deviationWeight += weight;
    const goal = this.pauseGoals.get(sample.model) ?? Infinity;
    this.pauseGoals.set(sample.model, Math.min(goal, sample.pauseGoalMs));
  }

  private backendOf(id: string, now: number): Backend {
    const known = this.backends.get(id) ?? newBackend(now);
    this.backends.set(id, known);
    return known;
  }

  /** Log of the ratio of an observed gap to the expected one; undefined while there is too little data. */
  private deviationOf(backend: Backend, model: string, observed: number): number | undefined {
    const usual = this.models.get(model);
    const weight = backend.pairs.get(model)?.weight ?? 0;
    return usual === undefined || weight < MIN_JUDGING_WEIGHT
      ? undefined
      : observed - (usual - backend.speed);
  }

  /** Factor, 0 to 1, for the weight of a daemon's report; it falls as the mean deviation of the daemon's reports grows. */
  private credibility(daemon: string, deviation: number): number {
    const before = this.daemonDeviations.get(daemon) ?? 0;
    const mean = before + DEVIATION_SMOOTHING * (Math.min(4, Math.abs(deviation)) - before);
    if (this.daemonDeviations.size >= MAX_DAEMONS) this.daemonDeviations.clear();
    this.daemonDeviations.set(daemon, mean);
    return mean <= CREDIBLE_DEVIATION ? 1 : (CREDIBLE_DEVIATION / mean) ** 4;
  }

  /** One iteration: fits the models' gaps given the backends' speeds, then the speeds given the gaps. */
  private fit(): void {
    const sums = new Map<string, { weight: number; sum: number }>();
    for (const { pairs, speed } of this.backends.values()) {
      for (const { model, weight, mean } of pairs.values()) {
        const entry = sums.get(model) ?? { weight: MODEL_PRIOR_WEIGHT, sum: 0 };
        entry.sum += weight * (mean + speed);
        entry.weight += weight;
        sums.set(model, entry);
      }
    }
    for (const [model, { weight, sum }] of sums) {
      const before = this.models.get(model) ?? sum / weight;
      this.models.set(model, (sum + MODEL_PRIOR_WEIGHT * before) / weight);
    }
    for (const backend of this.backends.values()) {
      let [weight, sum] = [SPEED_PRIOR_WEIGHT, 0];
      for (const pair of backend.pairs.values()) {
        sum += pair.weight * ((this.models.get(pair.model) ?? pair.mean) - pair.mean);
        weight += pair.weight;
      }
      backend.speed = sum / weight;
      backend.weight = weight;
    }
  }

  /** Normalizes the usual speed to 1: the mean log speed, weighted by how much data each backend has, becomes 0. */
  private center(): void {
    let [weight, sum] = [0, 0];
    for (const backend of this.backends.values()) {
      const known = 1 - SPEED_PRIOR_WEIGHT / backend.weight;
      sum += known * backend.speed;
      weight += known;
    }
    if (weight === 0) return;
    const meanSpeed = sum / weight;
    for (const backend of this.backends.values()) backend.speed -= meanSpeed;
    for (const [model, gap] of this.models) this.models.set(model, gap - meanSpeed);
  }

  private publishModelGaps(): void {
    for (const [model, gap] of this.models) {
      const published = this.gaps.get(model);
      if (published === undefined || Math.abs(Math.log(published) - gap) > PUBLISH_TOLERANCE) {
        this.gaps.set(model, Math.exp(gap));
      }
    }
  }

  private publishBackendSpeeds(id: string, backend: Backend, now: number): SpeedChange[] {
    const uncertainty = GAP_SPREAD / Math.sqrt(backend.weight);
    const deadband = Math.max(SPEED_DEADBAND, SIGNIFICANT_STANDARD_ERRORS * uncertainty);
    const steady = Math.abs(backend.speed) < deadband ? 0 : backend.speed;
    const slowness = backend.slowness < SLOWNESS_DEADBAND ? 0 : backend.slowness;
    updateEstimate(this.speeds, id, steady - slowness);
    const from = this.steadySpeeds.get(id) ?? 1;
    if (!updateEstimate(this.steadySpeeds, id, steady)) return [];
    const to = this.steadySpeeds.get(id) ?? 1;
    return [{ backend: id, from, to, gaps: backend.gaps, ageMs: now - backend.firstAt }];
  }
}

function clamp(value: number, limit: number): number {
  return Math.max(-limit, Math.min(limit, value));
}

/** Replaces an estimate if the new logarithm differs by more than the tolerance. Returns whether it did. */
function updateEstimate(estimates: Map<string, number>, id: string, logarithm: number): boolean {
  const before = Math.log(estimates.get(id) ?? 1);
  if (Math.abs(logarithm - before) <= PUBLISH_TOLERANCE) return false;
  estimates.set(id, Math.exp(logarithm));
  return true;
}

/** Limit for log deviations in the estimate of the speed, by the weight of the pair's data. */
function maxSpeedDeviation(weight: number): number {
  const part = Math.min(1, weight / NARROW_LIMIT_WEIGHT);
  return MAX_INITIAL_SPEED_DEVIATION + (MAX_SPEED_DEVIATION - MAX_INITIAL_SPEED_DEVIATION) * part;
}

function newBackend(now: number): Backend {
  const state = { speed: 0, weight: SPEED_PRIOR_WEIGHT, slowness: 0, slownessAt: now };
  return { pairs: new Map(), ...state, deviationSum: 0, deviationWeight: 0, gaps: 0, firstAt: now };
}

function decayFactor(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / SPEED_HALF_LIFE_MS);
}

function decay(backend: Backend, now: number): void {
  for (const [model, pair] of backend.pairs) {
    pair.weight *= decayFactor(now - pair.updatedAt);
    pair.updatedAt = now;
    if (pair.weight < MIN_PAIR_WEIGHT) backend.pairs.delete(model);
  }
  updateSlowness(backend, now);
}

function addTo(backend: Backend, model: string, mean: number, added: number, now: number): void {
  const pair = backend.pairs.get(model) ?? { model, weight: 0, mean, updatedAt: now };
  const weight = pair.weight * decayFactor(now - pair.updatedAt) + added;
  if (weight > 0) pair.mean += (added / weight) * (mean - pair.mean);
  pair.weight = Math.min(MAX_PAIR_WEIGHT, weight);
  pair.updatedAt = now;
  backend.pairs.set(model, pair);
}

/** Adds the mean deviation since the last update to the moving average; no observations count as no slowness. */
function updateSlowness(backend: Backend, now: number): void {
  const passed = Math.max(0, now - backend.slownessAt);
  const seen = backend.deviationWeight === 0 ? 0 : backend.deviationSum / backend.deviationWeight;
  const share = 1 - Math.exp(-passed / SLOWNESS_TIME_CONSTANT_MS);
  backend.slowness += share * (seen - backend.slowness);
  backend.slownessAt = now;
  backend.deviationSum = 0;
  backend.deviationWeight = 0;
}

function isInvalid({ gaps, logSum, pauseGoalMs }: GapSample): boolean {
  const isCounted = Number.isFinite(gaps) && gaps > 0 && Number.isFinite(logSum);
  return !isCounted || !isPlausibleGap(Math.exp(logSum / gaps)) || !(pauseGoalMs > 0);
}
