import { describe, expect, it } from 'vitest';
import { SeededRandom } from './seeded-random.js';
import { planSeriesFaults, SERIES_FAULT_KINDS } from './series-fault-plan.js';

const SEED = 7;
const PLAN_MS = 1_000_000;

describe('plan of fault series', () => {
  it('is reproducible from its seed, covers all kinds, and is sorted and within its duration', () => {
    const [plan, again] = [1, 2].map(() => planSeriesFaults(new SeededRandom(SEED), PLAN_MS));
    expect(plan).toEqual(again);
    expect(new Set(plan?.map(({ fault }) => fault.kind))).toEqual(new Set(SERIES_FAULT_KINDS));
    const times = plan?.map(({ at }) => at) ?? [];
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(PLAN_MS);
  });

  it('has only the requested kinds', () => {
    const plan = planSeriesFaults(new SeededRandom(SEED), PLAN_MS, ['counter_harmed']);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(['counter_harmed']));
  });
});
