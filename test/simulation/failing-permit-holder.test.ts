/*
 * Guards against exceeding a backend's rate limit after the permit holder fails: the other daemons briefly use their own shares,
 * and a next holder that does not count these requests grants too much.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { permitLimit } from '../../src/core/admission/permit-ledger.js';
import { backendLimitKind } from '../../src/gateway/limit-kind.js';
import { allowedArrivals, LIMITS } from '../core/permit-limits.js';
import { holderFailures, type HolderFailure } from './holder-failures.js';
import { SimulatedLimits } from './simulated-limits.js';

const DAEMONS = 6;
/** Seconds that daemons run before the first request: longer than a window. */
const WARM_UP_SECONDS = 5;
const AFTER_SECONDS = 12;
/** Offered load as a multiple of the limit. */
const OFFERED_LOAD_FACTOR = 4;
const SEEDS = [1, 2, 3, 4];

/** Time for a late detection of a lost daemon. */
const LATE_DETECTION_MS = 3_200;

const FAILURES: readonly HolderFailure[] = [
  ...holderFailures(),
  ['loses power', (group) => group.kill(group.holder(), 1_600)],
  [
    'loses power and others detect it late',
    (group) => group.kill(group.holder(), LATE_DETECTION_MS),
  ],
  [
    'is partitioned and others detect it late',
    (group) => group.partition([group.holder()], LATE_DETECTION_MS, LATE_DETECTION_MS + 500),
  ],
  [
    'loses power, and its successor too',
    (group) => {
      group.kill(group.holder(), 1_600);
      setTimeout(() => group.kill(group.holder(), 1_600), 2_000);
    },
  ],
];

describe.each(FAILURES)('when the permit holder %s', (_, fail) => {
  beforeEach(() =>
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
  );
  afterEach(() => vi.useRealTimers());

  it.each(LIMITS)(
    'a backend does not get more requests than its limit of %d a second allows',
    async (limit) => {
      const outcomes: number[] = [];
      for (const seed of SEEDS) {
        const group = new SimulatedLimits({
          daemons: DAEMONS,
          limit: permitLimit(limit),
          kind: backendLimitKind,
          unitsPerRequest: 1,
          seed,
        });
        const unitsPerSecond = limit * OFFERED_LOAD_FACTOR;
        await group.simulate({ seconds: WARM_UP_SECONDS, unitsPerSecond });
        fail(group);
        await group.simulate({ seconds: AFTER_SECONDS, unitsPerSecond });
        outcomes.push(group.outcome().maxInWindow);
      }
      expect(Math.max(...outcomes)).toBeLessThanOrEqual(allowedArrivals(limit));
    },
  );
});
