/**
 * What the entries of daemons in the platform's list tell of their ends. Each daemon renews its entry now and then; one that
 * stops as planned removes it. Pure; times are milliseconds of the steady clock.
 */
import { RENEWAL_LAPSES_MS } from './admission/limit-shares.js';
import type { StorePosition } from './store-position.js';

/** A daemon whose entry is unchanged for so long has lapsed by its own clock: lists may be some seconds old. */
const UNCHANGED_MS = RENEWAL_LAPSES_MS + 60_000;
/** A daemon whose entry is missing for so long has removed it: a store that comes back from a copy lacks entries until they are written again. */
const MISSING_MS = 90_000;

/** An entry as it was read. */
export interface MemberEntry {
  readonly address: string;
  readonly revision: StorePosition;
}

interface SeenEntry {
  revision: StorePosition;
  /** Since when it is as it is. */
  since: number;
}

/** The entries as one daemon has read them. */
export class MemberEntries {
  private readonly entries = new Map<string, SeenEntry>();
  private readonly missingSince = new Map<string, number>();
  private hasRead = false;

  /** Takes a reading of the whole list. */
  observe(list: readonly MemberEntry[], now: number): void {
    const addresses = new Set(list.map(({ address }) => address));
    for (const address of this.entries.keys()) {
      if (!addresses.has(address)) this.missing(address, now);
    }
    for (const { address, revision } of list) {
      this.missingSince.delete(address);
      const known = this.entries.get(address);
      if (known?.revision !== revision) this.entries.set(address, { revision, since: now });
    }
    this.hasRead = true;
  }

  /** Whether a daemon's process has ended, or counts nothing any more by its own clock. */
  hasEnded(address: string, now: number): boolean {
    if (!this.hasRead) return false;
    const entry = this.entries.get(address);
    if (entry !== undefined) return now - entry.since >= UNCHANGED_MS;
    return now - this.missing(address, now) >= MISSING_MS;
  }

  /** Since when an address has not been in the list. */
  private missing(address: string, now: number): number {
    this.entries.delete(address);
    const since = this.missingSince.get(address) ?? now;
    this.missingSince.set(address, since);
    return since;
  }
}
