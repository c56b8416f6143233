/**
 * Detects from the entries in the platform's list of daemons which daemons have ended. Each daemon renews its entry
 * periodically and removes it on a planned stop. Performs no I/O; times are milliseconds of the steady clock.
 */
import { RENEWAL_EXPIRY_MS } from './admission/limit-shares.js';
import type { StorePosition } from './store-position.js';

/** A daemon whose entry has been unchanged for this time has expired by its own clock too, since lists can be some seconds old. */
const UNCHANGED_TIMEOUT_MS = RENEWAL_EXPIRY_MS + 60_000;
/** A daemon whose entry has been missing for this time has removed it. A store restored from a backup lacks entries for a shorter time, until daemons write them again. */
const MISSING_TIMEOUT_MS = 90_000;

/** A daemon's entry, as read from the list. */
export interface MemberEntry {
  readonly address: string;
  readonly revision: StorePosition;
}

interface ObservedEntry {
  revision: StorePosition;
  /** Time at which this revision was first read. */
  unchangedSince: number;
}

/** The entries that one daemon has read, and when they last changed. */
export class MemberEntries {
  private readonly entries = new Map<string, ObservedEntry>();
  private readonly missingSince = new Map<string, number>();
  private hasObserved = false;

  /** Processes a complete read of the list. */
  observe(list: readonly MemberEntry[], now: number): void {
    const addresses = new Set(list.map(({ address }) => address));
    for (const address of this.entries.keys()) {
      if (!addresses.has(address)) this.markMissing(address, now);
    }
    for (const { address, revision } of list) {
      this.missingSince.delete(address);
      const known = this.entries.get(address);
      if (known?.revision !== revision)
        this.entries.set(address, { revision, unchangedSince: now });
    }
    this.hasObserved = true;
  }

  /** Whether a daemon's process has ended, or its share of the limits has expired by its own clock. */
  hasEnded(address: string, now: number): boolean {
    if (!this.hasObserved) return false;
    const entry = this.entries.get(address);
    if (entry !== undefined) return now - entry.unchangedSince >= UNCHANGED_TIMEOUT_MS;
    return now - this.markMissing(address, now) >= MISSING_TIMEOUT_MS;
  }

  /** Deletes an address's entry and returns the time since which it is missing from the list. */
  private markMissing(address: string, now: number): number {
    this.entries.delete(address);
    const since = this.missingSince.get(address) ?? now;
    this.missingSince.set(address, since);
    return since;
  }
}
