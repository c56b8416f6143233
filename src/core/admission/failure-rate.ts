/**
 * The recent failure rate of a backend's requests over all daemons. A backend that fails requests
 * immediately always has free slots and looks like the best choice; without a common count each
 * daemon would have to discover the failures itself. Old results decay, so that a backend that has
 * recovered is tried again. Pure; times are milliseconds of a steady clock.
 */

/** Time after which a result has about a third of its weight, so that a restarted backend is soon tried again. */
const DECAY_MS = 3_000;
/** Successful results that are assumed in addition, so that a single failure does not yield a high rate. */
const ASSUMED_SUCCESSES = 2;

/** Exponentially decaying counts of one backend's finished and failed requests. */
export class FailureRate {
  private results = 0;
  private failures = 0;
  private updatedAt = 0;

  /** Records the result of a request at the backend. */
  recordResult(hasFailed: boolean, now: number): void {
    const decayFactor = this.decayFactor(now);
    this.results = this.results * decayFactor + 1;
    this.failures = this.failures * decayFactor + (hasFailed ? 1 : 0);
    this.updatedAt = now;
  }

  /** Returns the fraction of failed requests, from 0 to 1. */
  rate(now: number): number {
    const decayFactor = this.decayFactor(now);
    return (this.failures * decayFactor) / (this.results * decayFactor + ASSUMED_SUCCESSES);
  }

  private decayFactor(now: number): number {
    return Math.exp(-Math.max(0, now - this.updatedAt) / DECAY_MS);
  }
}

/** Converts a failure rate in per mille, as messages carry it, to a fraction. Invalid values yield 0. */
export function fractionOfPerMille(perMille: number): number {
  const isShare = Number.isFinite(perMille) && perMille >= 0 && perMille <= 1_000;
  return isShare ? perMille / 1_000 : 0;
}
