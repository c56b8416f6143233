/** A sum over a sliding window of time. Pure; times are milliseconds of a steady clock. */

/** Parts of a window: what was added together is forgotten together, a part too late. */
const PARTS = 64;

interface Part {
  readonly at: number;
  amount: number;
}

/** Adds amounts and forgets them after the window. */
export class SlidingSum {
  private readonly parts: Part[] = [];

  constructor(readonly windowMs: number) {}

  add(amount: number, now: number): void {
    const last = this.parts.at(-1);
    if (last !== undefined && now - last.at < this.partMs) last.amount += amount;
    else this.parts.push({ at: now, amount });
  }

  /** The sum over the window that ends now, never under 0. */
  total(now: number): number {
    this.forget(now);
    const sum = this.parts.reduce((total, part) => total + part.amount, 0);
    return Math.max(0, sum);
  }

  /** The sum, which is forgotten. */
  take(now: number): number {
    const total = this.total(now);
    this.parts.length = 0;
    return total;
  }

  /** Milliseconds until the sum has fallen to `limit`. */
  untilAtMost(limit: number, now: number): number {
    let sum = this.total(now);
    if (sum <= limit) return 0;
    for (const part of this.parts) {
      sum -= part.amount;
      if (sum <= limit) return part.at + this.windowMs + this.partMs - now;
    }
    return this.windowMs;
  }

  private get partMs(): number {
    return this.windowMs / PARTS;
  }

  private forget(now: number): void {
    const oldest = now - this.windowMs - this.partMs;
    while ((this.parts[0]?.at ?? Infinity) <= oldest) this.parts.shift();
  }
}
