import { describe, expect, it } from 'vitest';
import { NAMED_FAULT_KINDS, planNamedFaults } from './named-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEEDS = 20;
/** Some 100 faults, of which one kind is left out once in 10 million plans. */
const LONG_MS = 300_000;
/** Share of the even share. */
const MOST_DIFFERENCE = 0.25;

const kindsOf = (seed: number): string[] => {
  return planNamedFaults(new SeededRandom(seed), LONG_MS, NAMED_FAULT_KINDS).map(
    ({ fault }) => fault.kind,
  );
};

describe('the plan of faults that are named', () => {
  it('is the same for the same seed, holds the kinds that are named, and is empty without any', () => {
    const planOf = (seed: number, kinds = NAMED_FAULT_KINDS): unknown[] => {
      return planNamedFaults(new SeededRandom(seed), 60_000, kinds);
    };
    expect(planOf(1)).toEqual(planOf(1));
    expect(planOf(1)).not.toEqual(planOf(2));
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      expect(new Set(kindsOf(seed))).toEqual(new Set(NAMED_FAULT_KINDS));
    }
    const only = planNamedFaults(new SeededRandom(3), 60_000, ['suspended']);
    expect(only.every(({ fault }) => fault.kind === 'suspended')).toBe(true);
    expect(planOf(1, [])).toEqual([]);
  });

  it('holds every kind as often as the others', () => {
    const drawn = Array.from({ length: SEEDS }, (_, index) => kindsOf(index + 1)).flat();
    const evenShare = drawn.length / NAMED_FAULT_KINDS.length;
    for (const kind of NAMED_FAULT_KINDS) {
      const count = drawn.filter((each) => each === kind).length;
      expect(Math.abs(count - evenShare)).toBeLessThan(evenShare * MOST_DIFFERENCE);
    }
  });
});
