/**
 * Records which parts of prompts were in requests that backends have answered in full, so that later crashes are not attributed to
 * them. Bounded in time and number. No I/O; times are milliseconds of a monotonic clock.
 */

/** Time for which an answer clears a part. It delays the attribution of crashes to a part that was sound before. */
const CLEARED_MS = 120_000;
/** Maximum number of parts. The least recently answered ones are deleted first. */
const MAX_PARTS = 4_096;

/** Parts that were answered lately, by digest. */
export class SoundParts {
  /** Times of the last answers, least recent first. */
  private readonly answeredAt = new Map<string, number>();

  /** Records that a request with the part was answered in full. */
  recordAnswer(part: string, now: number): void {
    this.answeredAt.delete(part);
    this.answeredAt.set(part, now);
    if (this.answeredAt.size <= MAX_PARTS) return;
    const [oldest] = this.answeredAt.keys();
    if (oldest !== undefined) this.answeredAt.delete(oldest);
  }

  /** Whether a request with the part was answered lately. */
  isSound(part: string, now: number): boolean {
    return now - (this.answeredAt.get(part) ?? -Infinity) <= CLEARED_MS;
  }
}
