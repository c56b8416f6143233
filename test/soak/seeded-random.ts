/** Pseudo-random numbers that are reproducible from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded stream of pseudo-random numbers. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from `low` (inclusive) to `high` (exclusive). */
  between(low: number, high: number): number {
    return low + (high - low) * uniformFloat64(this.generator);
  }

  chance(share: number): boolean {
    return this.between(0, 1) < share;
  }

  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.between(0, items.length))];
  }

  /** Returns the items in random order. */
  shuffled<Item>(items: readonly Item[]): Item[] {
    const drawn = items.map((item) => ({ item, rank: this.between(0, 1) }));
    return drawn.sort((a, b) => a.rank - b.rank).map(({ item }) => item);
  }
}
