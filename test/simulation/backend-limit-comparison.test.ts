/*
 * Compares two ways to enforce a backend's rate limit over all daemons: one holder that grants permits, and an equal share for
 * each daemon with a burst of one request. Only the first stays within the limit.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { permitLimit } from '../../src/core/admission/permit-ledger.js';
import { SlidingSum } from '../../src/core/sliding-sum.js';
import { TokenBucket } from '../../src/core/token-bucket.js';
import { backendLimitKind } from '../../src/gateway/limit-kind.js';
import { allowedArrivals, LIMITS, WINDOW_MS } from '../core/permit-limits.js';
import { SimulatedLimits } from './simulated-limits.js';
import { useVirtualClock } from './virtual-clock.js';

const SECONDS = 16;
const SEED = 7;
/** Seconds that daemons run before the first request. */
const WARM_UP_SECONDS = 9;
/** Offered load as a multiple of the limit. */
const OFFERED_LOAD_FACTOR = 3;
const MIN_OFFERED_PER_SECOND = 2;

/** Measurements of one way. */
interface WayOutcome {
  readonly mostInWindow: number;
  /** Requests sent, as a share of those that the limit allows in the same time. */
  readonly usedShare: number;
}

async function simulatePermitHolder(daemons: number, perSecond: number): Promise<WayOutcome> {
  const limit = permitLimit(perSecond);
  const group = new SimulatedLimits({
    daemons,
    limit,
    kind: backendLimitKind,
    unitsPerRequest: 1,
    seed: SEED,
  });
  const unitsPerSecond = offeredPerSecond(perSecond);
  await group.simulate({ seconds: WARM_UP_SECONDS, unitsPerSecond });
  const before = group.outcome().admitted;
  await group.simulate({ seconds: SECONDS, unitsPerSecond });
  const { admitted, maxInWindow: mostInWindow } = group.outcome();
  return { mostInWindow, usedShare: (admitted - before) / (perSecond * SECONDS) };
}

function simulateEqualShares(daemons: number, perSecond: number): WayOutcome {
  const random = xoroshiro128plus(SEED);
  const buckets = Array.from({ length: daemons }, () => new TokenBucket(perSecond / daemons, 1, 0));
  const inWindow = new SlidingSum(WINDOW_MS);
  const gapMs = 1_000 / offeredPerSecond(perSecond);
  let sent = 0;
  let mostInWindow = 0;
  for (let now = 0; now < SECONDS * 1_000; now += gapMs) {
    if (buckets[uniformInt(random, 0, daemons - 1)]?.take(now) !== true) continue;
    sent += 1;
    inWindow.add(1, now);
    mostInWindow = Math.max(mostInWindow, inWindow.total(now));
  }
  return { mostInWindow, usedShare: sent / (perSecond * SECONDS) };
}

function offeredPerSecond(perSecond: number): number {
  return Math.max(MIN_OFFERED_PER_SECOND, perSecond * OFFERED_LOAD_FACTOR);
}

function print(way: string, daemons: number, perSecond: number, outcome: WayOutcome): void {
  if (process.env.LIMITS_TABLE === undefined) return;
  const most = `${outcome.mostInWindow} of ${allowedArrivals(perSecond)}`;
  const row = [way, `${daemons} daemons`, `${perSecond}/s`, most, outcome.usedShare.toFixed(2)];
  process.stdout.write(`${row.join('  ')}\n`);
}

describe.each([6, 90, 330])('the rate limit of a backend, over %i daemons', (daemons) => {
  beforeEach(() => useVirtualClock());
  afterEach(() => vi.useRealTimers());

  it.each(LIMITS)(
    'of %d a second is not exceeded and mostly used with one permit holder',
    async (perSecond) => {
      const outcome = await simulatePermitHolder(daemons, perSecond);
      print('holder', daemons, perSecond, outcome);
      print('equal shares', daemons, perSecond, simulateEqualShares(daemons, perSecond));
      expect(outcome.mostInWindow).toBeLessThanOrEqual(allowedArrivals(perSecond));
      // One request may arrive after the end of the measured time.
      expect(outcome.usedShare + 1 / (perSecond * SECONDS)).toBeGreaterThan(0.7);
    },
    60_000,
  );
});
