/**
 * Statistics from which expected waits are computed: how long requests hold a backend's slots,
 * relative to their size, and the ratio of actual to announced waits. Pure; times are milliseconds.
 */

/** Assumed hold time until a request has ended: the duration of a common answer. */
const INITIAL_HOLD_MS = 800;
/** Ended requests before expected waits may lead to refusals, because the first hold time is only assumed. */
const MIN_HOLD_SAMPLES = 4;
/** Weight of a new sample in the moving means. They cover about twenty requests, roughly one for each slot of a backend. */
const SAMPLE_WEIGHT = 0.05;
/** Bounds of a request's size in multiples of the mean, so that a single hint cannot dominate the queue. */
const MIN_SIZE = 0.25;
const MAX_SIZE = 4;
/** Bounds of a sampled ratio of actual to announced wait, so that an outlier cannot distort later waits. */
const MIN_RATIO = 0.5;
const MAX_RATIO = 3;
/** Added to both times of a ratio, because message delays dominate short waits. */
const MESSAGE_DELAY_MS = 20;

/** Learns hold times from ended requests, and wait ratios from finished waits. */
export class SlotTimes {
  private holdMs = INITIAL_HOLD_MS;
  private holdSamples = 0;
  /** Moving mean of the work that requests state, in tokens; 0 before the first. */
  private meanWork = 0;
  /** Ratios by rank. Requests of less urgent ranks wait longer than their position implies, as more urgent ones overtake them. */
  private readonly ratios = new Map<number, number>();

  /** Whether enough requests have ended here to trust expected waits. */
  get hasEnoughSamples(): boolean {
    return this.holdSamples >= MIN_HOLD_SAMPLES;
  }

  /**
   * Returns the size of a request with `work` tokens in multiples of the mean, and updates the mean.
   * Returns 1 if the work is unknown.
   */
  sizeOf(work: number): number {
    if (!(work > 0) || !Number.isFinite(work)) return 1;
    if (this.meanWork === 0) this.meanWork = work;
    this.meanWork += (work - this.meanWork) * SAMPLE_WEIGHT;
    return Math.min(MAX_SIZE, Math.max(MIN_SIZE, work / this.meanWork));
  }

  /** Records that a request of a given size has held a slot for `heldMs`. */
  recordHold(heldMs: number, size: number): void {
    this.holdSamples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / (this.holdSamples + 1));
    this.holdMs += (heldMs / size - this.holdMs) * weight;
  }

  /** Records a finished wait of `spentMs` that was announced as `announcedMs`. */
  recordWait(rank: number, announcedMs: number, spentMs: number): void {
    const current = this.ratios.get(rank) ?? 1;
    const sample = (spentMs + MESSAGE_DELAY_MS) / (announcedMs / current + MESSAGE_DELAY_MS);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, sample));
    this.ratios.set(rank, current + (bounded - current) * SAMPLE_WEIGHT);
  }

  /** Returns the expected milliseconds until `ends` slots of a fully occupied backend have become free. */
  expectedWaitMs(ends: number, slots: number, meanSize: number, rank: number): number {
    const ratio = this.ratios.get(rank) ?? 1;
    return ((ends * this.holdMs * meanSize) / Math.max(1, slots)) * ratio;
  }
}
