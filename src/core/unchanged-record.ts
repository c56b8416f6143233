/**
 * Measures for how long a stored record has not changed, from the revisions that a daemon reads. Only an uninterrupted series of reads
 * counts: while the store does not respond, nobody can change the record. No I/O; times are milliseconds of the steady clock.
 */
import type { StorePosition } from './store-position.js';

/** Maximum time between two reads of a series, in milliseconds. */
const MAX_READ_GAP_MS = 2_500;

/** The observations of one record. */
export class UnchangedRecord {
  private revision: StorePosition | undefined;
  private since = Infinity;
  private lastReadAt = -Infinity;

  /** Processes the revision that a read returned; undefined if the record does not exist. */
  observe(revision: StorePosition | undefined, now: number): void {
    const isSame = revision === this.revision && now - this.lastReadAt <= MAX_READ_GAP_MS;
    if (!isSame || this.since === Infinity) this.since = now;
    this.revision = revision;
    this.lastReadAt = now;
  }

  /** Ends the series of reads, because one has failed or the process was paused. */
  interrupt(): void {
    this.since = Infinity;
  }

  /** Time from the first to the last read of the series that returned the present revision, in milliseconds. */
  unchangedMs(): number {
    return Math.max(0, this.lastReadAt - this.since);
  }
}
