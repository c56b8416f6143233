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

  it('allows no order before a claim succeeds', () => {
    lease.prove(ASKED_AT);
    expect(lease.holds(ASKED_AT, ASKED_AT)).toBe(false);
  });

  it('allows no order while one of the former owner may still be in flight', () => {
    begin(false);
    const firstOrderAt = ANSWERED_AT + HAND_OVER_MS;
    lease.prove(firstOrderAt - 10);
    expect([firstOrderAt - 1, firstOrderAt].map((now) => lease.holds(now, now))).toEqual([
      false,
      true,
    ]);
    expect(HAND_OVER_MS).toBeGreaterThan(HOLD_MS);
  });

  it('waits only for orders in flight after a hand-over', () => {
    begin(true);
    lease.prove(ANSWERED_AT + 700);
    const firstOrderAt = ANSWERED_AT + HAND_OVER_MS - HOLD_MS;
    expect([firstOrderAt - 1, firstOrderAt].map((now) => lease.holds(now, now))).toEqual([
      false,
      true,
    ]);
  });

  it('dates a proof by its request and ignores an older proof', () => {
    begin(true);
    lease.prove(5_000);
    lease.prove(4_000);
    expect(lease.holds(5_000 + HOLD_MS, 9_000)).toBe(true);
    expect(lease.holds(5_000 + HOLD_MS + 1, 9_000)).toBe(false);
  });

  it('delays the first order again after each claim', () => {
    begin(true);
    begin(false);
    lease.prove(ANSWERED_AT + 100);
    expect(lease.holds(ANSWERED_AT + 200, ANSWERED_AT + 200)).toBe(false);
  });

  it('expires by the lease clock, which counts suspension, and delays by the steady clock', () => {
    begin(false);
    const delayEndsAt = ANSWERED_AT + HAND_OVER_MS;
    lease.prove(delayEndsAt);
    expect(lease.holds(delayEndsAt + HOLD_MS + 1, delayEndsAt)).toBe(false);
    lease.prove(delayEndsAt + 5_000);
    expect(lease.holds(delayEndsAt + 5_000, delayEndsAt - 1)).toBe(false);
  });
});
