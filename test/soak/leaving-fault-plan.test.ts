import { describe, expect, it } from 'vitest';
import { LEAVING_FAULT_KINDS, planLeavingFaults } from './leaving-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEED = 7;
const PLAN_MS = 1_000_000;

describe('plan of replica departures', () => {
  it('is reproducible from its seed, covers all kinds, and is sorted and within its duration', () => {
    const [plan, again] = [1, 2].map(() => planLeavingFaults(new SeededRandom(SEED), PLAN_MS));
    expect(plan).toEqual(again);
    expect(new Set(plan?.map(({ fault }) => fault.kind))).toEqual(new Set(LEAVING_FAULT_KINDS));
    const times = plan?.map(({ at }) => at) ?? [];
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(PLAN_MS);
  });

  it('has both announced and unannounced departures', () => {
    const plan = planLeavingFaults(new SeededRandom(SEED), PLAN_MS);
    expect(new Set(plan.map(({ fault }) => fault.isAnnounced))).toEqual(new Set([true, false]));
  });
});
