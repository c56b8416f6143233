/**
 * Directory changes that are sent repeatedly for a while. A daemon may have missed the first message because its
 * connection was closed or because it was considered dead. Performs no I/O; times are milliseconds of a steady clock.
 */
import type { PresenceChanges } from './backend-presence.js';

/**
 * Time for which a change is sent, in milliseconds. A connection without acknowledgements is replaced after 1.8 s;
 * the rest of the time suffices for one more message over the new connection.
 */
const RETENTION_MS = 3_000;
/** Number of changes sent, the newest ones, so that messages stay small even if all backends change at once. */
const MAX_CHANGES = 500;

interface TimedChanges extends PresenceChanges {
  readonly at: number;
}

/** The directory changes of the last seconds. */
export class RecentChanges {
  private retained: TimedChanges[] = [];

  add({ ended, started }: PresenceChanges, now: number): void {
    this.deleteExpired(now);
    if (ended.length + started.length > 0) this.retained.push({ at: now, ended, started });
  }

  /** Returns all changes that are still sent, oldest first. */
  all(now: number): PresenceChanges {
    this.deleteExpired(now);
    return {
      ended: this.retained.flatMap(({ ended }) => ended).slice(-MAX_CHANGES),
      started: this.retained.flatMap(({ started }) => started).slice(-MAX_CHANGES),
    };
  }

  /** Also called on each new change, because a daemon without peers never calls `all` and would keep every change. */
  private deleteExpired(now: number): void {
    this.retained = this.retained.filter(({ at }) => now - at < RETENTION_MS);
  }
}
