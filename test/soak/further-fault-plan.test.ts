import { describe, expect, it } from 'vitest';
import { FURTHER_FAULT_KINDS, planFurtherFaults } from './further-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEED = 7;
const LONG_MS = 1_000_000;

describe('the plan of further faults', () => {
  it('is the same for the same seed', () => {
    const [first, second] = [1, 2].map(() => planFurtherFaults(new SeededRandom(SEED), LONG_MS));
    expect(first).toEqual(second);
  });

  it('has faults of all kinds, in order and in time', () => {
    const plan = planFurtherFaults(new SeededRandom(SEED), LONG_MS);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(FURTHER_FAULT_KINDS));
    const times = plan.map(({ at }) => at);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(LONG_MS);
  });

  it('has only the kinds that were named', () => {
    const plan = planFurtherFaults(new SeededRandom(SEED), LONG_MS, ['owner_killed']);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(['owner_killed']));
  });
});
