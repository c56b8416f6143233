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
    if (!this.holds(1, now)) return false;
    this.spend(1, now);
    return true;
  }

  /** Whether so many units are there. */
  holds(units: number, now: number): boolean {
    this.refill(now);
    return this.tokens >= units;
  }

  /** Units that are there; negative if some are owed. */
  available(now: number): number {
    this.refill(now);
    return this.tokens;
  }

  /** Takes units that were granted already: what is not there is owed. */
  spend(units: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.burst, this.tokens - units);
  }

  /** Milliseconds until so many units are there. */
  waitMs(now: number, units = 1): number {
    this.refill(now);
    return this.tokens >= units ? 0 : ((units - this.tokens) / this.ratePerSecond) * 1000;
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
