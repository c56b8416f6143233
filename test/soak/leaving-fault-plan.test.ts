import { describe, expect, it } from 'vitest';
import { LEAVING_FAULT_KINDS, planLeavingFaults } from './leaving-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEED = 7;
const LONG_MS = 1_000_000;

describe('the plan of departures', () => {
  it('is the same for the same seed, of all kinds, in order and in time', () => {
    const [plan, again] = [1, 2].map(() => planLeavingFaults(new SeededRandom(SEED), LONG_MS));
    expect(plan).toEqual(again);
    expect(new Set(plan?.map(({ fault }) => fault.kind))).toEqual(new Set(LEAVING_FAULT_KINDS));
    const times = plan?.map(({ at }) => at) ?? [];
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(LONG_MS);
  });

  it('has replicas that say that they leave, and others of which only the entry goes', () => {
    const plan = planLeavingFaults(new SeededRandom(SEED), LONG_MS);
    expect(new Set(plan.map(({ fault }) => fault.isAnnounced))).toEqual(new Set([true, false]));
  });
});
