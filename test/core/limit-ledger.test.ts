/*
 * Guards against a holder that names a retry delay longer than any message can carry. A tenant with a limit of less than about one
 * unit in 70 hours and a few requests that its slack admitted got delays above 2^32 ms, which ended the daemon.
 */
import { describe, expect, it } from 'vitest';
import { LimitLedger } from '../../src/core/admission/limit-ledger.js';

const WINDOW = { windowMs: 5_000, excess: 0.1, slack: 40 };
const FULL_VIEW = { daemons: 3, share: 1 };

describe("a tenant's limit", () => {
  it.each([1e-9, 1e-6, 1e-3, 1])(
    'of %d units a second refuses for a window at most, and admits again after that',
    (perSecond) => {
      const ledger = new LimitLedger({ perSecond, burst: 0 }, WINDOW, FULL_VIEW, -60_000);
      let refusals = 0;
      for (let count = 0; count < 100; count++) {
        const decision = ledger.admit(1, 0);
        if (decision.type !== 'over_limit') continue;
        refusals += 1;
        expect(decision.retryAfterMs).toBeLessThanOrEqual(WINDOW.windowMs);
      }
      expect(refusals).toBeGreaterThan(50);
      expect(ledger.admit(1, 2 * WINDOW.windowMs).type).toBe('granted');
    },
  );
});
