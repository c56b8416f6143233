import { describe, expect, it } from 'vitest';
import { PlacementSimulation } from './placement-simulation.js';

const SEEDS = [1, 2, 3, 4, 5];
const FAST_BACKENDS = ['b2', 'b5'];
const EQUAL_SPEEDS = { b0: 1, b1: 1, b2: 1, b3: 1, b4: 1, b5: 1 };

/** Share of late streams during one minute, after the owner has learned for 20 s. */
function lateShare(isLearned: boolean, seed: number): number {
  const simulation = new PlacementSimulation(isLearned, 4, seed);
  simulation.advance(20_000);
  return simulation.advance(60_000);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

describe('placement with learned capacity', () => {
  it.each(SEEDS)(
    'moves the busy slow model to fast backends and then makes at most two more loads (seed %i)',
    (seed) => {
      const simulation = new PlacementSimulation(true, 4, seed);
      simulation.advance(30_000);
      expect(FAST_BACKENDS.some((id) => simulation.holders('slow').includes(id))).toBe(true);
      const loads = simulation.loads.length;
      simulation.advance(60_000);
      expect(simulation.loads.length - loads).toBeLessThanOrEqual(2);
    },
  );

  it('has over 40% fewer late streams than when all backends count as equal', () => {
    const lateWithoutLearning = SEEDS.map((seed) => lateShare(false, seed));
    const lateWithLearning = SEEDS.map((seed) => lateShare(true, seed));
    for (const [index, share] of lateWithLearning.entries())
      expect(share).toBeLessThan(lateWithoutLearning[index] ?? 0);
    expect(sum(lateWithLearning)).toBeLessThan(0.6 * sum(lateWithoutLearning));
  });

  it.each(SEEDS)(
    'makes as many loads as without estimates where backends are equal (seed %i)',
    (seed) => {
      const loadsOf = (isLearned: boolean): readonly string[] => {
        const simulation = new PlacementSimulation(isLearned, 4, seed, EQUAL_SPEEDS);
        simulation.advance(60_000);
        return simulation.loads;
      };
      expect(loadsOf(true)).toHaveLength(loadsOf(false).length);
    },
  );
});
