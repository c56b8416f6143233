import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { holderFailures } from './holder-failures.js';
import { boundOf, LIMIT, warmGroup } from './small-group.js';

/** A small group: the share of one daemon is far more than the operator's slack. */
const DAEMONS = 4;
const HOT = 4;

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Seconds for which the tenant has asked for much when the failure comes. */
const HOT_SECONDS = [0, 0.5, 1, 2, 6];
const SEEDS = [1, 2, 3, 4, 5, 6];

describe.each(holderFailures())('when the holder %s', (_, fail) => {
  describe.each(HOT_SECONDS)('with the tenant hot for %d s before', (hotSeconds) => {
    it.each(SEEDS)('the limit holds with callers on both sides (seed %i)', async (seed) => {
      const limits = await warmGroup(DAEMONS, seed);
      await limits.play({ seconds: hotSeconds, unitsPerSecond: LIMIT.perSecond * HOT });
      fail(limits);
      await limits.play({ seconds: 10, unitsPerSecond: LIMIT.perSecond * HOT });
      expect(limits.outcome().mostInWindow).toBeLessThanOrEqual(boundOf(LIMIT));
    });
  });
});
