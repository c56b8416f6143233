/** Limits the rate of log lines for each event name. Performs no I/O. */

/** Capacity and refill rate of the token bucket of one event. */
const BURST_LINES = 200;
const LINES_PER_SECOND = 50;

/** Decision about one log line. */
export interface LogLineDecision {
  readonly written: boolean;
  /** Lines of this event dropped since the last one that was written. */
  readonly leftOut: number;
}

interface EventBucket {
  tokens: number;
  updatedAt: number;
  leftOut: number;
}

/** Holds a token bucket for each event name. */
export class LogRateLimiter {
  private readonly buckets = new Map<string, EventBucket>();

  /**
   * Decides whether one line of the event is written.
   *
   * @param now - Monotonic time in milliseconds.
   * @param isBlocked - The reader of the log is too slow; the line is dropped regardless of the limit.
   */
  take(event: string, now: number, isBlocked: boolean): LogLineDecision {
    const bucket = this.buckets.get(event) ?? { tokens: BURST_LINES, updatedAt: now, leftOut: 0 };
    this.buckets.set(event, bucket);
    const added = ((now - bucket.updatedAt) / 1_000) * LINES_PER_SECOND;
    bucket.tokens = Math.min(BURST_LINES, bucket.tokens + added);
    bucket.updatedAt = now;
    if (isBlocked || bucket.tokens < 1) {
      bucket.leftOut += 1;
      return { written: false, leftOut: bucket.leftOut };
    }
    bucket.tokens -= 1;
    const { leftOut } = bucket;
    bucket.leftOut = 0;
    return { written: true, leftOut };
  }
}
