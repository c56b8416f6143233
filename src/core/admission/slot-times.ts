/**
 * How long slots of a backend are held, by the size of requests, and how far waits have been from
 * what was told: what expected waits are made of. Pure; times in milliseconds.
 */

/** Taken before any request has ended: a common answer. */
const FIRST_HOLD_MS = 800;
/** Nobody is refused by expected waits before so many requests have ended: the first hold is a guess. */
const TRUSTED_HOLDS = 4;
/** Weight of a new sample in the moving means: some twenty requests are remembered, about one round of a backend's slots. */
const SAMPLE_WEIGHT = 0.05;
/** A request counts for no less and no more than this many usual ones: one hint may not rule the queue. */
const LEAST_SIZE = 0.25;
const LARGEST_SIZE = 4;
/** Bounds of what is learned from waits that were told: one odd wait may not make all others untrue. */
const LEAST_RATIO = 0.5;
const LARGEST_RATIO = 3;
/** Added to both times of a ratio: for short waits messages count, not the queue. */
const MESSAGE_MS = 20;

/** What is learned from requests that have ended, and waits that are over. */
export class SlotTimes {
  private holdMs = FIRST_HOLD_MS;
  private holds = 0;
  /** Moving mean of the work that requests name, in tokens; 0 before the first. */
  private usualWork = 0;
  /** By rank: more urgent ones that come later make others wait for longer than their place says. */
  private readonly ratios = new Map<number, number>();

  /** Whether waits are expected by what was seen here. */
  get isLearned(): boolean {
    return this.holds >= TRUSTED_HOLDS;
  }

  /** Size in usual requests of a request with so much work in tokens, which is learned from; 1 if no work is named. */
  sizeOf(work: number): number {
    if (!(work > 0) || !Number.isFinite(work)) return 1;
    if (this.usualWork === 0) this.usualWork = work;
    this.usualWork += (work - this.usualWork) * SAMPLE_WEIGHT;
    return Math.min(LARGEST_SIZE, Math.max(LEAST_SIZE, work / this.usualWork));
  }

  /** A slot was held for so long. */
  noteHold(heldMs: number, size: number): void {
    this.holds += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / (this.holds + 1));
    this.holdMs += (heldMs / size - this.holdMs) * weight;
  }

  /** A wait is over that was told as `toldMs`. */
  noteWait(rank: number, toldMs: number, spentMs: number): void {
    const known = this.ratios.get(rank) ?? 1;
    const seen = (spentMs + MESSAGE_MS) / (toldMs / known + MESSAGE_MS);
    const bounded = Math.min(LARGEST_RATIO, Math.max(LEAST_RATIO, seen));
    this.ratios.set(rank, known + (bounded - known) * SAMPLE_WEIGHT);
  }

  /** Expected milliseconds until `ends` slots have come free of a backend that is full. */
  untilFree(ends: number, slots: number, meanSize: number, rank: number): number {
    const ratio = this.ratios.get(rank) ?? 1;
    return ((ends * this.holdMs * meanSize) / Math.max(1, slots)) * ratio;
  }
}
