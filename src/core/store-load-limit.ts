/**
 * Limits the number of concurrent loads from the weight store. Concurrent loads
 * divide the store's throughput. Beyond a number that is not known in advance, an
 * additional load only slows the others, occupies its backend's command channel
 * for longer, and ends no sooner than if it had been queued. Pure; times are
 * milliseconds of a steady clock.
 */

import type { ModelHostSpec } from './service-configuration.js';

/** Limits the loads from the weight store that run at the same time. */
export interface StoreLoadLimit {
  /** Maximum number of concurrent loads. */
  readonly maxConcurrent: number;
  /** Records that a load was started at a backend. At full speed it takes `fullSpeedMs`. */
  begin(backend: string, fullSpeedMs: number, now: number): void;
  /** Records that the load at a backend has ended. `completed` tells whether the model was loaded. */
  end(backend: string, completed: boolean, now: number): void;
  /** Returns the number of loads that are running. */
  runningCount(): number;
  /** Checks for overdue loads and adapts the limit to them. */
  observe(now: number): void;
}

/** A load that takes more than this multiple of its full-speed time counts as slowed down. */
const SLOWED_FACTOR = 1.2;
/** Fraction of the limit above which concurrent loads can be the cause of a slow load. */
const CONTENTION_FRACTION = 0.6;
/** Overdue loads that are needed as evidence of a slow store. */
const MIN_OVERDUE = 2;
/** Time for which a load at full speed proves what the store can serve; later it may have become slower. */
const PROOF_VALID_MS = 60_000;
/** Weight of the newest sample in the estimate of the store's capacity. */
const SAMPLE_WEIGHT = 0.5;

interface RunningLoad {
  readonly startedAt: number;
  readonly fullSpeedMs: number;
  /** Value of the concurrency integral at the start of the load, in load-milliseconds. */
  readonly integralAtStart: number;
  /** Whether the limit was reached while it ran. */
  reachedLimit: boolean;
}

/**
 * Adapts the limit to the durations of loads. While loads run at full speed, each
 * load that ran at the limit raises it by one, as in TCP slow start. After the
 * store has been saturated once, each round of loads raises it by one. If loads are
 * slowed down, the store's capacity is estimated as the mean number of concurrent
 * loads divided by the slowdown factor.
 */
export class AdaptiveStoreLoadLimit implements StoreLoadLimit {
  private estimate: number;
  /** Whether the store has been saturated. From then on the limit grows by one per round of loads, not per load. */
  private hasSaturated = false;
  /** Largest concurrency at which a load has recently run at full speed, and when that was last observed. */
  private proved = { concurrency: 1, observedAt: -Infinity };
  private readonly loads = new Map<string, RunningLoad>();
  /** Number of concurrent loads, integrated over time up to `integratedAt`. */
  private integral = 0;
  private integratedAt = 0;

  /** @param initialLimit - Limit before any load has been observed. */
  constructor(initialLimit: number) {
    this.estimate = Math.max(1, initialLimit);
  }

  get maxConcurrent(): number {
    return Math.max(1, Math.round(this.estimate));
  }

  runningCount(): number {
    return this.loads.size;
  }

  begin(backend: string, fullSpeedMs: number, now: number): void {
    this.integrate(now);
    const integralAtStart = this.integral;
    this.loads.set(backend, { startedAt: now, fullSpeedMs, integralAtStart, reachedLimit: false });
    if (this.loads.size < this.maxConcurrent) return;
    for (const load of this.loads.values()) load.reachedLimit = true;
  }

  end(backend: string, completed: boolean, now: number): void {
    this.integrate(now);
    const load = this.loads.get(backend);
    this.loads.delete(backend);
    if (load === undefined || !completed) return;
    if (this.wasSlowedByOthers(load, now)) return this.recordSlowdown(load, now);
    if (takesLonger(load, SLOWED_FACTOR, now)) return;
    this.recordProof(this.meanConcurrency(load, now), now);
    if (load.reachedLimit) this.estimate += this.hasSaturated ? 1 / this.maxConcurrent : 1;
  }

  /** Lowers the limit when overdue loads show that the store is slow, before these loads have ended. */
  observe(now: number): void {
    this.integrate(now);
    const overdue = [...this.loads.values()].filter((load) => this.wasSlowedByOthers(load, now));
    // A single slow load can be caused by its backend; a saturated store slows down all loads.
    if (overdue.length < MIN_OVERDUE || overdue.length * 2 < this.loads.size) return;
    for (const load of overdue) {
      const capacity = this.capacityFrom(load, now);
      if (capacity >= this.estimate) continue;
      this.hasSaturated = true;
      this.estimate = Math.max(this.provedConcurrency(now), capacity);
    }
  }

  private recordProof(concurrency: number, now: number): void {
    this.proved = {
      concurrency: Math.max(this.provedConcurrency(now), concurrency),
      observedAt: now,
    };
  }

  /**
   * Returns the number of concurrent loads that the store has recently been proved to serve at full
   * speed. It is a lower bound of the limit: loads that are slow for another reason, such as busy
   * backends, would otherwise lower the limit below the store's capacity. Too few loads lose
   * throughput, while too many only take longer.
   */
  private provedConcurrency(now: number): number {
    return now - this.proved.observedAt < PROOF_VALID_MS ? this.proved.concurrency : 1;
  }

  /** Returns whether a load is slow and ran beside enough other loads that they can be the cause. */
  private wasSlowedByOthers(load: RunningLoad, now: number): boolean {
    const hadContention = this.meanConcurrency(load, now) >= this.estimate * CONTENTION_FRACTION;
    return takesLonger(load, SLOWED_FACTOR, now) && hadContention;
  }

  private recordSlowdown(load: RunningLoad, now: number): void {
    this.hasSaturated = true;
    const capacity = this.capacityFrom(load, now);
    this.estimate += (capacity - this.estimate) * SAMPLE_WEIGHT;
    this.estimate = Math.max(this.provedConcurrency(now), this.estimate);
  }

  /**
   * Returns the number of loads that the store serves at full speed, estimated from one load. For a
   * running load the result is an upper bound.
   */
  private capacityFrom(load: RunningLoad, now: number): number {
    return (this.meanConcurrency(load, now) * load.fullSpeedMs) / (now - load.startedAt);
  }

  private meanConcurrency(load: RunningLoad, now: number): number {
    return (this.integral - load.integralAtStart) / Math.max(1, now - load.startedAt);
  }

  private integrate(now: number): void {
    this.integral += this.loads.size * (now - this.integratedAt);
    this.integratedAt = now;
  }
}

/** Returns whether a load takes more than `factor` times its full-speed time. */
function takesLonger(load: RunningLoad, factor: number, now: number): boolean {
  return now - load.startedAt > load.fullSpeedMs * factor;
}

/**
 * Largest initial limit. It is low because too many concurrent loads delay each other to several
 * times their full-speed time before the limit adapts, while too low a limit doubles with each
 * round of loads at full speed, as in TCP slow start.
 */
const MAX_INITIAL_LIMIT = 4;
/**
 * Bound on the sum of the full-speed times of the first loads. If the store serves only one load at
 * a time, they occupy their backends' command channels for that whole sum before the limit adapts.
 */
const MAX_INITIAL_LOAD_SECONDS = 30;

/**
 * Returns the initial limit: lower where loads take long, and no higher than the concurrency that
 * the host's load rate ceiling allows at full speed.
 */
export function initialStoreLoadLimit(host: ModelHostSpec): number {
  const seconds = host.models.map((model) => model.storeLoadSeconds);
  const meanSeconds = seconds.reduce((sum, value) => sum + value, 0) / Math.max(1, seconds.length);
  const withinTime = Math.floor(MAX_INITIAL_LOAD_SECONDS / Math.max(1, meanSeconds));
  return Math.max(1, Math.min(MAX_INITIAL_LIMIT, withinTime, host.loadsPerSecond * meanSeconds));
}

/** Counts the loads without limiting them. */
export class UnlimitedStoreLoads implements StoreLoadLimit {
  readonly maxConcurrent = Infinity;
  private readonly backends = new Set<string>();

  begin(backend: string): void {
    this.backends.add(backend);
  }

  end(backend: string): void {
    this.backends.delete(backend);
  }

  runningCount(): number {
    return this.backends.size;
  }

  observe(): void {}
}
