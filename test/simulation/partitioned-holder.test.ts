/* Guards against exceeding a tenant limit over both sides together when the holder of its count fails or is partitioned. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { holderFailures } from './holder-failures.js';
import { maxUnitsInWindow, LIMIT, warmGroup } from './small-group.js';

/** In a group this small, the share of one daemon far exceeds the operator's slack. */
const DAEMONS = 4;
const OVERLOAD_FACTOR = 4;

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Seconds of overload from the tenant before the failure. */
const OVERLOAD_SECONDS = [0, 0.5, 1, 2, 6];
const SEEDS = [1, 2, 3, 4, 5, 6];

describe.each(holderFailures())('when the holder %s', (_, fail) => {
  describe.each(OVERLOAD_SECONDS)('after %d s of overload', (overloadSeconds) => {
    it.each(SEEDS)('the limit holds with callers at all daemons (seed %i)', async (seed) => {
      const limits = await warmGroup(DAEMONS, seed);
      await limits.simulate({
        seconds: overloadSeconds,
        unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR,
      });
      fail(limits);
      await limits.simulate({ seconds: 10, unitsPerSecond: LIMIT.perSecond * OVERLOAD_FACTOR });
      expect(limits.outcome().maxInWindow).toBeLessThanOrEqual(maxUnitsInWindow(LIMIT));
    });
  });
});
