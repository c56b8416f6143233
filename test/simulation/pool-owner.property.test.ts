/* Property test: pool owners never exceed replica limits or engine memory, whatever the network loses, delays or duplicates. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SimulatedPool, type RemovedFence, type Step } from './simulated-pool.js';

/** Number of simulated histories in a run; the seed is fixed. */
const HISTORIES = 10_000;
const SEED = 20261202;

const small = fc.nat(11);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 1, arbitrary: fc.record({ type: fc.constant('claim' as const), silent: fc.nat(7) }) },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('deliver' as const),
      which: small,
      keep: fc.boolean(),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('answer' as const),
      which: small,
      keep: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose' as const), which: small }) },
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('wake' as const), owner: small, tenant: small }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('report' as const),
      owner: small,
      engine: small,
      late: fc.boolean(),
    }),
  },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('progress' as const), engine: small }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), engine: small }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('pass' as const),
      owner: small,
      milliseconds: fc.constantFrom(10, 500, 1_500, 4_000),
    }),
  },
);
const history = fc.array(step, { minLength: 20, maxLength: 120, size: 'max' });

function firstViolation(steps: readonly Step[], removed: RemovedFence): string | undefined {
  const pool = new SimulatedPool(removed);
  pool.step({ type: 'claim', silent: 0 });
  for (const next of steps) {
    pool.step(next);
    const [violation] = pool.violations();
    if (violation !== undefined) return violation;
  }
  return undefined;
}

describe('owners of a pool, in simulated histories', () => {
  it(`stay within replica limits and engine memory after every step of ${HISTORIES} histories`, () => {
    let loads = 0;
    fc.assert(
      fc.property(history, (steps) => {
        const pool = new SimulatedPool();
        pool.step({ type: 'claim', silent: 0 });
        for (const next of steps) {
          pool.step(next);
          expect(pool.violations()).toEqual([]);
        }
        loads += pool.loaded();
      }),
      { seed: SEED, numRuns: HISTORIES },
    );
    // The histories load models, so the checks above are not vacuous.
    expect(loads).toBeGreaterThan(HISTORIES / 10);
  });

  it.each(['seal', 'sequence', 'registration'] as const)(
    'violate an invariant when the fence "%s" is removed',
    (removed) => {
      const result = fc.check(
        fc.property(history, (steps) => firstViolation(steps, removed) === undefined),
        { seed: SEED, numRuns: HISTORIES, endOnFailure: true },
      );
      expect(result.failed).toBe(true);
    },
  );
});
