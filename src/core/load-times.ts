/** Expected load times, learned from the loads that were seen. Pure. */
import type { CheckpointTier } from '../engines/engine-client.js';

/** Weight of the newest load in the running mean. */
const NEWEST_WEIGHT = 0.3;
const GIGABYTE = 1e9;

/** Milliseconds assumed before any load was seen. */
const FIRST_GUESS: Record<CheckpointTier, { fixed: number; perGigabyte: number }> = {
  resident: { fixed: 200, perGigabyte: 20 },
  memory: { fixed: 300, perGigabyte: 30 },
  disk: { fixed: 500, perGigabyte: 100 },
  remote: { fixed: 1000, perGigabyte: 200 },
};

/** Learns, for each place a checkpoint may lie, how far loads differ from the first guess. */
export class LoadTimes {
  private readonly factors = new Map<CheckpointTier, number>();

  /** Expected milliseconds of a load. */
  expected(tier: CheckpointTier, bytes: number): number {
    const guess = FIRST_GUESS[tier];
    const base = guess.fixed + (guess.perGigabyte * bytes) / GIGABYTE;
    return base * (this.factors.get(tier) ?? 1);
  }

  /** Records a load that took `milliseconds`. */
  observe(tier: CheckpointTier, bytes: number, milliseconds: number): void {
    const guess = FIRST_GUESS[tier];
    const base = guess.fixed + (guess.perGigabyte * bytes) / GIGABYTE;
    const seen = milliseconds / base;
    const old = this.factors.get(tier);
    const next = old === undefined ? seen : old * (1 - NEWEST_WEIGHT) + seen * NEWEST_WEIGHT;
    this.factors.set(tier, next);
  }
}
