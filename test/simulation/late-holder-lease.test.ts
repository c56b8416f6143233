/* Guards against a holder that gets its lease late and grants units that other daemons have already admitted from their own shares. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { maxUnitsInWindow, LIMIT, warmGroup } from './small-group.js';

const DAEMONS = 4;
const OVERLOAD_FACTOR = 6;
/** Time that membership takes to detect the partition. */
const PARTITION_DETECTED_MS = 1_600;
/** Long enough for a holder with a lease: neither half has one until its voters count only their own side. */
const SECONDS = 18;
const SEEDS = [...Array(12).keys()];
/** Daemons with callers and without a share: the new holder grants all that they admit. */
const JOINERS = 8;
const JOIN_AFTER_MS = 300;

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Returns the most units admitted in any window. */
async function simulatePartition(seed: number): Promise<number> {
  const group = await warmGroup(DAEMONS, seed);
  const holder = group.holder();
  const others = [...Array(DAEMONS).keys()].filter((index) => index !== holder);
  group.partition([holder, ...others.slice(0, 1)], PARTITION_DETECTED_MS, PARTITION_DETECTED_MS);
  setTimeout(() => group.join(JOINERS, others.at(-1) ?? 0), JOIN_AFTER_MS);
  await group.simulate({ seconds: SECONDS, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
  return group.outcome().maxInWindow;
}

describe('a group partitioned into halves', () => {
  it('stays within the limit when a half gets a holder after its daemons have used their own shares', async () => {
    const most: number[] = [];
    for (const seed of SEEDS) most.push(await simulatePartition(seed));
    expect(Math.max(...most)).toBeLessThanOrEqual(maxUnitsInWindow(LIMIT));
  });
});
