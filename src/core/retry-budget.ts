/**
 * The daemons' common budget for repeated sends to a service. Each daemon has a part of
 * its slack (`admission/limit-shares.ts`). A send is counted at the gate, before it is made, and is never given
 * back: the class "admission counted" of the paper in the users' reading, with
 * a counter for each daemon, so the sum cannot overshoot.
 * Pure; times are milliseconds of a steady clock.
 */

/** How much may be repeated. */
export interface RetryBudgetLimits {
  /** Repeated sends for each first one. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeated sends in a window on top of the ratio, over all daemons. */
  readonly slack: number;
}

/** This daemon's part of one service's budget. */
export class RetryBudget {
  private readonly requests: number[] = [];
  private readonly retries: number[] = [];

  /**
   * @param startedAt - The process may be the successor of one that spent its whole part at
   *   its end: the slack is granted only once a window has passed.
   */
  constructor(
    private readonly limits: RetryBudgetLimits,
    private readonly startedAt: number,
  ) {}

  /** Counts a request's first send. */
  countRequest(now: number): void {
    this.requests.push(now);
    this.forget(now);
  }

  /**
   * Takes one repeated send; false if the part of this daemon is spent.
   *
   * @param parts - Parts into which the slack is divided, one for this daemon; infinite if it has none.
   */
  takeRetry(now: number, parts: number): boolean {
    this.forget(now);
    if (this.retries.length + 1 > this.allowance(now, parts)) return false;
    this.retries.push(now);
    return true;
  }

  /** Repeated sends that this daemon may make in the window that ends now. */
  allowance(now: number, parts: number): number {
    const isSuccessor = now - this.startedAt < this.limits.windowMs;
    const slack = isSuccessor ? 0 : this.limits.slack / Math.max(1, parts);
    return Math.floor(this.limits.ratio * this.requests.length + slack);
  }

  private forget(now: number): void {
    dropBefore(this.requests, now - this.limits.windowMs);
    dropBefore(this.retries, now - this.limits.windowMs);
  }
}

function dropBefore(times: number[], limit: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < limit) count += 1;
  if (count > 0) times.splice(0, count);
}
