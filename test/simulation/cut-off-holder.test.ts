import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { tenantLimitKind } from '../../src/gateway/limit-kind.js';
import { holderFailures } from './holder-failures.js';
import { SimulatedLimits } from './simulated-limits.js';

/** A small group: the share of one daemon is far more than the operator's slack. */
const DAEMONS = 4;
const WINDOW = { windowMs: 4_000, excess: 0.1, slack: 400 };
const PER_SECOND = 400;
const LIMIT = { unit: 'tokens', perSecond: PER_SECOND, burst: 400, plainCharge: 100 } as const;
const USUAL = 0.55;
const HOT = 4;
/** Daemons run for longer than a window before callers come. */
const LEAD_SECONDS = 5;

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

function group(seed: number): SimulatedLimits {
  const options = {
    daemons: DAEMONS,
    limit: LIMIT,
    kind: tenantLimitKind(WINDOW),
    unitsPerRequest: 100,
    seed,
  };
  return new SimulatedLimits(options);
}

const BOUND =
  ((PER_SECOND * WINDOW.windowMs) / 1_000 + LIMIT.burst) * (1 + WINDOW.excess) + WINDOW.slack;

/** Seconds for which the tenant has asked for much when the failure comes. */
const HOT_SECONDS = [0, 0.5, 1, 2, 6];
const SEEDS = [1, 2, 3, 4, 5, 6];

describe.each(holderFailures())('when the holder %s', (_, fail) => {
  describe.each(HOT_SECONDS)('with the tenant hot for %d s before', (hotSeconds) => {
    it.each(SEEDS)('the limit holds with callers on both sides (seed %i)', async (seed) => {
      const limits = group(seed);
      await limits.play({ seconds: LEAD_SECONDS, unitsPerSecond: 0 });
      await limits.play({ seconds: 4, unitsPerSecond: PER_SECOND * USUAL });
      await limits.play({ seconds: hotSeconds, unitsPerSecond: PER_SECOND * HOT });
      fail(limits);
      await limits.play({ seconds: 10, unitsPerSecond: PER_SECOND * HOT });
      expect(limits.outcome().mostInWindow).toBeLessThanOrEqual(BOUND);
    });
  });
});
