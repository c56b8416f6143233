import { beforeEach, describe, expect, it } from 'vitest';
import {
  TAKEOVER_DELAY_MS,
  ORDER_LEASE_MS,
  OwnershipLease,
} from '../../src/core/ownership-lease.js';

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
    lease.addProof(ASKED_AT);
    expect(lease.allowsOrder(ASKED_AT, ASKED_AT)).toBe(false);
  });

  it('allows no order while one of the former owner may still be in flight', () => {
    begin(false);
    const firstOrderAt = ANSWERED_AT + TAKEOVER_DELAY_MS;
    lease.addProof(firstOrderAt - 10);
    expect([firstOrderAt - 1, firstOrderAt].map((now) => lease.allowsOrder(now, now))).toEqual([
      false,
      true,
    ]);
    expect(TAKEOVER_DELAY_MS).toBeGreaterThan(ORDER_LEASE_MS);
  });

  it('waits only for orders in flight after a hand-over', () => {
    begin(true);
    lease.addProof(ANSWERED_AT + 700);
    const firstOrderAt = ANSWERED_AT + TAKEOVER_DELAY_MS - ORDER_LEASE_MS;
    expect([firstOrderAt - 1, firstOrderAt].map((now) => lease.allowsOrder(now, now))).toEqual([
      false,
      true,
    ]);
  });

  it('dates a proof by its request and ignores an older proof', () => {
    begin(true);
    lease.addProof(5_000);
    lease.addProof(4_000);
    expect(lease.allowsOrder(5_000 + ORDER_LEASE_MS, 9_000)).toBe(true);
    expect(lease.allowsOrder(5_000 + ORDER_LEASE_MS + 1, 9_000)).toBe(false);
  });

  it('delays the first order again after each claim', () => {
    begin(true);
    begin(false);
    lease.addProof(ANSWERED_AT + 100);
    expect(lease.allowsOrder(ANSWERED_AT + 200, ANSWERED_AT + 200)).toBe(false);
  });

  it('expires by the lease clock, which counts suspension, and delays by the steady clock', () => {
    begin(false);
    const delayEndsAt = ANSWERED_AT + TAKEOVER_DELAY_MS;
    lease.addProof(delayEndsAt);
    expect(lease.allowsOrder(delayEndsAt + ORDER_LEASE_MS + 1, delayEndsAt)).toBe(false);
    lease.addProof(delayEndsAt + 5_000);
    expect(lease.allowsOrder(delayEndsAt + 5_000, delayEndsAt - 1)).toBe(false);
  });
});
