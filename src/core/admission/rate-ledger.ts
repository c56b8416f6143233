/**
 * The interface of one limit over all daemons, as its holder counts it. `limit-ledger.ts` and `permit-ledger.ts`
 * implement it. Times are milliseconds of a steady clock.
 */

/** A rate with a bounded burst. */
export interface RateLimit {
  /** Units a second. */
  readonly perSecond: number;
  /** Units. */
  readonly burst: number;
}

/** The decision on a request. */
export type LimitDecision =
  | { readonly type: 'granted' }
  /** The limit is reached. The units are expected to be available after `retryAfterMs`. */
  | { readonly type: 'over_limit'; readonly retryAfterMs: number }
  /** No holder with a lease has replied. */
  | { readonly type: 'unknown' };

/** The group as the holder sees it. */
export interface HolderView {
  /** Number of daemons that the holder sees. */
  readonly daemons: number;
  /** Fraction of the limit that belongs to the daemons it sees. Daemons across a partition may use the rest. */
  readonly share: number;
}

/** Counts the units of one limit and decides on requests under it. */
export interface RateLedger {
  /** Applies a changed limit or a changed view of the group. */
  configure(limit: RateLimit, view: HolderView, now: number): void;
  /**
   * Restarts counting after another daemon was the holder until now.
   *
   * @param unseen - Units that a previous holder admitted for itself beyond its share. No daemon reports them.
   */
  restartFrom(now: number, unseen: number): void;
  /** Counts units that were admitted without the holder's decision. Negative units are returned ones. */
  count(units: number, now: number): void;
  /** Counts units that a daemon reports as admitted in the window that ends now. */
  countReported(units: number, now: number): void;
  /** Admits a request, or returns a delay after which to retry. */
  admit(units: number, now: number): LimitDecision;
  /** Returns whether requests need the holder's decision before they are admitted. */
  requiresApproval(now: number): boolean;
  /** Returns the units in use, for log lines. */
  used(now: number): number;
  /** Returns the maximum number of units that the holder grants, for log lines. */
  capacity(): number;
}
