import murmurhash from 'murmurhash';
import { describe, expect, it } from 'vitest';
import { OPT_IN_FAULT_KINDS, planOptInFaults } from './opt-in-fault-plan.js';
import { SeededRandom } from './seeded-random.js';

const SEED_COUNT = 20;
/** Long enough for about 300 faults: a given kind is missing from one in 10 million such plans. */
const PLAN_MS = 900_000;
/** Number of kinds that there were when the digest of a plan of them was recorded, and the digest. */
const RECORDED_KINDS = 16;
const RECORDED_DIGEST = 'b49aa1d7';
const RECORDED_SEED = 7;
const RECORDED_PLAN_MS = 300_000;
/** Allowed deviation of the count of a kind, as a fraction of the even share. */
const MAX_DEVIATION = 0.25;

const kindsOf = (seed: number): string[] => {
  return planOptInFaults(new SeededRandom(seed), PLAN_MS, OPT_IN_FAULT_KINDS).map(
    ({ fault }) => fault.kind,
  );
};

describe('plan of opt-in faults', () => {
  it('is reproducible from its seed, has only the requested kinds, and is empty without kinds', () => {
    const planOf = (seed: number, kinds = OPT_IN_FAULT_KINDS): unknown[] => {
      return planOptInFaults(new SeededRandom(seed), 60_000, kinds);
    };
    expect(planOf(1)).toEqual(planOf(1));
    expect(planOf(1)).not.toEqual(planOf(2));
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      expect(new Set(kindsOf(seed))).toEqual(new Set(OPT_IN_FAULT_KINDS));
    }
    const only = planOptInFaults(new SeededRandom(3), 60_000, ['suspended']);
    expect(only.every(({ fault }) => fault.kind === 'suspended')).toBe(true);
    expect(planOf(1, [])).toEqual([]);
  });

  it('stays the same for former seeds and kinds when kinds are added', () => {
    const kinds = OPT_IN_FAULT_KINDS.slice(0, RECORDED_KINDS);
    const plan = planOptInFaults(new SeededRandom(RECORDED_SEED), RECORDED_PLAN_MS, kinds);
    expect(murmurhash.v3(JSON.stringify(plan)).toString(16)).toBe(RECORDED_DIGEST);
  });

  it('draws all kinds about equally often', () => {
    const drawn = Array.from({ length: SEED_COUNT }, (_, index) => kindsOf(index + 1)).flat();
    const evenShare = drawn.length / OPT_IN_FAULT_KINDS.length;
    for (const kind of OPT_IN_FAULT_KINDS) {
      const count = drawn.filter((each) => each === kind).length;
      expect(Math.abs(count - evenShare)).toBeLessThan(evenShare * MAX_DEVIATION);
    }
  });
});
