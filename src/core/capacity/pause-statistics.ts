/** Learns, over one service, how the longest pauses of streams relate to their usual gaps. No I/O. */
import { PAUSE_RATIO_CLASSES, DEFAULT_PAUSE_SHARES } from './pause-shares.js';

/** Half-life of the counts: the load and its disturbances change within minutes. */
const HALF_LIFE_MS = 120_000;
/** Weight of the default shares, in streams: they dominate until this many streams have finished. */
const PRIOR_STREAMS = 20;
/** Published shares are kept unless one changes by more than this. */
const SHARE_TOLERANCE = 0.05;
/** Maximum count per class in one report; a larger count is invalid. */
const MAX_STREAMS_PER_CLASS = 10_000;

/** Exponentially decaying counts of streams; times are milliseconds of a monotonic clock. */
export class PauseStatistics {
  private counts = PAUSE_RATIO_CLASSES.map(() => 0);
  private updatedAt = 0;

  /** Adds a report's counts. Returns false if they are invalid. */
  add(counts: readonly number[], now: number): boolean {
    if (counts.length === 0) return true;
    const areValidCounts = counts.every((count) => count >= 0 && count <= MAX_STREAMS_PER_CLASS);
    if (!areValidCounts || counts.length !== PAUSE_RATIO_CLASSES.length) return false;
    this.decay(now);
    this.counts = this.counts.map((count, index) => count + (counts[index] ?? 0));
    return true;
  }

  /** Returns the share of streams that reach each class, or `previous` if no share has changed by more than the tolerance. */
  shares(previous: readonly number[], now: number): readonly number[] {
    this.decay(now);
    const streams = this.counts.reduce((sum, count) => sum + count, 0);
    if (streams < 1) return previous;
    let beyond = streams;
    const shares = this.counts.map((count, index) => {
      const priorStreams = PRIOR_STREAMS * (DEFAULT_PAUSE_SHARES[index] ?? 0);
      const share = (beyond + priorStreams) / (streams + PRIOR_STREAMS);
      beyond -= count;
      return share;
    });
    const hasChanged = shares.some((share, index) => {
      return Math.abs(share - (previous[index] ?? -1)) > SHARE_TOLERANCE;
    });
    return hasChanged ? shares : previous;
  }

  private decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    this.counts = this.counts.map((count) => count * factor);
  }
}
