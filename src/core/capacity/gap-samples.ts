/**
 * What one daemon sees of the gaps between events of streams, gathered between two reports to the
 * owner of a service. Gaps are summed as logarithms, so that spells of slowness and single stalls
 * weigh little. Pure; times are milliseconds of a steady clock.
 */
import { ratioClass, RATIO_CLASSES } from './pause-shares.js';

/** Gaps of one model's streams at one backend. */
export interface GapSample {
  readonly backend: string;
  readonly model: string;
  readonly gaps: number;
  /** Sum of the natural logarithms of the gaps in milliseconds. */
  readonly logSum: number;
  /** The shortest pause goal among the streams, in milliseconds. */
  readonly pauseGoalMs: number;
}

/** What a daemon reports of streams. */
export interface GapReport {
  readonly samples: readonly GapSample[];
  /** Streams that have ended, by the class of their longest pause against their usual gap. */
  readonly pauseClasses: readonly number[];
}

/** Between two reports of gaps, in milliseconds: reports that are urgent for others carry none. */
const REPORT_PERIOD_MS = 250;
/** Entries of one report; the others wait for the next. */
const MOST_SAMPLES = 48;
/** Pairs that are gathered while no report is taken; further ones are left out. */
const MOST_GATHERED = 512;
/** Events that come closer together were held up on the way: they belong to the gap before. */
const SAME_READ_MS = 2;
/** Gaps are counted as no shorter and no longer than this, in milliseconds. */
const SHORTEST_COUNTED_MS = 1;
const LONGEST_COUNTED_MS = 5_000;
/** Streams with fewer gaps say nothing of pauses. */
const LEAST_GAPS = 8;
/**
 * A stream whose usual gap is further below its goal cannot come near it by a spell: its pauses
 * come from elsewhere and are no measure for slower ones.
 */
const NEAR_GOAL_RATIO = 6;

interface Gathered {
  readonly backend: string;
  readonly model: string;
  gaps: number;
  logSum: number;
  pauseGoalMs: number;
}

/** Gathers the gaps of one service's streams. */
export class GapSamples {
  private readonly gathered = new Map<string, Gathered>();
  private pauseClasses = RATIO_CLASSES.map(() => 0);
  private streams = 0;
  private reportedAt = -Infinity;

  /** Whether there is something to report, and the last report was long enough ago. */
  isDue(now: number): boolean {
    const isEmpty = this.gathered.size === 0 && this.streams === 0;
    return !isEmpty && now - this.reportedAt >= REPORT_PERIOD_MS;
  }

  /** Begins to watch a stream. */
  watch(backend: string, model: string, pauseGoalMs: number): StreamGaps {
    return new StreamGaps(this, backend, model, pauseGoalMs);
  }

  /** A stream has had so many gaps of one length. */
  add(sample: GapSample): void {
    const { backend, model, pauseGoalMs } = sample;
    const key = `${backend} ${model}`;
    const known = this.gathered.get(key) ?? { backend, model, gaps: 0, logSum: 0, pauseGoalMs };
    if (!this.gathered.has(key) && this.gathered.size >= MOST_GATHERED) return;
    known.gaps += sample.gaps;
    known.logSum += sample.logSum;
    known.pauseGoalMs = Math.min(known.pauseGoalMs, pauseGoalMs);
    this.gathered.set(key, known);
  }

  /** A stream has ended; its longest pause was so many times its usual gap. */
  addPause(ratio: number): void {
    const index = ratioClass(ratio);
    this.pauseClasses[index] = (this.pauseClasses[index] ?? 0) + 1;
    this.streams += 1;
  }

  /** What has been gathered since the last report, the oldest first. */
  take(now: number): GapReport {
    this.reportedAt = now;
    const samples = [...this.gathered.values()].slice(0, MOST_SAMPLES);
    for (const { backend, model } of samples) this.gathered.delete(`${backend} ${model}`);
    const { pauseClasses } = this;
    this.pauseClasses = RATIO_CLASSES.map(() => 0);
    this.streams = 0;
    return { samples, pauseClasses };
  }
}

/** The gaps of one stream while one backend sends it. */
export class StreamGaps {
  private lastReadAt: number | undefined;
  /** The gap before the last read, until it is sure that all its events have come. */
  private pendingMs: number | undefined;
  private pendingEvents = 0;
  private gaps = 0;
  private logSum = 0;
  private longestMs = 0;

  constructor(
    private readonly samples: GapSamples,
    private readonly backend: string,
    private readonly model: string,
    private readonly pauseGoalMs: number,
  ) {}

  /** Whole events have come from the backend at once. */
  noteRead(events: number, now: number): void {
    if (events === 0) return;
    const sinceMs = now - (this.lastReadAt ?? -Infinity);
    if (sinceMs < SAME_READ_MS) {
      this.pendingEvents += events;
      return;
    }
    this.countPending();
    this.pendingMs = this.lastReadAt === undefined ? undefined : sinceMs;
    this.pendingEvents = events;
    this.lastReadAt = now;
  }

  /** The backend is not read for a time, because the caller reads slowly: that gap is not its own. */
  interrupt(): void {
    this.countPending();
    this.lastReadAt = undefined;
  }

  /** The stream has ended. */
  end(): void {
    this.interrupt();
    if (this.gaps < LEAST_GAPS) return;
    const usualMs = Math.exp(this.logSum / this.gaps);
    this.gaps = 0;
    if (this.pauseGoalMs > usualMs * NEAR_GOAL_RATIO) return;
    this.samples.addPause(this.longestMs / usualMs);
  }

  private countPending(): void {
    const { pendingMs, pendingEvents: gaps, backend, model, pauseGoalMs } = this;
    this.pendingMs = undefined;
    this.pendingEvents = 0;
    if (pendingMs === undefined || gaps === 0) return;
    const gapMs = Math.min(LONGEST_COUNTED_MS, Math.max(SHORTEST_COUNTED_MS, pendingMs / gaps));
    const logSum = gaps * Math.log(gapMs);
    this.longestMs = Math.max(this.longestMs, pendingMs);
    this.gaps += gaps;
    this.logSum += logSum;
    this.samples.add({ backend, model, gaps, logSum, pauseGoalMs });
  }
}
