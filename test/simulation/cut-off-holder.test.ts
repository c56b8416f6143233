import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SimulatedLimits } from './simulated-limits.js';

/** A small group: the share of one daemon is far more than the operator's slack. */
const DAEMONS = 4;
const WINDOW = { windowMs: 4_000, excess: 0.1, slack: 400 };
const PER_SECOND = 400;
const LIMIT = { unit: 'tokens', perSecond: PER_SECOND, burst: 400, plainCharge: 100 } as const;
const USUAL = 0.55;
const HOT = 4;
/** As membership takes: the others probe the one that is cut off at once, it probes them in turn. */
const SEEN_BY_OTHERS_MS = 1_600;
const SEEN_BY_ITSELF_MS = 2_900;
/** Daemons run for longer than a window before callers come. */
const LEAD_SECONDS = 5;

beforeEach(() => vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] }));
afterEach(() => vi.useRealTimers());

function group(seed: number): SimulatedLimits {
  const options = { daemons: DAEMONS, limit: LIMIT, window: WINDOW, unitsPerRequest: 100, seed };
  return new SimulatedLimits(options);
}

/** Seconds for which the tenant has asked for much when the cut comes. */
describe.each([0, 0.5, 1, 2, 6])('with the tenant hot for %d s before', (hotSeconds) => {
  it.each([1, 2, 3, 4, 5, 6])(
    'holds when the holder is cut off with callers on both sides (seed %i)',
    async (seed) => {
      const limits = group(seed);
      await limits.play({ seconds: LEAD_SECONDS, unitsPerSecond: 0 });
      await limits.play({ seconds: 4, unitsPerSecond: PER_SECOND * USUAL });
      await limits.play({ seconds: hotSeconds, unitsPerSecond: PER_SECOND * HOT });
      limits.cutOff(limits.holder(), SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS);
      await limits.play({ seconds: 10, unitsPerSecond: PER_SECOND * HOT });
      const plain = (PER_SECOND * WINDOW.windowMs) / 1_000 + LIMIT.burst;
      const bound = plain * (1 + WINDOW.excess) + WINDOW.slack;
      expect(limits.outcome().mostInWindow).toBeLessThanOrEqual(bound);
    },
  );
});
