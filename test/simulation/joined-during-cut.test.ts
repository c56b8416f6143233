/* Guards against limit shares that each side of a partition computes from its own view: daemons that join one side enlarge its view. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { maxUnitsInWindow, LIMIT, warmGroup } from './small-group.js';

const DAEMONS = 4;
const OVERLOAD_FACTOR = 6;
/** Time that membership takes to detect the partition. */
const PARTITION_DETECTED_MS = 1_600;
const BOUND = maxUnitsInWindow(LIMIT);

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Number of daemons on the holder's side besides it, and milliseconds from the partition to the join. */
const PARTITIONS = [
  { withHolder: 0, joinAfterMs: 300 },
  { withHolder: 0, joinAfterMs: 4_000 },
  { withHolder: 1, joinAfterMs: 300 },
  { withHolder: 1, joinAfterMs: 4_000 },
  { withHolder: 2, joinAfterMs: 300 },
  { withHolder: 2, joinAfterMs: 4_000 },
];
const JOINERS = [3, 8];
const SEEDS = [1, 2, 3, 4, 5, 6];

interface Case {
  readonly withHolder: number;
  readonly joinAfterMs: number;
  readonly joiners: number;
  readonly seed: number;
}

const CASES: readonly Case[] = PARTITIONS.flatMap((cut) =>
  JOINERS.flatMap((joiners) => SEEDS.map((seed) => ({ ...cut, joiners, seed }))),
);

/** Returns the most units admitted in any window. */
async function simulate({ withHolder, joinAfterMs, joiners, seed }: Case): Promise<number> {
  const group = await warmGroup(DAEMONS, seed);
  const holder = group.holder();
  const others = [...Array(DAEMONS).keys()].filter((index) => index !== holder);
  group.partition(
    [holder, ...others.slice(0, withHolder)],
    PARTITION_DETECTED_MS,
    PARTITION_DETECTED_MS,
  );
  setTimeout(() => group.join(joiners, others.at(-1) ?? 0), joinAfterMs);
  await group.simulate({ seconds: 14, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
  return group.outcome().maxInWindow;
}

describe('daemons that join one side of a cut', () => {
  it('leave the limit as it is on both sides together', async () => {
    const exceeded: string[] = [];
    for (const each of CASES) {
      const most = await simulate(each);
      if (most > BOUND) exceeded.push(`${JSON.stringify(each)}: ${most} of ${BOUND}`);
    }
    expect(exceeded).toEqual([]);
  });
});
