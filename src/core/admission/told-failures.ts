/**
 * What share of its requests a backend has failed lately, over all daemons. A backend that fails
 * at once has free slots at any time and looks like the best choice: without one count each daemon
 * finds out for itself. Old ends fade, so that one that is sound again is tried again. Pure; times
 * are milliseconds of a steady clock.
 */

/** An end counts a third as much after so long: a backend that was started anew is soon tried again. */
const FADING_MS = 3_000;
/** Ends without failure that are taken for granted: one failure alone is no pattern. */
const ASSUMED_SOUND_ENDS = 2;

/** The ends of one backend's requests. */
export class ToldFailures {
  private ends = 0;
  private failures = 0;
  private notedAt = 0;

  /** A request has ended there. */
  note(hasFailed: boolean, now: number): void {
    const left = this.left(now);
    this.ends = this.ends * left + 1;
    this.failures = this.failures * left + (hasFailed ? 1 : 0);
    this.notedAt = now;
  }

  /** From 0, none, to 1, all. */
  share(now: number): number {
    const left = this.left(now);
    return (this.failures * left) / (this.ends * left + ASSUMED_SOUND_ENDS);
  }

  private left(now: number): number {
    return Math.exp(-Math.max(0, now - this.notedAt) / FADING_MS);
  }
}

/** A share as a message has it; what is none counts as no failures. */
export function shareOfPerMille(perMille: number): number {
  const isShare = Number.isFinite(perMille) && perMille >= 0 && perMille <= 1_000;
  return isShare ? perMille / 1_000 : 0;
}
