/**
 * Permits for requests to a backend that has announced a rate limit: one token bucket for all daemons. Unlike with a
 * tenant's limit, the holder must grant each request before it is sent. The burst is small because granted requests already
 * reach the backend in batches. Pure; times are milliseconds of a steady clock.
 */
import { TokenBucket } from '../token-bucket.js';
import type { HolderView, LimitDecision, RateLedger, RateLimit } from './rate-ledger.js';

/** Burst in seconds of the limit's rate. */
const BURST_SECONDS = 0.25;
/** Smallest burst in requests, so that a single request can always be granted. */
const MIN_BURST = 1;
/**
 * Smallest rate in requests a second. A backend that announces a limit at or near zero still gets occasional requests,
 * because only its response to one can lift the limit.
 */
const MIN_PER_SECOND = 0.25;
/** Longest time over which the retries of refused callers are spread. */
const MAX_RETRY_SPREAD_MS = 4_000;
/** Delay before a retry while this holder has no share. Shares change within a few messages between daemons. */
const NO_SHARE_RETRY_MS = 250;

/** Returns the limit, in requests, that is enforced for a backend that announces `perSecond` requests a second. */
export function permitLimit(perSecond: number): RateLimit {
  const rate = Math.max(MIN_PER_SECOND, perSecond);
  return { perSecond: rate, burst: Math.max(MIN_BURST, rate * BURST_SECONDS) };
}

/** Grants permits for requests to one backend process. */
export class PermitLedger implements RateLedger {
  private readonly bucket: TokenBucket;
  /** Time up to which retry times have been assigned to refused requests. */
  private retriesAssignedUntil = -Infinity;

  /** @param startedAt - Steady time. The bucket starts empty, as another daemon may just have granted a burst. */
  constructor(
    private limit: RateLimit,
    private view: HolderView,
    startedAt: number,
  ) {
    this.bucket = new TokenBucket(this.rate, this.burst, startedAt);
    this.bucket.spend(this.burst, startedAt);
  }

  configure(limit: RateLimit, view: HolderView, now: number): void {
    this.limit = limit;
    this.view = view;
    this.bucket.setRate(this.rate, this.burst, now);
  }

  /** Empties the bucket, because the previous holder may just have granted a full burst. */
  restartFrom(now: number): void {
    this.bucket.setRate(this.rate, 0, now);
    this.bucket.setRate(this.rate, this.burst, now);
  }

  count(units: number, now: number): void {
    this.bucket.spend(units, now);
  }

  /** Does nothing: the bucket starts empty, which covers permits granted before. */
  countReported(): void {}

  admit(units: number, now: number): LimitDecision {
    // Without a share the burst and the rate are 0: any request would fit into the burst, or wait forever.
    if (this.view.share === 0) return { type: 'over_limit', retryAfterMs: NO_SHARE_RETRY_MS };
    // A burst reduced to this holder's share may be smaller than one request.
    if (this.bucket.hasUnits(Math.min(units, this.burst), now)) {
      this.bucket.spend(units, now);
      return { type: 'granted' };
    }
    return { type: 'over_limit', retryAfterMs: this.assignRetryDelayMs(units, now) };
  }

  requiresApproval(): boolean {
    return true;
  }

  used(now: number): number {
    return this.burst - this.bucket.available(now);
  }

  capacity(): number {
    return this.burst;
  }

  private get rate(): number {
    return this.limit.perSecond * this.view.share;
  }

  private get burst(): number {
    return this.limit.burst * this.view.share;
  }

  /** Returns the delay until the next free retry time, so that requests refused together retry at different times. */
  private assignRetryDelayMs(units: number, now: number): number {
    const waitMs = this.bucket.waitMs(now, Math.min(units, this.burst));
    // A delay must not pass through a time of day: what the sum with it rounds up would become a whole millisecond in a reply.
    const delayMs = Math.max(waitMs, this.retriesAssignedUntil - now);
    const endsAt = now + delayMs + (units / this.rate) * 1_000;
    this.retriesAssignedUntil = Math.min(endsAt, now + Math.max(waitMs, MAX_RETRY_SPREAD_MS));
    return delayMs;
  }
}
