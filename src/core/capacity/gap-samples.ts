/**
 * Collects the gaps that one daemon observes between the events of streams, until the next report to the
 * owner of the service. Gaps are summed as logarithms, so that slow periods and single stalls have little
 * weight. No I/O; times are milliseconds of a monotonic clock.
 */
import { pauseRatioClass, PAUSE_RATIO_CLASSES } from './pause-shares.js';

/** Observed gaps of one model's streams at one backend. */
export interface GapSample {
  readonly backend: string;
  readonly model: string;
  readonly gaps: number;
  /** Sum of the natural logarithms of the gaps in milliseconds. */
  readonly logSum: number;
  /** Shortest pause goal of the streams, in milliseconds. */
  readonly pauseGoalMs: number;
}

/** A daemon's report on streams. */
export interface GapReport {
  readonly samples: readonly GapSample[];
  /** Numbers of finished streams, by the class of the ratio of their longest pause to their usual gap. */
  readonly pauseClasses: readonly number[];
}

/** Minimum time between two reports of gaps; reports sent early for other reasons carry no gaps. */
const REPORT_PERIOD_MS = 250;
/** Maximum number of samples in one report; the rest is sent with later reports. */
const MAX_REPORT_SAMPLES = 48;
/** Maximum number of backend and model pairs collected between reports; further pairs are ignored. */
const MAX_COLLECTED_PAIRS = 512;
/** Events closer together than this were delayed on the network and count towards the gap before them. */
const BURST_GAP_MS = 2;
/** Gaps are clamped to this range. */
const MIN_COUNTED_GAP_MS = 1;
const MAX_COUNTED_GAP_MS = 5_000;
/** Streams with fewer gaps are ignored in the pause statistics. */
const MIN_GAPS = 8;
/**
 * Streams whose pause goal is more than this many times their usual gap are ignored in the pause statistics.
 * A slow period of the backend cannot bring them near the goal, so their pauses have other causes and do
 * not predict those of slower streams.
 */
const MAX_GOAL_RATIO = 6;

interface CollectedGaps {
  readonly backend: string;
  readonly model: string;
  gaps: number;
  logSum: number;
  pauseGoalMs: number;
}

/** Collects the gaps of one service's streams. */
export class GapSamples {
  private readonly collected = new Map<string, CollectedGaps>();
  private pauseClasses = PAUSE_RATIO_CLASSES.map(() => 0);
  private streams = 0;
  private reportedAt = -Infinity;

  /** Whether there is data to report and the minimum time since the last report has passed. */
  isDue(now: number): boolean {
    const isEmpty = this.collected.size === 0 && this.streams === 0;
    return !isEmpty && now - this.reportedAt >= REPORT_PERIOD_MS;
  }

  /** Starts to measure a stream. */
  measureStream(backend: string, model: string, pauseGoalMs: number): StreamGaps {
    return new StreamGaps(this, backend, model, pauseGoalMs);
  }

  /** Adds gaps of one length from one stream. */
  add(sample: GapSample): void {
    const { backend, model, pauseGoalMs } = sample;
    const key = `${backend} ${model}`;
    const known = this.collected.get(key) ?? { backend, model, gaps: 0, logSum: 0, pauseGoalMs };
    if (!this.collected.has(key) && this.collected.size >= MAX_COLLECTED_PAIRS) return;
    known.gaps += sample.gaps;
    known.logSum += sample.logSum;
    known.pauseGoalMs = Math.min(known.pauseGoalMs, pauseGoalMs);
    this.collected.set(key, known);
  }

  /** Counts a finished stream by the ratio of its longest pause to its usual gap. */
  addPauseRatio(ratio: number): void {
    const index = pauseRatioClass(ratio);
    this.pauseClasses[index] = (this.pauseClasses[index] ?? 0) + 1;
    this.streams += 1;
  }

  /** Returns and removes the data for a report, starting with the pairs that were collected first. */
  takeReport(now: number): GapReport {
    this.reportedAt = now;
    const samples = [...this.collected.values()].slice(0, MAX_REPORT_SAMPLES);
    for (const { backend, model } of samples) this.collected.delete(`${backend} ${model}`);
    const { pauseClasses } = this;
    this.pauseClasses = PAUSE_RATIO_CLASSES.map(() => 0);
    this.streams = 0;
    return { samples, pauseClasses };
  }
}

/** Measures the gaps of one stream while one backend sends it. */
export class StreamGaps {
  private lastReadAt: number | undefined;
  /** Gap before the last read; kept until all events that belong to it have arrived. */
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

  /** Records complete events that arrived from the backend in one read. */
  recordRead(events: number, now: number): void {
    if (events === 0) return;
    const sinceMs = now - (this.lastReadAt ?? -Infinity);
    if (sinceMs < BURST_GAP_MS) {
      this.pendingEvents += events;
      return;
    }
    this.countPendingGap();
    this.pendingMs = this.lastReadAt === undefined ? undefined : sinceMs;
    this.pendingEvents = events;
    this.lastReadAt = now;
  }

  /** Excludes the current gap: the daemon stops reading because the caller is slow, so the backend is not the cause. */
  interrupt(): void {
    this.countPendingGap();
    this.lastReadAt = undefined;
  }

  /** Ends the measurement and counts the stream in the pause statistics. */
  end(): void {
    this.interrupt();
    if (this.gaps < MIN_GAPS) return;
    const usualMs = Math.exp(this.logSum / this.gaps);
    this.gaps = 0;
    if (this.pauseGoalMs > usualMs * MAX_GOAL_RATIO) return;
    this.samples.addPauseRatio(this.longestMs / usualMs);
  }

  private countPendingGap(): void {
    const { pendingMs, pendingEvents: gaps, backend, model, pauseGoalMs } = this;
    this.pendingMs = undefined;
    this.pendingEvents = 0;
    if (pendingMs === undefined || gaps === 0) return;
    const gapMs = Math.min(MAX_COUNTED_GAP_MS, Math.max(MIN_COUNTED_GAP_MS, pendingMs / gaps));
    const logSum = gaps * Math.log(gapMs);
    this.longestMs = Math.max(this.longestMs, pendingMs);
    this.gaps += gaps;
    this.logSum += logSum;
    this.samples.add({ backend, model, gaps, logSum, pauseGoalMs });
  }
}
