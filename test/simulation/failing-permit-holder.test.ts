/*
 * The daemon that grants permits for a backend was lost, and for a moment the others counted their shares alone. The next holder
 * did not count these, and the backend got more than its limit allows.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { permitLimit } from '../../src/core/admission/permit-ledger.js';
import { backendLimitKind } from '../../src/gateway/limit-kind.js';
import { allowedArrivals, LIMITS } from '../core/permit-limits.js';
import { holderFailures, type HolderFailure } from './holder-failures.js';
import { SimulatedLimits } from './simulated-limits.js';

const DAEMONS = 6;
/** Daemons run for longer than a window before callers come. */
const LEAD_SECONDS = 5;
const AFTER_SECONDS = 12;
/** Requests that callers want to send, for each that the limit allows. */
const PRESSURE = 4;
const SEEDS = [1, 2, 3, 4];

/** Others notice late that a daemon is lost. */
const LATE_MS = 3_200;

const FAILURES: readonly HolderFailure[] = [
  ...holderFailures(),
  ['loses its power', (group) => group.kill(group.holder(), 1_600)],
  ['loses its power, which others see late', (group) => group.kill(group.holder(), LATE_MS)],
  [
    'is cut off, which others see late',
    (group) => group.cutOff([group.holder()], LATE_MS, LATE_MS + 500),
  ],
  [
    'is lost, and its successor too',
    (group) => {
      group.kill(group.holder(), 1_600);
      setTimeout(() => group.kill(group.holder(), 1_600), 2_000);
    },
  ],
];

describe.each(FAILURES)('when the holder of permits %s', (_, fail) => {
  beforeEach(() =>
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
  );
  afterEach(() => vi.useRealTimers());

  it.each(LIMITS)('a backend gets no more than its limit of %d a second allows', async (limit) => {
    const outcomes: number[] = [];
    for (const seed of SEEDS) {
      const group = new SimulatedLimits({
        daemons: DAEMONS,
        limit: permitLimit(limit),
        kind: backendLimitKind,
        unitsPerRequest: 1,
        seed,
      });
      const unitsPerSecond = limit * PRESSURE;
      await group.play({ seconds: LEAD_SECONDS, unitsPerSecond });
      fail(group);
      await group.play({ seconds: AFTER_SECONDS, unitsPerSecond });
      outcomes.push(group.outcome().mostInWindow);
    }
    expect(Math.max(...outcomes)).toBeLessThanOrEqual(allowedArrivals(limit));
  });
});
