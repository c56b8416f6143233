/**
 * One tenant's limit over all daemons, as its holder counts it: units in a sliding window,
 * with pacing of a tenant that comes near the limit. A request is counted when it is
 * admitted, and its units are returned if it has not run. This is the class "admission
 * counted" of the user documentation (_How a limit counts_), with one counter for all
 * daemons. Pure; times are milliseconds of a steady clock.
 */
import { SlidingSum } from '../sliding-sum.js';
import { TokenBucket } from '../token-bucket.js';
import type { HolderView, LimitDecision, RateLedger, RateLimit } from './rate-ledger.js';

/** The window over which limits are enforced, and the excess that is tolerated in it. */
export interface LimitWindow {
  /** Window length in milliseconds. The limit applies to every window of this length. */
  readonly windowMs: number;
  /** Tolerated excess in a window as a fraction of the limit. */
  readonly excess: number;
  /** Tolerated excess in a window in units, in addition to the fraction. */
  readonly slack: number;
}

/** Fraction of the capacity above which requests are paced. Below it no request is delayed. */
const PACING_THRESHOLD = 0.7;
/**
 * Requests need the holder's decision first once usage reaches the upper fraction of the capacity, and
 * until it falls below the lower one.
 */
const APPROVAL_THRESHOLD = 0.5;
const APPROVAL_RELEASE_THRESHOLD = 0.35;
/** Fraction of the excess that the holder grants. The rest covers requests that daemons admit before its messages reach them. */
const GRANTED_EXCESS_FRACTION = 0.5;

/** Counts the units of one tenant. */
export class LimitLedger implements RateLedger {
  private readonly admitted: SlidingSum;
  private readonly bucket: TokenBucket;
  private reported = 0;
  private largestRequest = 0;
  private isNearLimit = true;

  /**
   * @param startedAt - Steady time at which counting starts. The tenant is assumed to have used its
   *   full limit before, because the holder has no count from that time.
   */
  constructor(
    private limit: RateLimit,
    private readonly window: LimitWindow,
    private view: HolderView,
    private startedAt: number,
  ) {
    this.admitted = new SlidingSum(window.windowMs);
    const { share } = view;
    this.bucket = new TokenBucket(limit.perSecond * share, limit.burst * share, startedAt);
    this.bucket.spend(Math.max(0, limit.burst * share - this.spareUnits()), startedAt);
  }

  /** Applies a changed limit or a changed view of the group. */
  configure(limit: RateLimit, view: HolderView, now: number): void {
    this.limit = limit;
    this.view = view;
    this.bucket.setRate(limit.perSecond * view.share, limit.burst * view.share, now);
  }

  /**
   * Restarts counting after another daemon was the holder until now. The tenant is assumed to have used
   * its full limit before, less the units that daemons report afterwards.
   *
   * @param unseen - Units that a previous holder admitted for itself beyond its share. No daemon reports them.
   */
  restartFrom(now: number, unseen: number): void {
    this.startedAt = now;
    this.reported = this.admitted.total(now);
    if (unseen > 0) this.admitted.add(unseen, now);
    const { perSecond, burst } = this.limit;
    const { share } = this.view;
    // The smaller burst discards tokens beyond the spare units; the second call restores the usual burst.
    this.bucket.setRate(perSecond * share, Math.min(burst * share, this.spareUnits()), now);
    this.bucket.setRate(perSecond * share, burst * share, now);
  }

  /** Counts units that were admitted without the holder's decision. Negative units are returned ones. */
  count(units: number, now: number): void {
    this.admitted.add(units, now);
    this.bucket.spend(units, now);
    this.largestRequest = Math.max(this.largestRequest, units);
  }

  /** Counts units that a daemon reports for the window that ends now. They replace assumed usage. */
  countReported(units: number, now: number): void {
    this.admitted.add(units, now);
    this.reported += units;
  }

  /** Admits a request, or returns a delay after which to retry. */
  admit(units: number, now: number): LimitDecision {
    const used = this.used(now);
    const capacity = this.capacity();
    if (used + units > capacity)
      return { type: 'over_limit', retryAfterMs: this.waitForUnitsMs(units, now) };
    const isPaced = used + units > capacity * PACING_THRESHOLD;
    // A request larger than the burst is admitted by a full bucket; otherwise it would never be admitted.
    const needed = Math.min(units, this.limit.burst * this.view.share);
    if (isPaced && !this.bucket.hasUnits(needed, now)) {
      // After a window without requests none is paced, however long the bucket of a small limit takes to fill.
      const retryAfterMs = Math.min(this.bucket.waitMs(now, needed), this.window.windowMs);
      return { type: 'over_limit', retryAfterMs };
    }
    this.count(units, now);
    return { type: 'granted' };
  }

  /** Returns whether requests need the holder's decision before they are admitted. */
  requiresApproval(now: number): boolean {
    const usedFraction = this.used(now) / Math.max(1, this.capacity());
    this.isNearLimit =
      usedFraction >= (this.isNearLimit ? APPROVAL_RELEASE_THRESHOLD : APPROVAL_THRESHOLD);
    // With a small limit, one request per daemon before the holder's first message could exceed it.
    const isSmallLimit = this.largestRequest * this.view.daemons > this.capacity();
    return this.isNearLimit || isSmallLimit;
  }

  /** Returns the units used in the window that ends now, including usage assumed before the start. */
  used(now: number): number {
    return this.admitted.total(now) + this.assumedUnits(now);
  }

  /** Returns the units that the holder grants in a window. */
  capacity(): number {
    return this.limitUnits() * this.view.share + this.spareUnits();
  }

  private limitUnits(): number {
    return (this.limit.perSecond * this.window.windowMs) / 1_000 + this.limit.burst;
  }

  private spareUnits(): number {
    const { excess, slack } = this.window;
    return (this.limitUnits() * excess + slack) * GRANTED_EXCESS_FRACTION * this.view.share;
  }

  /** Returns the units that a tenant at its limit used in the part of the window before counting started. */
  private assumedUnits(now: number): number {
    const uncountedMs = Math.max(0, this.window.windowMs - (now - this.startedAt));
    const atLimit = (this.limit.perSecond * this.view.share * uncountedMs) / 1_000;
    return Math.max(0, atLimit - this.reported);
  }

  private waitForUnitsMs(units: number, now: number): number {
    const allowed = this.capacity() - units - this.assumedUnits(now);
    return this.admitted.msUntilAtMost(Math.max(0, allowed), now);
  }
}
