/** Learns over one service how much longer than usual the longest pauses of streams are. Pure. */
import { RATIO_CLASSES, USUAL_PAUSE_SHARES } from './pause-shares.js';

/** Streams of so long ago count half: the work and its disturbances change within minutes. */
const HALF_LIFE_MS = 120_000;
/** Weight of the usual shares beside what is counted, in streams: until so many have ended, they decide. */
const USUAL_STREAMS = 20;
/** Shares that change by less stay as they are told. */
const SHARE_TOLERANCE = 0.05;
/** Streams that one report can tell of in a class: more is no count. */
const MOST_STREAMS = 10_000;

/** Counts of streams that fade with the time; times are milliseconds of a steady clock. */
export class PauseStatistics {
  private counts = RATIO_CLASSES.map(() => 0);
  private updatedAt = 0;

  /** Adds a report's counts; false if they are nonsense. */
  add(counts: readonly number[], now: number): boolean {
    if (counts.length === 0) return true;
    const isCounted = counts.every((count) => count >= 0 && count <= MOST_STREAMS);
    if (!isCounted || counts.length !== RATIO_CLASSES.length) return false;
    this.fade(now);
    this.counts = this.counts.map((count, index) => count + (counts[index] ?? 0));
    return true;
  }

  /** Shares of streams that reach each class; those told before if they hold still. */
  shares(told: readonly number[], now: number): readonly number[] {
    this.fade(now);
    const streams = this.counts.reduce((sum, count) => sum + count, 0);
    if (streams < 1) return told;
    let beyond = streams;
    const shares = this.counts.map((count, index) => {
      const usual = USUAL_STREAMS * (USUAL_PAUSE_SHARES[index] ?? 0);
      const share = (beyond + usual) / (streams + USUAL_STREAMS);
      beyond -= count;
      return share;
    });
    const moved = shares.some((share, index) => {
      return Math.abs(share - (told[index] ?? -1)) > SHARE_TOLERANCE;
    });
    return moved ? shares : told;
  }

  private fade(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    this.updatedAt = now;
    this.counts = this.counts.map((count) => count * factor);
  }
}
