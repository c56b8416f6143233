/**
 * How many loads may run from the weight store at once. The store divides its
 * throughput: past some number, that nobody tells, each load only takes longer,
 * holds its backend's order channel longer, and ends no sooner than if it had
 * waited for its turn. Pure; times are milliseconds of a steady clock.
 */

import type { ModelHostSpec } from './service-configuration.js';

/** Bounds the loads from the weight store that run at the same time. */
export interface StoreLoadLimit {
  /** Loads that may run at once. */
  readonly most: number;
  /** A load has been ordered at a backend; at full speed it takes `fullSpeedMs`. */
  begin(backend: string, fullSpeedMs: number, now: number): void;
  /** The load at a backend is over; `completed` if the model has arrived. */
  end(backend: string, completed: boolean, now: number): void;
  /** Loads that run now. */
  running(): number;
  /** Looks at the loads that should have ended. */
  observe(now: number): void;
}

/** A load that takes so many times its time at full speed was slowed down by others. */
const SLOWED_FACTOR = 1.2;
/** Share of the limit from which on the loads at once may be why one is slow. */
const MANY_SHARE = 0.6;
/** Overdue loads that together speak of the store. */
const LEAST_OVERDUE = 2;
/** What a load at full speed has proved counts so long: the store may have become slower since. */
const PROOF_LIFETIME_MS = 60_000;
/** Weight of the newest estimate of what the store carries. */
const NEWEST_WEIGHT = 0.5;

interface RunningLoad {
  readonly startedAt: number;
  readonly fullSpeedMs: number;
  /** Integral of the loads at once since it started, in load-milliseconds. */
  readonly integralAtStart: number;
  /** Whether the limit was reached while it ran. */
  metLimit: boolean;
}

/**
 * Learns the limit from the loads' own times: while they run at full speed each
 * one that ends lets one more begin, until the store has once been met at its
 * limit; then each round of loads does. When they are slowed down, the number
 * that ran at once, divided by the slow-down, is what the store carries.
 */
export class AdaptiveStoreLoadLimit implements StoreLoadLimit {
  private estimate: number;
  /** The store has been met at its limit: from then on the number grows by one a round, not a load. */
  private hasSlowed = false;
  /** Loads at once beside which one has run at full speed, and when that was seen. */
  private proof = { atOnce: 1, seenAt: -Infinity };
  private readonly loads = new Map<string, RunningLoad>();
  /** Loads at once, integrated over time until `integratedAt`. */
  private integral = 0;
  private integratedAt = 0;

  /** @param first - Loads at once before anything was learned. */
  constructor(first: number) {
    this.estimate = Math.max(1, first);
  }

  get most(): number {
    return Math.max(1, Math.round(this.estimate));
  }

  running(): number {
    return this.loads.size;
  }

  begin(backend: string, fullSpeedMs: number, now: number): void {
    this.integrate(now);
    const integralAtStart = this.integral;
    this.loads.set(backend, { startedAt: now, fullSpeedMs, integralAtStart, metLimit: false });
    if (this.loads.size < this.most) return;
    for (const load of this.loads.values()) load.metLimit = true;
  }

  end(backend: string, completed: boolean, now: number): void {
    this.integrate(now);
    const load = this.loads.get(backend);
    this.loads.delete(backend);
    if (load === undefined || !completed) return;
    if (this.wasSlowedByOthers(load, now)) return this.slowed(load, now);
    if (takesLonger(load, SLOWED_FACTOR, now)) return;
    this.prove(this.meanAtOnce(load, now), now);
    if (load.metLimit) this.estimate += this.hasSlowed ? 1 / this.most : 1;
  }

  /** A load that is overdue tells of a slow store before it has ended. */
  observe(now: number): void {
    this.integrate(now);
    const overdue = [...this.loads.values()].filter((load) => this.wasSlowedByOthers(load, now));
    // One alone may be slow for a reason of its backend's; the store slows all.
    if (overdue.length < LEAST_OVERDUE || overdue.length * 2 < this.loads.size) return;
    for (const load of overdue) {
      const carried = this.carried(load, now);
      if (carried >= this.estimate) continue;
      this.hasSlowed = true;
      this.estimate = Math.max(this.proven(now), carried);
    }
  }

  private prove(atOnce: number, now: number): void {
    this.proof = { atOnce: Math.max(this.proven(now), atOnce), seenAt: now };
  }

  /**
   * Loads at once that are carried for certain. Without it loads that are slow for another
   * reason, as backends that run many requests, take the limit below what the store carries,
   * and fewer loads than that at once lose throughput, while more only take longer.
   */
  private proven(now: number): number {
    return now - this.proof.seenAt < PROOF_LIFETIME_MS ? this.proof.atOnce : 1;
  }

  /** Whether a load takes long, and so many ran beside it that they may be why. */
  private wasSlowedByOthers(load: RunningLoad, now: number): boolean {
    const wereMany = this.meanAtOnce(load, now) >= this.estimate * MANY_SHARE;
    return takesLonger(load, SLOWED_FACTOR, now) && wereMany;
  }

  private slowed(load: RunningLoad, now: number): void {
    this.hasSlowed = true;
    const carried = this.carried(load, now);
    this.estimate += (carried - this.estimate) * NEWEST_WEIGHT;
    this.estimate = Math.max(this.proven(now), this.estimate);
  }

  /** What the store carries at full speed, judged by one load: at most so much if it still runs. */
  private carried(load: RunningLoad, now: number): number {
    return (this.meanAtOnce(load, now) * load.fullSpeedMs) / (now - load.startedAt);
  }

  private meanAtOnce(load: RunningLoad, now: number): number {
    return (this.integral - load.integralAtStart) / Math.max(1, now - load.startedAt);
  }

  private integrate(now: number): void {
    this.integral += this.loads.size * (now - this.integratedAt);
    this.integratedAt = now;
  }
}

/** Whether a load takes more than so many times its time at full speed. */
function takesLonger(load: RunningLoad, factor: number, now: number): boolean {
  return now - load.startedAt > load.fullSpeedMs * factor;
}

/**
 * Loads at once to begin with, as a window at its slow start: few, because too many hold
 * each other up for several times their time at full speed before anything is learned,
 * while too few double with each round of loads at full speed.
 */
const FIRST_LIMIT = 4;
/**
 * Where the store carries one load at a time, the first ones keep their backends' order channels
 * for all their times together: not for more than half a minute, in which nothing is learned.
 */
const FIRST_LOADS_SECONDS = 30;

/**
 * Loads at once to begin with: fewer where each takes long, and no more than the ceiling lets run if
 * each takes its time at full speed.
 */
export function firstStoreLoadLimit(host: ModelHostSpec): number {
  const seconds = host.models.map((model) => model.storeLoadSeconds);
  const mean = seconds.reduce((sum, value) => sum + value, 0) / Math.max(1, seconds.length);
  const withinTime = Math.floor(FIRST_LOADS_SECONDS / Math.max(1, mean));
  return Math.max(1, Math.min(FIRST_LIMIT, withinTime, host.loadsPerSecond * mean));
}

/** Counts the loads and limits nothing. */
export class UnlimitedStoreLoads implements StoreLoadLimit {
  readonly most = Infinity;
  private readonly backends = new Set<string>();

  begin(backend: string): void {
    this.backends.add(backend);
  }

  end(backend: string): void {
    this.backends.delete(backend);
  }

  running(): number {
    return this.backends.size;
  }

  observe(): void {}
}
