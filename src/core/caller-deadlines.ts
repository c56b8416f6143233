/**
 * Distinguishes callers that retry after a refusal from callers that try for the
 * first time: all callers of a route usually start with the same time until their
 * deadline, and a retry has less time left. Pure.
 */

/** Number of recent deadlines remembered per route. */
const MAX_REMEMBERED_DEADLINES = 64;
/** Maximum time in milliseconds that a first try may spend on establishing its connection. */
const MAX_CONNECTION_MS = 60;
/** Share of the remembered deadlines that must agree before they count as the usual deadline. */
const MIN_AGREEING_SHARE = 0.4;

/** Recent deadlines of the callers of one route. */
export class CallerDeadlines {
  private readonly newest: number[] = [];
  private nextIndex = 0;

  /** Records the time in milliseconds until a caller's deadline, at the arrival of its request. */
  recordDeadline(deadlineMs: number): void {
    this.newest[this.nextIndex] = deadlineMs;
    this.nextIndex = (this.nextIndex + 1) % MAX_REMEMBERED_DEADLINES;
  }

  /** Whether a caller with `deadlineMs` left has most likely been refused before. */
  isLikelyRetry(deadlineMs: number): boolean {
    const usual = Math.max(...this.newest);
    const agreeing = this.newest.filter((deadline) => usual - deadline < MAX_CONNECTION_MS);
    if (agreeing.length < this.newest.length * MIN_AGREEING_SHARE) return false;
    return usual - deadlineMs >= MAX_CONNECTION_MS;
  }
}
