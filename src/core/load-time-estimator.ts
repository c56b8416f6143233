/** Expected load times, learned from observed loads. Pure. */
import type { CheckpointTier } from '../engines/engine-client.js';

/** Weight of the newest load in the exponential moving average. */
const NEWEST_WEIGHT = 0.3;
const GIGABYTE = 1e9;

/** Milliseconds assumed before any load has been observed: a fixed part and a part per gigabyte. */
const INITIAL_ESTIMATE: Record<CheckpointTier, { fixed: number; perGigabyte: number }> = {
  resident: { fixed: 200, perGigabyte: 20 },
  memory: { fixed: 300, perGigabyte: 30 },
  disk: { fixed: 500, perGigabyte: 100 },
  remote: { fixed: 1000, perGigabyte: 200 },
};

/** Learns, for each checkpoint tier, the ratio of observed load times to the initial estimate. */
export class LoadTimeEstimator {
  private readonly factors = new Map<CheckpointTier, number>();

  /** Expected milliseconds of a load. */
  expected(tier: CheckpointTier, bytes: number): number {
    const estimate = INITIAL_ESTIMATE[tier];
    const base = estimate.fixed + (estimate.perGigabyte * bytes) / GIGABYTE;
    return base * (this.factors.get(tier) ?? 1);
  }

  /** Records a completed load of `bytes` that took `milliseconds`. */
  observe(tier: CheckpointTier, bytes: number, milliseconds: number): void {
    const estimate = INITIAL_ESTIMATE[tier];
    const base = estimate.fixed + (estimate.perGigabyte * bytes) / GIGABYTE;
    const ratio = milliseconds / base;
    const previous = this.factors.get(tier);
    const next =
      previous === undefined ? ratio : previous * (1 - NEWEST_WEIGHT) + ratio * NEWEST_WEIGHT;
    this.factors.set(tier, next);
  }
}
