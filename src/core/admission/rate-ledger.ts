/**
 * One limit over all daemons, as its holder counts it. An interface; `limit-ledger.ts` and `permit-ledger.ts`
 * are its policies. Times are milliseconds of a steady clock.
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
  /** The units should be there after `retryAfterMs`. */
  | { readonly type: 'over_limit'; readonly retryAfterMs: number }
  /** Nobody who counts has answered. */
  | { readonly type: 'unknown' };

/** What the holder knows of the group. */
export interface HolderView {
  /** Daemons that are seen. */
  readonly daemons: number;
  /** Share of the listed daemons that are seen: the others, cut off, may count the rest of the limit. */
  readonly share: number;
}

/** The count of one limit. */
export interface RateLedger {
  /** Puts a changed limit, or another view of the group, in force. */
  configure(limit: RateLimit, view: HolderView, now: number): void;
  /**
   * Others have counted until now.
   *
   * @param unseen - Units that a former holder has admitted for itself beyond its share; nobody tells of them.
   */
  countFrom(now: number, unseen: number): void;
  /** Counts units that were admitted without a question, or gives them back. */
  count(units: number, now: number): void;
  /** Counts what a daemon has admitted in the window that ends now. */
  recall(units: number, now: number): void;
  /** Admits a request, or tells when to come back. */
  admit(units: number, now: number): LimitDecision;
  /** Whether requests need the holder's decision first. */
  isTight(now: number): boolean;
  /** Units in use, for log lines. */
  used(now: number): number;
  /** Units that the holder grants at most, for log lines. */
  capacity(): number;
}
