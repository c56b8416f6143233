import { describe, expect, it } from 'vitest';
import { permitLimit, PermitLedger } from '../../src/core/admission/permit-ledger.js';
import { LIMITS, WINDOW_MS } from './permit-limits.js';

const FULL_VIEW = { daemons: 6, share: 1 };

function grantedIn(ledger: PermitLedger, from: number, forMs: number): number[] {
  const granted: number[] = [];
  for (let now = from; now < from + forMs; now++) {
    while (ledger.admit(1, now).type === 'granted') granted.push(now);
  }
  return granted;
}

describe.each(LIMITS)('permits at %d a second', (perSecond) => {
  it('are granted at that rate, with a small burst at most', () => {
    const ledger = new PermitLedger(permitLimit(perSecond), FULL_VIEW, 0);
    const granted = grantedIn(ledger, 0, 40_000);
    expect(granted.length / 40).toBeGreaterThan(perSecond * 0.9);
    const most = Math.max(
      ...granted.map((end) => granted.filter((at) => at <= end && end - at < WINDOW_MS).length),
    );
    expect(most).toBeLessThanOrEqual(
      (perSecond * WINDOW_MS) / 1_000 + Math.max(1, perSecond / 4) + 1,
    );
  });

  it('start without a burst when another daemon was the holder before', () => {
    const ledger = new PermitLedger(permitLimit(perSecond), FULL_VIEW, 0);
    ledger.restartFrom(60_000);
    expect(ledger.admit(1, 60_000).type).toBe('over_limit');
  });
});

describe('permits', () => {
  it('are granted occasionally at a limit of 0, because only a response can lift it', () => {
    const ledger = new PermitLedger(permitLimit(0), FULL_VIEW, 0);
    const granted = grantedIn(ledger, 0, 40_000);
    expect(granted.length).toBeGreaterThan(5);
    expect(granted.length).toBeLessThanOrEqual(11);
  });

  it('are refused with different retry delays if requested at the same time', () => {
    const ledger = new PermitLedger(permitLimit(2), FULL_VIEW, 0);
    const times = Array.from({ length: 4 }, () => {
      const decision = ledger.admit(1, 0);
      return decision.type === 'over_limit' ? Math.round(decision.retryAfterMs) : -1;
    });
    expect(times).toEqual([500, 1_000, 1_500, 2_000]);
  });

  it('have the same retry delay at any time of the clock: a sum with the time would add a fraction of a millisecond', () => {
    for (let step = 0; step < 1_000; step++) {
      const now = 5_000_000 + step * 0.137;
      const ledger = new PermitLedger(permitLimit(3), FULL_VIEW, now);
      ledger.restartFrom(now);
      const expected = { type: 'over_limit', retryAfterMs: (1 / 3) * 1_000 };
      expect(ledger.admit(1, now)).toEqual(expected);
    }
  });

  it('follow a lowered limit at once', () => {
    const ledger = new PermitLedger(permitLimit(200), FULL_VIEW, 0);
    ledger.configure(permitLimit(1), FULL_VIEW, 60_000);
    expect(grantedIn(ledger, 60_000, WINDOW_MS).length).toBeLessThanOrEqual(5);
  });

  it('are limited to the share of the visible daemons', () => {
    const ledger = new PermitLedger(permitLimit(10), { daemons: 3, share: 0.5 }, 0);
    const granted = grantedIn(ledger, 0, 20_000);
    expect(granted.length).toBeGreaterThan(90);
    expect(granted.length).toBeLessThanOrEqual(102);
  });

  it('are refused with a finite delay without a share, and granted again with one', () => {
    const noShare = { daemons: 6, share: 0 };
    const ledger = new PermitLedger(permitLimit(10), noShare, 0);
    for (const now of [1_000, 1_001, 5_000]) {
      const decision = ledger.admit(1, now);
      expect(decision.type).toBe('over_limit');
      expect(decision.type === 'over_limit' && decision.retryAfterMs).toBeLessThan(1_000);
    }
    ledger.configure(permitLimit(10), FULL_VIEW, 6_000);
    expect(grantedIn(ledger, 6_000, 1_000).length).toBeGreaterThan(8);
  });
});
