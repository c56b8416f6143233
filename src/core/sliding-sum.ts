/** A sum over a sliding time window. Pure; times are milliseconds of a monotonic clock. */

/** Buckets per window. Amounts in one bucket expire together, up to one bucket length late. */
const BUCKETS_PER_WINDOW = 64;

interface Bucket {
  readonly at: number;
  amount: number;
}

/** Sums amounts; each amount expires after the window. */
export class SlidingSum {
  private readonly buckets: Bucket[] = [];

  constructor(readonly windowMs: number) {}

  /** Adds an amount at the time `now`. */
  add(amount: number, now: number): void {
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.at < this.bucketMs) last.amount += amount;
    else this.buckets.push({ at: now, amount });
  }

  /** The sum over the window that ends now, at least 0. */
  total(now: number): number {
    this.removeExpired(now);
    const sum = this.buckets.reduce((total, bucket) => total + bucket.amount, 0);
    return Math.max(0, sum);
  }

  /** Returns the sum and resets it. */
  takeTotal(now: number): number {
    const total = this.total(now);
    this.buckets.length = 0;
    return total;
  }

  /** Milliseconds until the sum is at most `limit` if nothing is added. */
  msUntilAtMost(limit: number, now: number): number {
    let sum = this.total(now);
    if (sum <= limit) return 0;
    for (const bucket of this.buckets) {
      sum -= bucket.amount;
      if (sum <= limit) return bucket.at + this.windowMs + this.bucketMs - now;
    }
    return this.windowMs;
  }

  private get bucketMs(): number {
    return this.windowMs / BUCKETS_PER_WINDOW;
  }

  private removeExpired(now: number): void {
    const cutoff = now - this.windowMs - this.bucketMs;
    while ((this.buckets[0]?.at ?? Infinity) <= cutoff) this.buckets.shift();
  }
}
