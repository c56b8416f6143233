import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { tenantLimitKind } from '../../src/gateway/limit-kind.js';
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

function others(limits: SimulatedLimits): number[] {
  return [...Array(DAEMONS).keys()].filter((index) => index !== limits.holder());
}

/** One failure each, of the daemon that holds the count or around it. */
const FAILURES: readonly [string, (limits: SimulatedLimits) => void][] = [
  [
    'is cut off',
    (limits) => limits.cutOff([limits.holder()], SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS),
  ],
  [
    'is in the lesser part of a group split in two',
    (limits) => {
      const [first = 0] = others(limits);
      limits.cutOff([limits.holder(), first], SEEN_BY_OTHERS_MS, SEEN_BY_OTHERS_MS);
    },
  ],
  [
    'goes on while another is cut off',
    (limits) => limits.cutOff(others(limits).slice(0, 1), SEEN_BY_OTHERS_MS, SEEN_BY_ITSELF_MS),
  ],
  [
    'stands still, is replaced and goes on',
    (limits) => {
      const holder = limits.holder();
      limits.freeze(holder, SEEN_BY_OTHERS_MS, 3_000);
      setTimeout(() => limits.seeAgain(holder), 3_100);
    },
  ],
  [
    'stands still for a moment that nobody sees',
    (limits) => limits.freeze(limits.holder(), SEEN_BY_OTHERS_MS * 10, 1_400),
  ],
  ['starts again and remembers nothing', (limits) => limits.restart(limits.holder())],
];

/** Seconds for which the tenant has asked for much when the failure comes. */
const HOT_SECONDS = [0, 0.5, 1, 2, 6];
const SEEDS = [1, 2, 3, 4, 5, 6];

describe.each(FAILURES)('when the holder %s', (_, fail) => {
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
