import { describe, expect, it } from 'vitest';
import { FURTHER_FAULT_KINDS, planFurtherFaults } from './further-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEED = 7;
const PLAN_MS = 1_000_000;

describe('plan of further faults', () => {
  it('is reproducible from its seed', () => {
    const [first, second] = [1, 2].map(() => planFurtherFaults(new SeededRandom(SEED), PLAN_MS));
    expect(first).toEqual(second);
  });

  it('covers all kinds, and is sorted and within its duration', () => {
    const plan = planFurtherFaults(new SeededRandom(SEED), PLAN_MS);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(FURTHER_FAULT_KINDS));
    const times = plan.map(({ at }) => at);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(PLAN_MS);
  });

  it('has only the requested kinds', () => {
    const plan = planFurtherFaults(new SeededRandom(SEED), PLAN_MS, ['owner_killed']);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(['owner_killed']));
  });
});
