import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SimulatedPool, type RemovedFence, type Step } from './simulated-pool.js';

/** Histories a run, and the fixed seed. */
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

function firstFault(steps: readonly Step[], removed: RemovedFence): string | undefined {
  const pool = new SimulatedPool(removed);
  pool.step({ type: 'claim', silent: 0 });
  for (const next of steps) {
    pool.step(next);
    const [fault] = pool.broken();
    if (fault !== undefined) return fault;
  }
  return undefined;
}

describe('owners of a pool, in simulated histories', () => {
  it(`hold the cap and the memory in ${HISTORIES} histories, after every step`, () => {
    let loads = 0;
    fc.assert(
      fc.property(history, (steps) => {
        const pool = new SimulatedPool();
        pool.step({ type: 'claim', silent: 0 });
        for (const next of steps) {
          pool.step(next);
          expect(pool.broken()).toEqual([]);
        }
        loads += pool.loaded();
      }),
      { seed: SEED, numRuns: HISTORIES },
    );
    // The histories do load models: the checks are not empty.
    expect(loads).toBeGreaterThan(HISTORIES / 10);
  });

  it.each(['seal', 'sequence', 'registration'] as const)(
    'are seen to break a promise when the fence "%s" is removed',
    (removed) => {
      const caught = fc.check(
        fc.property(history, (steps) => firstFault(steps, removed) === undefined),
        { seed: SEED, numRuns: HISTORIES, endOnFailure: true },
      );
      expect(caught.failed).toBe(true);
    },
  );
});
