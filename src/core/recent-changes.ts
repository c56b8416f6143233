/**
 * Changes of the directory that are told again for a while: a daemon may have missed the first telling,
 * over a connection that was given up or because it was taken for dead. Pure; times are milliseconds of a
 * steady clock.
 */
import type { PresenceChanges } from './backend-presence.js';

/**
 * A change is told for so long: past the 1.8 s after which a connection that is not acknowledged is replaced,
 * with one more telling over the new one.
 */
const TOLD_FOR_MS = 3_000;
/** Changes that are kept, the newest ones: news stay small also when all backends change at once. */
const MOST_KEPT = 500;

interface NotedChanges extends PresenceChanges {
  readonly at: number;
}

/** The changes of the last seconds. */
export class RecentChanges {
  private noted: NotedChanges[] = [];

  note({ ended, started }: PresenceChanges, now: number): void {
    this.forgetOld(now);
    if (ended.length + started.length > 0) this.noted.push({ at: now, ended, started });
  }

  /** All that is still told, the oldest first. */
  all(now: number): PresenceChanges {
    this.forgetOld(now);
    return {
      ended: this.noted.flatMap(({ ended }) => ended).slice(-MOST_KEPT),
      started: this.noted.flatMap(({ started }) => started).slice(-MOST_KEPT),
    };
  }

  /** With each change too: a daemon that tells nobody asks for nothing, and would keep all. */
  private forgetOld(now: number): void {
    this.noted = this.noted.filter(({ at }) => now - at < TOLD_FOR_MS);
  }
}
