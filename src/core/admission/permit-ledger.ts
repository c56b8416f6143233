/**
 * Permits for requests to a backend that has named a rate limit: a token bucket for all daemons. Unlike a tenant's
 * limit, no request passes before the holder has granted it, and the burst is small: what is granted reaches the backend in bunches.
 * Pure; times are milliseconds of a steady clock.
 */
import { TokenBucket } from '../token-bucket.js';
import type { HolderView, LimitDecision, RateLedger, RateLimit } from './rate-ledger.js';

/** Seconds of the limit that may be granted at once. */
const BURST_SECONDS = 0.25;
/** One request may always be granted at once. */
const LEAST_BURST = 1;
/** A backend that takes none, or next to none, gets a request now and then: only its answer ends the limit. */
const LEAST_PER_SECOND = 0.25;
/** Callers are told to come back one after another, within this time. */
const LONGEST_QUEUE_MS = 4_000;

/** The limit that is kept where a backend names one, in requests. */
export function permitLimit(perSecond: number): RateLimit {
  const rate = Math.max(LEAST_PER_SECOND, perSecond);
  return { perSecond: rate, burst: Math.max(LEAST_BURST, rate * BURST_SECONDS) };
}

/** The permits of one backend's process. */
export class PermitLedger implements RateLedger {
  private readonly bucket: TokenBucket;
  /** When those that were refused have all been told to come back. */
  private queueEndsAt = -Infinity;

  /** @param startedAt - Steady time: another daemon may have granted a burst until then. */
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

  /** The former holder may have granted a whole burst just before. */
  countFrom(now: number): void {
    this.bucket.setRate(this.rate, 0, now);
    this.bucket.setRate(this.rate, this.burst, now);
  }

  count(units: number, now: number): void {
    this.bucket.spend(units, now);
  }

  /** Nothing: a bucket that begins empty covers what was granted before. */
  recall(): void {}

  admit(units: number, now: number): LimitDecision {
    // A burst that is cut to a share of the group's may hold less than one request.
    if (this.bucket.holds(Math.min(units, this.burst), now)) {
      this.bucket.spend(units, now);
      return { type: 'granted' };
    }
    return { type: 'over_limit', retryAfterMs: this.nextTurnMs(units, now) };
  }

  isTight(): boolean {
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

  /** Requests that are refused at the same time are told different times. */
  private nextTurnMs(units: number, now: number): number {
    const waitMs = this.bucket.waitMs(now, Math.min(units, this.burst));
    const turnAt = Math.max(now + waitMs, this.queueEndsAt);
    const endsAt = turnAt + (units / this.rate) * 1_000;
    this.queueEndsAt = Math.min(endsAt, now + Math.max(waitMs, LONGEST_QUEUE_MS));
    return turnAt - now;
  }
}
