/* Guards against a holder that gets its lease late and grants what others have counted alone until then. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { boundOf, LIMIT, warmGroup } from './small-group.js';

const DAEMONS = 4;
const HOT = 6;
/** As membership takes. */
const CUT_SEEN_MS = 1_600;
/** Neither half of a split group has a holder with a lease before its keepers count their own side only. */
const SECONDS = 18;
const SEEDS = [...Array(12).keys()];
/** Daemons that have callers and no share: all that they admit is granted by the new holder. */
const JOINERS = 8;
const JOIN_AFTER_MS = 300;

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Most units in a window. */
async function playSplit(seed: number): Promise<number> {
  const group = await warmGroup(DAEMONS, seed);
  const holder = group.holder();
  const others = [...Array(DAEMONS).keys()].filter((index) => index !== holder);
  group.cutOff([holder, ...others.slice(0, 1)], CUT_SEEN_MS, CUT_SEEN_MS);
  setTimeout(() => group.join(JOINERS, others.at(-1) ?? 0), JOIN_AFTER_MS);
  await group.play({ seconds: SECONDS, unitsPerSecond: LIMIT.perSecond * HOT });
  return group.outcome().mostInWindow;
}

describe('a group that is split in halves', () => {
  it('keeps to the limit when a half gets a holder after its daemons have counted alone', async () => {
    const most: number[] = [];
    for (const seed of SEEDS) most.push(await playSplit(seed));
    expect(Math.max(...most)).toBeLessThanOrEqual(boundOf(LIMIT));
  });
});
