/**
 * Tells callers that come back after a refusal from those that come for the
 * first time: all callers of a route usually start with the same time to their
 * deadline, and one that comes back has less left. Pure.
 */

/** Newest deadlines of a route that are remembered. */
const REMEMBERED = 64;
/** A first try may have spent so long on its connection, in milliseconds. */
const CONNECTION_MS = 60;
/** Share of the remembered deadlines that must agree for a usual one to exist. */
const USUAL_SHARE = 0.4;

/** The deadlines that the callers of one route have sent. */
export class CallerDeadlines {
  private readonly newest: number[] = [];
  private next = 0;

  /** Notes the time that a caller has left on arrival, in milliseconds. */
  note(deadlineMs: number): void {
    this.newest[this.next] = deadlineMs;
    this.next = (this.next + 1) % REMEMBERED;
  }

  /** Whether a caller with so much time left has most likely been refused before. */
  hasComeBack(deadlineMs: number): boolean {
    const usual = Math.max(...this.newest);
    const agreeing = this.newest.filter((deadline) => usual - deadline < CONNECTION_MS);
    if (agreeing.length < this.newest.length * USUAL_SHARE) return false;
    return usual - deadlineMs >= CONNECTION_MS;
  }
}
