/**
 * One tenant's limit over all daemons, as its holder counts it: units in a sliding window,
 * and a pace for a tenant that comes near the limit. A request is counted when it is
 * admitted and given back if it has not run: the class "admission counted" of the paper in
 * the users' reading (_How a limit counts_), with one counter for all daemons. Pure; times
 * are milliseconds of a steady clock.
 */
import { SlidingSum } from '../sliding-sum.js';
import { TokenBucket } from '../token-bucket.js';
import type { HolderView, LimitDecision, RateLedger, RateLimit } from './rate-ledger.js';

/** How limits are measured. */
export interface LimitWindow {
  /** The operator counts units in any window of this length. */
  readonly windowMs: number;
  /** Share of the limit that may be exceeded in a window. */
  readonly excess: number;
  /** Units that may be exceeded in a window besides. */
  readonly slack: number;
}

/** Share of a window's units above which requests are paced: below it none waits for its turn. */
const PACED_SHARE = 0.7;
/** From this share on requests need the holder's decision first, until it falls under the other one. */
const TIGHT_SHARE = 0.5;
const RELAXED_SHARE = 0.35;
/** Part of the excess that the holder grants; the rest is for what daemons admit before they hear. */
const GRANTED_EXCESS_SHARE = 0.5;

/** The count of one tenant. */
export class LimitLedger implements RateLedger {
  private readonly admitted: SlidingSum;
  private readonly bucket: TokenBucket;
  private recalled = 0;
  private largestCharge = 0;
  private isNear = true;

  /**
   * @param startedAt - Steady time. The holder has counted nothing before: it takes the tenant
   *   for one that was at its limit.
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
    this.bucket.spend(Math.max(0, limit.burst * share - this.spare()), startedAt);
  }

  /** Puts a changed limit, or another view of the group, in force. */
  configure(limit: RateLimit, view: HolderView, now: number): void {
    this.limit = limit;
    this.view = view;
    this.bucket.setRate(limit.perSecond * view.share, limit.burst * view.share, now);
  }

  /**
   * Others have counted until now: the holder takes the tenant for one that was at its limit, as far as
   * it has not been told otherwise.
   *
   * @param unseen - Units that a former holder has admitted for itself beyond its share; nobody tells of them.
   */
  countFrom(now: number, unseen: number): void {
    this.startedAt = now;
    this.recalled = this.admitted.total(now);
    if (unseen > 0) this.admitted.add(unseen, now);
    const { perSecond, burst } = this.limit;
    const { share } = this.view;
    // The smaller burst takes away what the bucket holds beyond it; the usual one is then in force again.
    this.bucket.setRate(perSecond * share, Math.min(burst * share, this.spare()), now);
    this.bucket.setRate(perSecond * share, burst * share, now);
  }

  /** Counts units that were admitted without a question, or gives them back. */
  count(units: number, now: number): void {
    this.admitted.add(units, now);
    this.bucket.spend(units, now);
    this.largestCharge = Math.max(this.largestCharge, units);
  }

  /** Counts what a daemon has admitted in the window that ends now: it is assumed no longer. */
  recall(units: number, now: number): void {
    this.admitted.add(units, now);
    this.recalled += units;
  }

  /** Admits a request, or tells when to come back. */
  admit(units: number, now: number): LimitDecision {
    const used = this.used(now);
    const capacity = this.capacity();
    if (used + units > capacity)
      return { type: 'over_limit', retryAfterMs: this.roomIn(units, now) };
    const isPaced = used + units > capacity * PACED_SHARE;
    // A request larger than the burst passes a full bucket: nothing else would ever serve it.
    const needed = Math.min(units, this.limit.burst * this.view.share);
    if (isPaced && !this.bucket.holds(needed, now)) {
      return { type: 'over_limit', retryAfterMs: this.bucket.waitMs(now, needed) };
    }
    this.count(units, now);
    return { type: 'granted' };
  }

  /** Whether requests need the holder's decision first. */
  isTight(now: number): boolean {
    const usedShare = this.used(now) / Math.max(1, this.capacity());
    this.isNear = usedShare >= (this.isNear ? RELAXED_SHARE : TIGHT_SHARE);
    // One request of each daemon, before any hears, must not pass a small limit.
    const isSmall = this.largestCharge * this.view.daemons > this.capacity();
    return this.isNear || isSmall;
  }

  /** Units in the window that ends now, those assumed from before the start among them. */
  used(now: number): number {
    return this.admitted.total(now) + this.assumed(now);
  }

  /** Units that the holder grants in a window. */
  capacity(): number {
    return this.plainUnits() * this.view.share + this.spare();
  }

  private plainUnits(): number {
    return (this.limit.perSecond * this.window.windowMs) / 1_000 + this.limit.burst;
  }

  private spare(): number {
    const { excess, slack } = this.window;
    return (this.plainUnits() * excess + slack) * GRANTED_EXCESS_SHARE * this.view.share;
  }

  /** What a tenant at its limit has used of the window before the holder began to count. */
  private assumed(now: number): number {
    const uncountedMs = Math.max(0, this.window.windowMs - (now - this.startedAt));
    const atLimit = (this.limit.perSecond * this.view.share * uncountedMs) / 1_000;
    return Math.max(0, atLimit - this.recalled);
  }

  private roomIn(units: number, now: number): number {
    const allowed = this.capacity() - units - this.assumed(now);
    return this.admitted.untilAtMost(Math.max(0, allowed), now);
  }
}
