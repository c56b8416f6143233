/** A token bucket: so many units a second, with a bounded burst. Pure; time is handed in. */

/** Grants units at a rate. Times are Unix milliseconds. */
export class TokenBucket {
  private tokens: number;
  private updatedAt: number;

  constructor(
    private ratePerSecond: number,
    private burst: number,
    now: number,
  ) {
    this.tokens = burst;
    this.updatedAt = now;
  }

  /** Changes rate and burst; what has been saved up stays, as far as it fits. */
  setRate(ratePerSecond: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes one unit; false if there is none. */
  take(now: number): boolean {
    this.refill(now);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Milliseconds until one unit is there. */
  waitMs(now: number): number {
    this.refill(now);
    return this.tokens >= 1 ? 0 : ((1 - this.tokens) / this.ratePerSecond) * 1000;
  }

  /** Adds units, up to the burst. */
  add(units: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.burst, this.tokens + units);
  }

  private refill(now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    this.updatedAt = Math.max(this.updatedAt, now);
    this.tokens = Math.min(this.burst, this.tokens + (elapsed * this.ratePerSecond) / 1000);
  }
}
