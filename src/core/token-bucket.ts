/** A token bucket with a rate in units per second and a bounded burst. Pure; callers pass the time. */

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

  /** Changes rate and burst; keeps the accumulated units up to the new burst. */
  setRate(ratePerSecond: number, burst: number, now: number): void {
    this.refill(now);
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.tokens = Math.min(this.tokens, burst);
  }

  /** Takes one unit; returns false if none is available. */
  take(now: number): boolean {
    if (!this.hasUnits(1, now)) return false;
    this.spend(1, now);
    return true;
  }

  /** Whether at least `units` are available. */
  hasUnits(units: number, now: number): boolean {
    this.refill(now);
    return this.tokens >= units;
  }

  /** Available units; negative if units are owed. */
  available(now: number): number {
    this.refill(now);
    return this.tokens;
  }

  /** Takes units that were granted already; units that are not available become a debt. */
  spend(units: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.burst, this.tokens - units);
  }

  /** Milliseconds until `units` are available. */
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
