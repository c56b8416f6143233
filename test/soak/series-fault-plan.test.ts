import { describe, expect, it } from 'vitest';
import { SeededRandom } from './seeded-random.js';
import { planSeriesFaults, SERIES_FAULT_KINDS } from './series-fault-plan.js';

const SEED = 7;
const LONG_MS = 1_000_000;

describe('the plan of series', () => {
  it('is the same for the same seed, of all kinds, in order and in time', () => {
    const [plan, again] = [1, 2].map(() => planSeriesFaults(new SeededRandom(SEED), LONG_MS));
    expect(plan).toEqual(again);
    expect(new Set(plan?.map(({ fault }) => fault.kind))).toEqual(new Set(SERIES_FAULT_KINDS));
    const times = plan?.map(({ at }) => at) ?? [];
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect(times.at(-1)).toBeLessThan(LONG_MS);
  });

  it('has only the kinds that are named', () => {
    const plan = planSeriesFaults(new SeededRandom(SEED), LONG_MS, ['counter_harmed']);
    expect(new Set(plan.map(({ fault }) => fault.kind))).toEqual(new Set(['counter_harmed']));
  });
});
