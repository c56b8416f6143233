/** Random numbers that a seed repeats. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One stream of random numbers. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** From `low` up to `high`. */
  between(low: number, high: number): number {
    return low + (high - low) * uniformFloat64(this.generator);
  }

  chance(share: number): boolean {
    return this.between(0, 1) < share;
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.between(0, items.length))];
  }
}
