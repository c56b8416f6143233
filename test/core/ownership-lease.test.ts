import { beforeEach, describe, expect, it } from 'vitest';
import { HAND_OVER_MS, HOLD_MS, OwnershipLease } from '../../src/core/ownership-lease.js';

const ASKED_AT = 1_000;
const ANSWERED_AT = 1_100;

describe('OwnershipLease', () => {
  let lease: OwnershipLease;

  beforeEach(() => {
    lease = new OwnershipLease();
  });

  function begin(isHandedOver: boolean): void {
    lease.begin({ askedAt: ASKED_AT, answeredAt: ANSWERED_AT, isHandedOver });
  }

  it('allows nothing before a claim is won', () => {
    lease.prove(ASKED_AT);
    expect(lease.holds(ASKED_AT, ASKED_AT)).toBe(false);
  });

  it('allows no order until the former owner can have none on its way', () => {
    begin(false);
    const first = ANSWERED_AT + HAND_OVER_MS;
    lease.prove(first - 10);
    expect([first - 1, first].map((now) => lease.holds(now, now))).toEqual([false, true]);
    expect(HAND_OVER_MS).toBeGreaterThan(HOLD_MS);
  });

  it('waits only for orders on their way after a hand-over', () => {
    begin(true);
    lease.prove(ANSWERED_AT + 700);
    const first = ANSWERED_AT + HAND_OVER_MS - HOLD_MS;
    expect([first - 1, first].map((now) => lease.holds(now, now))).toEqual([false, true]);
  });

  it('counts a proof from its question, and never steps back to an older one', () => {
    begin(true);
    lease.prove(5_000);
    lease.prove(4_000);
    expect(lease.holds(5_000 + HOLD_MS, 9_000)).toBe(true);
    expect(lease.holds(5_000 + HOLD_MS + 1, 9_000)).toBe(false);
  });

  it('waits again after each claim', () => {
    begin(true);
    begin(false);
    lease.prove(ANSWERED_AT + 100);
    expect(lease.holds(ANSWERED_AT + 200, ANSWERED_AT + 200)).toBe(false);
  });

  it('ends by the clock that counts a suspension, and waits by the one that does not', () => {
    begin(false);
    const waited = ANSWERED_AT + HAND_OVER_MS;
    lease.prove(waited);
    expect(lease.holds(waited + HOLD_MS + 1, waited)).toBe(false);
    lease.prove(waited + 5_000);
    expect(lease.holds(waited + 5_000, waited - 1)).toBe(false);
  });
});
