/* Answers from a backend that announces a rate limit can arrive out of order; an older answer must not undo a newer limit. */
import { describe, expect, it } from 'vitest';
import {
  BackendRateLimits,
  readRateLimit,
  type RateLimitNotice,
} from '../../src/core/backend-rate-limits.js';

const BACKEND = { id: 'a', start: '1' };
const UNLIMITED: RateLimitNotice = { type: 'unlimited' };

function limited(perSecond: number): RateLimitNotice {
  return { type: 'limited', perSecond };
}

describe('readRateLimit', () => {
  it.each([
    ['1', limited(1)],
    ['0.3', limited(0.3)],
    ['0', limited(0)],
    [' 2.5 ', limited(2.5)],
    ['5, 2', limited(2)],
    ['1000000000', limited(1_000_000_000)],
    [undefined, UNLIMITED],
    ['', { type: 'unreadable' }],
    ['-1', { type: 'unreadable' }],
    ['1e9', { type: 'unreadable' }],
    ['few', { type: 'unreadable' }],
    ['1, few', { type: 'unreadable' }],
  ] as const)('parses the header %j', (header, notice) => {
    expect(readRateLimit(header)).toEqual(notice);
  });
});

describe('BackendRateLimits', () => {
  it('records a limit from the first answer that announces one and removes it after an answer without one', () => {
    const rates = new BackendRateLimits();
    expect(rates.recordAnswer(BACKEND, UNLIMITED, undefined)).toBeUndefined();
    const limit = rates.recordAnswer(BACKEND, limited(1), undefined);
    expect(rates.limitOf(BACKEND)?.perSecond).toBe(1);
    rates.recordAnswer(BACKEND, UNLIMITED, limit);
    expect(rates.limitOf(BACKEND)?.perSecond).toBeUndefined();
  });

  it.each([['none', UNLIMITED] as const, ['a higher one', limited(5)] as const])(
    'keeps the limit when an answer to an earlier request announces %s',
    (_name, notice) => {
      const rates = new BackendRateLimits();
      const limitAtSend = rates.limitOf(BACKEND);
      rates.recordAnswer(BACKEND, limited(1), undefined);
      expect(rates.recordAnswer(BACKEND, notice, limitAtSend)).toBeUndefined();
      expect(rates.limitOf(BACKEND)?.perSecond).toBe(1);
      rates.recordAnswer(BACKEND, notice, rates.limitOf(BACKEND));
      expect(rates.limitOf(BACKEND)?.perSecond).not.toBe(1);
    },
  );

  it('accepts a lower limit from any answer', () => {
    const rates = new BackendRateLimits();
    rates.recordAnswer(BACKEND, limited(5), undefined);
    rates.recordAnswer(BACKEND, limited(1), undefined);
    expect(rates.limitOf(BACKEND)?.perSecond).toBe(1);
  });

  it('ignores an unreadable limit', () => {
    const rates = new BackendRateLimits();
    rates.recordAnswer(BACKEND, limited(1), undefined);
    expect(
      rates.recordAnswer(BACKEND, { type: 'unreadable' }, rates.limitOf(BACKEND)),
    ).toBeUndefined();
    expect(rates.limitOf(BACKEND)?.perSecond).toBe(1);
  });

  it('does not apply a limit to a later process but keeps it when the start of the process becomes known', () => {
    const rates = new BackendRateLimits();
    rates.recordAnswer(BACKEND, limited(1), undefined);
    expect(rates.limitOf({ id: 'a', start: '2' })).toBeUndefined();
    rates.recordAnswer({ id: 'b' }, limited(1), undefined);
    expect(rates.limitOf({ id: 'b', start: '1' })?.perSecond).toBe(1);
  });

  it('converges at all daemons regardless of the order in which they receive limits', () => {
    const [one, two] = [new BackendRateLimits(), new BackendRateLimits()];
    one.recordAnswer(BACKEND, limited(1), undefined);
    two.recordAnswer(BACKEND, limited(3), undefined);
    const [ofOne, ofTwo] = [one.all(), two.all()];
    expect(one.merge(ofTwo)).toEqual([]);
    expect(two.merge(ofOne)).toEqual(ofOne);
    expect(two.limitOf(BACKEND)?.perSecond).toBe(1);
    expect(one.stateDigest()).toBe(two.stateDigest());
    const lifted = one.recordAnswer(BACKEND, UNLIMITED, one.limitOf(BACKEND));
    expect(one.stateDigest()).not.toBe(two.stateDigest());
    two.merge(lifted === undefined ? [] : [lifted]);
    two.merge(ofOne);
    expect(two.limitOf(BACKEND)?.perSecond).toBeUndefined();
  });

  it('bounds the number of recorded processes and drops removed limits first', () => {
    const rates = new BackendRateLimits();
    rates.recordAnswer({ id: 'kept' }, limited(1), undefined);
    for (let count = 0; count < 2_500; count++) {
      const backend = { id: `b${count}` };
      rates.recordAnswer(backend, limited(1), undefined);
      rates.recordAnswer(backend, UNLIMITED, rates.limitOf(backend));
    }
    expect(rates.all().length).toBeLessThanOrEqual(2_000);
    expect(rates.limitOf({ id: 'kept' })?.perSecond).toBe(1);
  });
});
