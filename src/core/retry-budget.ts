/**
 * Retry budget for one service, shared by all daemons. Each daemon holds a share of the budget's slack
 * (`admission/limit-shares.ts`). A retry is counted on admission, before it is sent, and the count is returned
 * only if it was never sent. This is the class "admission counted" of the paper that the users refer to. Each daemon
 * has its own counter, so the sum over all daemons cannot exceed the budget.
 * Pure; times are milliseconds of a monotonic clock.
 */

/** Limits on retries to a service. */
export interface RetryBudgetLimits {
  /** Allowed retries per first send. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries per window allowed in addition to the ratio, over all daemons. */
  readonly slack: number;
}

/** This daemon's share of one service's retry budget. */
export class RetryBudget {
  private readonly requests: number[] = [];
  private readonly retries: number[] = [];

  /**
   * @param startedAt - Start time of the process. An earlier process of this daemon may have spent its whole
   *   share just before it ended, so the slack becomes available only after one window.
   */
  constructor(
    private readonly limits: RetryBudgetLimits,
    private readonly startedAt: number,
  ) {}

  /** Counts a request's first send. */
  countRequest(now: number): void {
    this.requests.push(now);
    this.removeExpired(now);
  }

  /**
   * Takes one retry from the budget; returns false if this daemon's share is spent.
   *
   * @param parts - Number of equal shares of the slack, one of them for this daemon; infinite if it has no share.
   */
  takeRetry(now: number, parts: number): boolean {
    this.removeExpired(now);
    if (this.retries.length + 1 > this.allowance(now, parts)) return false;
    this.retries.push(now);
    return true;
  }

  /**
   * Returns a retry that was not sent.
   *
   * @param takenAt - Time at which it was taken.
   */
  returnRetry(takenAt: number): void {
    const index = this.retries.indexOf(takenAt);
    // Absent if it has left the window.
    if (index >= 0) this.retries.splice(index, 1);
  }

  /** Retries that this daemon may send in the window that ends now. */
  allowance(now: number, parts: number): number {
    const isInFirstWindow = now - this.startedAt < this.limits.windowMs;
    const slack = isInFirstWindow ? 0 : this.limits.slack / Math.max(1, parts);
    return Math.floor(this.limits.ratio * this.requests.length + slack);
  }

  private removeExpired(now: number): void {
    removeBefore(this.requests, now - this.limits.windowMs);
    removeBefore(this.retries, now - this.limits.windowMs);
  }
}

function removeBefore(times: number[], limit: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < limit) count += 1;
  if (count > 0) times.splice(0, count);
}
