import { describe, expect, it } from 'vitest';
import { NAMED_FAULT_KINDS, planNamedFaults } from './named-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

describe('the plan of faults that are named', () => {
  it('is the same for the same seed, holds the kinds that are named, and is empty without any', () => {
    const planOf = (seed: number, kinds = NAMED_FAULT_KINDS): unknown[] => {
      return planNamedFaults(new SeededRandom(seed), 60_000, kinds);
    };
    expect(planOf(1)).toEqual(planOf(1));
    expect(planOf(1)).not.toEqual(planOf(2));
    const kinds = planNamedFaults(new SeededRandom(3), 120_000, NAMED_FAULT_KINDS).map(
      ({ fault }) => fault.kind,
    );
    expect(new Set(kinds)).toEqual(new Set(NAMED_FAULT_KINDS));
    const only = planNamedFaults(new SeededRandom(3), 60_000, ['suspended']);
    expect(only.every(({ fault }) => fault.kind === 'suspended')).toBe(true);
    expect(planOf(1, [])).toEqual([]);
  });
});
