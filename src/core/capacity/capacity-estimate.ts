/**
 * Learns the speeds of a service's backends and the gaps of its models from what all daemons see:
 * the logarithm of a gap is that of the model's usual gap less that of the backend's speed. The
 * sums of each pair of a backend and a model fade with the time; both sides are fitted to them by turns
 * (alternating least squares), each drawn towards what is usual as far as little is known (ridge
 * regression). Reports far off are cut to a bound (winsorized), so that spells, the slow periods of
 * a backend, hardly move its speed. A short memory besides holds backends that are slow for the time being.
 *
 * Weights are numbers of {@link GAPS_PER_WEIGHT} gaps. Logarithms are natural ones. Pure; times are
 * milliseconds of a steady clock.
 */
import type { GapReport, GapSample } from './gap-samples.js';
import { isCredibleGap, LearnedCapacity, type LearnedFigures } from './learned-capacity.js';
import { PauseStatistics } from './pause-statistics.js';

/** Speeds last as long as a process; a machine's neighbours change within minutes. */
const SPEED_HALF_LIFE_MS = 120_000;
/** Time constant of the moving mean by which a backend that is slow for a while is noticed, and forgotten. */
const SLOWNESS_TIME_MS = 2_000;
/** A backend counts as slow for the time being from this logarithm on: less passes before it is told. */
const SLOWNESS_DEADBAND = Math.log(1.35);
/** Neighbouring gaps lie in the same spell: so many of them say as much as one alone. */
const GAPS_PER_WEIGHT = 8;
/** One daemon's report on a pair weighs no more than this, so that no daemon decides alone. */
const MOST_WEIGHT = 4;
/** Weight of the belief that a backend runs at the usual speed. */
const USUAL_SPEED_WEIGHT = 0.5;
/** Weight of what is known of a model beforehand: next to nothing. */
const MODEL_PRIOR_WEIGHT = 0.001;
/** Standard deviation of the logarithm of gaps of weight 1, spells included. */
const GAP_SPREAD = 0.5;
/** A speed that lies within so many of its own standard errors of the usual one counts as usual. */
const SURE_SPREADS = 1.5;
/** A logarithm of a speed so near to the usual one's, 0, counts as usual: no caller would feel the difference. */
const SPEED_DEADBAND = 0.1;
/** A belief that moves by less, as a logarithm, stays: what has been told stands. */
const TOLERANCE = Math.log(1.1);
/** A pair's expected gap is good enough to judge a report from this weight on. */
const JUDGED_FROM = 2;
/** A report further off than this logarithm counts as so far off: as a spell. */
const FURTHEST_OFF = Math.log(3);
/**
 * For the speed it counts as no further off than this logarithm: the speed is then that of most of the
 * time, as a median is, and spells hardly move it. While little is known more counts, so that a
 * backend that was first seen in a spell is soon judged rightly.
 */
const FURTHEST_OFF_SPEED = 0.15;
const FURTHEST_OFF_FIRST = 0.6;
/** From this weight of a pair on the narrower bound holds alone; below it the bound lies between the two. */
const LITTLE_WEIGHT = 15;
/** A daemon that is off by more than this logarithm in the mean weighs less: spells alone make half of it. */
const CREDIBLE_OFF = 0.7;
/** Weight of a new report in that mean. */
const OFF_SMOOTHING = 0.1;
/** Models and daemons that are remembered: names beyond are mistakes. */
const MOST_MODELS = 4_096;
const MOST_DAEMONS = 1_024;
/** Turns of a fit: it begins at the last one's result, so few are enough. */
const FITTING_TURNS = 6;
/** A pair weighs no more than this, so that a first impression or a former speed is left in seconds. */
const MOST_PAIR_WEIGHT = 30;
/** Pairs without weight are dropped. */
const LEAST_WEIGHT = 0.05;

/** What was seen of one model's streams at one backend. */
interface Pair {
  readonly model: string;
  /** Fades by {@link SPEED_HALF_LIFE_MS}. */
  weight: number;
  /** Weighted mean of the logarithms of the gaps in milliseconds. */
  mean: number;
  updatedAt: number;
}

interface Backend {
  readonly pairs: Map<string, Pair>;
  /** Logarithm of its speed. */
  speed: number;
  /** Of all that its speed was fitted to, that of the belief in the usual one among it. */
  weight: number;
  /** Logarithm by which it is slower than its speed for the time being. */
  slowness: number;
  slownessAt: number;
  /** Since then: weighted sum of how far off the gaps were, and the weights. */
  seenOff: number;
  seenWeight: number;
  gaps: number;
  firstAt: number;
}

/** What is believed of a backend's speed has changed. */
export interface SpeedChange {
  readonly backend: string;
  /** Speeds against the usual one, before and now. */
  readonly from: number;
  readonly to: number;
  /** Gaps that were seen in all. */
  readonly gaps: number;
  /** Milliseconds since the first of them. */
  readonly ageMs: number;
}

/** What one owner has learned. */
export class CapacityEstimate {
  private readonly backends = new Map<string, Backend>();
  /** Logarithms of the models' usual gaps in milliseconds, at a backend of speed 1. */
  private readonly models = new Map<string, number>();
  /** The shortest pause goal that was reported of each model, in milliseconds. */
  private readonly pauseGoals = new Map<string, number>();
  /** How far off each daemon's reports are, as a logarithm. */
  private readonly daemonsOff = new Map<string, number>();
  private readonly pauses = new PauseStatistics();
  /**
   * As told: changes within the tolerance leave them. Speeds are against the usual one, with the slowness of
   * the moment and without it; gaps are usual milliseconds of models at speed 1.
   */
  private readonly speeds = new Map<string, number>();
  private readonly steadySpeeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];

  /** Takes a daemon's report; returns how many entries were nonsense, and dropped. */
  hear(daemon: string, report: GapReport, now: number): number {
    let dropped = 0;
    for (const sample of report.samples) {
      if (isNonsense(sample) || this.isBeyondBounds(sample)) dropped += 1;
      else this.take(daemon, sample, now);
    }
    if (!this.pauses.add(report.pauseClasses, now)) dropped += 1;
    return dropped;
  }

  /** Nothing is known of the backend any more: another process may have its id. */
  forget(backend: string): void {
    this.backends.delete(backend);
    this.speeds.delete(backend);
    this.steadySpeeds.delete(backend);
  }

  /** Works the beliefs out anew; returns the speeds that have changed, spells left out. */
  settle(now: number): SpeedChange[] {
    for (const backend of this.backends.values()) fade(backend, now);
    for (let turn = 0; turn < FITTING_TURNS; turn++) this.fit();
    this.center();
    this.settleModels();
    this.pauseShares = this.pauses.shares(this.pauseShares, now);
    return [...this.backends].flatMap(([id, backend]) => this.settleBackend(id, backend, now));
  }

  /** What is believed, for the daemons. */
  get figures(): LearnedFigures {
    const { speeds, gaps, pauseShares } = this;
    return { speeds, gaps, pauseShares };
  }

  /** Expectations for requests: short slowness included. */
  view(): LearnedCapacity {
    return new LearnedCapacity(this.figures);
  }

  /** Expectations for copies, which stay for longer than a spell. */
  steadyView(): LearnedCapacity {
    return new LearnedCapacity({ ...this.figures, speeds: this.steadySpeeds });
  }

  /** The shortest pause goal that the model's streams had so far, in milliseconds; infinite if none was streamed. */
  pauseGoalMs(model: string): number {
    return this.pauseGoals.get(model) ?? Infinity;
  }

  private isBeyondBounds({ model }: GapSample): boolean {
    return this.pauseGoals.size >= MOST_MODELS && !this.pauseGoals.has(model);
  }

  private take(daemon: string, sample: GapSample, now: number): void {
    const backend = this.backendOf(sample.backend, now);
    const observed = sample.logSum / sample.gaps;
    const off = this.offOf(backend, sample.model, observed);
    const credence = off === undefined ? 1 : this.credence(daemon, off);
    const weight = Math.min(MOST_WEIGHT, sample.gaps / GAPS_PER_WEIGHT) * credence;
    const bounded = bound(off ?? 0, FURTHEST_OFF);
    const known = backend.pairs.get(sample.model)?.weight ?? 0;
    const mean = observed - (off ?? 0) + bound(off ?? 0, furthestOff(known));
    addTo(backend, sample.model, mean, weight, now);
    backend.gaps += sample.gaps;
    backend.seenOff += weight * bounded;
    backend.seenWeight += weight;
    const goal = this.pauseGoals.get(sample.model) ?? Infinity;
    this.pauseGoals.set(sample.model, Math.min(goal, sample.pauseGoalMs));
  }

  private backendOf(id: string, now: number): Backend {
    const known = this.backends.get(id) ?? newBackend(now);
    this.backends.set(id, known);
    return known;
  }

  /** Logarithm by which a gap is longer than expected; undefined while too little is known. */
  private offOf(backend: Backend, model: string, observed: number): number | undefined {
    const usual = this.models.get(model);
    const weight = backend.pairs.get(model)?.weight ?? 0;
    return usual === undefined || weight < JUDGED_FROM
      ? undefined
      : observed - (usual - backend.speed);
  }

  /** Share of its weight, 0 to 1, that a daemon's report keeps; it falls with how far off its reports are in the mean. */
  private credence(daemon: string, off: number): number {
    const before = this.daemonsOff.get(daemon) ?? 0;
    const mean = before + OFF_SMOOTHING * (Math.min(4, Math.abs(off)) - before);
    if (this.daemonsOff.size >= MOST_DAEMONS) this.daemonsOff.clear();
    this.daemonsOff.set(daemon, mean);
    return mean <= CREDIBLE_OFF ? 1 : (CREDIBLE_OFF / mean) ** 4;
  }

  /** Models by the backends' speeds, then speeds by the models. */
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
      let [weight, sum] = [USUAL_SPEED_WEIGHT, 0];
      for (const pair of backend.pairs.values()) {
        sum += pair.weight * ((this.models.get(pair.model) ?? pair.mean) - pair.mean);
        weight += pair.weight;
      }
      backend.speed = sum / weight;
      backend.weight = weight;
    }
  }

  /** The usual speed is 1: the mean of the logarithms over what is well known is 0. */
  private center(): void {
    let [weight, sum] = [0, 0];
    for (const backend of this.backends.values()) {
      const known = 1 - USUAL_SPEED_WEIGHT / backend.weight;
      sum += known * backend.speed;
      weight += known;
    }
    if (weight === 0) return;
    const middle = sum / weight;
    for (const backend of this.backends.values()) backend.speed -= middle;
    for (const [model, gap] of this.models) this.models.set(model, gap - middle);
  }

  private settleModels(): void {
    for (const [model, gap] of this.models) {
      const told = this.gaps.get(model);
      if (told === undefined || Math.abs(Math.log(told) - gap) > TOLERANCE) {
        this.gaps.set(model, Math.exp(gap));
      }
    }
  }

  private settleBackend(id: string, backend: Backend, now: number): SpeedChange[] {
    const uncertainty = GAP_SPREAD / Math.sqrt(backend.weight);
    const deadband = Math.max(SPEED_DEADBAND, SURE_SPREADS * uncertainty);
    const steady = Math.abs(backend.speed) < deadband ? 0 : backend.speed;
    const slowness = backend.slowness < SLOWNESS_DEADBAND ? 0 : backend.slowness;
    moveBelief(this.speeds, id, steady - slowness);
    const from = this.steadySpeeds.get(id) ?? 1;
    if (!moveBelief(this.steadySpeeds, id, steady)) return [];
    const to = this.steadySpeeds.get(id) ?? 1;
    return [{ backend: id, from, to, gaps: backend.gaps, ageMs: now - backend.firstAt }];
  }
}

function bound(value: number, most: number): number {
  return Math.max(-most, Math.min(most, value));
}

/** Believes the logarithm if it is beyond the tolerance of what was believed. */
function moveBelief(beliefs: Map<string, number>, id: string, logarithm: number): boolean {
  const before = Math.log(beliefs.get(id) ?? 1);
  if (Math.abs(logarithm - before) <= TOLERANCE) return false;
  beliefs.set(id, Math.exp(logarithm));
  return true;
}

/** How far off a report counts for the speed, by the weight of what is known. */
function furthestOff(weight: number): number {
  const part = Math.min(1, weight / LITTLE_WEIGHT);
  return FURTHEST_OFF_FIRST + (FURTHEST_OFF_SPEED - FURTHEST_OFF_FIRST) * part;
}

function newBackend(now: number): Backend {
  const state = { speed: 0, weight: USUAL_SPEED_WEIGHT, slowness: 0, slownessAt: now };
  return { pairs: new Map(), ...state, seenOff: 0, seenWeight: 0, gaps: 0, firstAt: now };
}

function fadeFactor(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / SPEED_HALF_LIFE_MS);
}

function fade(backend: Backend, now: number): void {
  for (const [model, pair] of backend.pairs) {
    pair.weight *= fadeFactor(now - pair.updatedAt);
    pair.updatedAt = now;
    if (pair.weight < LEAST_WEIGHT) backend.pairs.delete(model);
  }
  settleSlowness(backend, now);
}

function addTo(backend: Backend, model: string, mean: number, added: number, now: number): void {
  const pair = backend.pairs.get(model) ?? { model, weight: 0, mean, updatedAt: now };
  const weight = pair.weight * fadeFactor(now - pair.updatedAt) + added;
  if (weight > 0) pair.mean += (added / weight) * (mean - pair.mean);
  pair.weight = Math.min(MOST_PAIR_WEIGHT, weight);
  pair.updatedAt = now;
  backend.pairs.set(model, pair);
}

/** Mean of what was seen since the last time, into the short memory; nothing seen counts as usual. */
function settleSlowness(backend: Backend, now: number): void {
  const passed = Math.max(0, now - backend.slownessAt);
  const seen = backend.seenWeight === 0 ? 0 : backend.seenOff / backend.seenWeight;
  const share = 1 - Math.exp(-passed / SLOWNESS_TIME_MS);
  backend.slowness += share * (seen - backend.slowness);
  backend.slownessAt = now;
  backend.seenOff = 0;
  backend.seenWeight = 0;
}

function isNonsense({ gaps, logSum, pauseGoalMs }: GapSample): boolean {
  const isCounted = Number.isFinite(gaps) && gaps > 0 && Number.isFinite(logSum);
  return !isCounted || !isCredibleGap(Math.exp(logSum / gaps)) || !(pauseGoalMs > 0);
}
