import { describe, expect, it } from 'vitest';
import { BackendRateLimits, type RateLimitNotice } from '../../src/core/backend-rate-limits.js';
import { BrittleBackends } from '../../src/core/brittle-backends.js';

const BACKEND = { id: 'a', start: '1', slots: 12 };
const UNLIMITED: RateLimitNotice = { type: 'unlimited' };

function limited(perSecond: number): RateLimitNotice {
  return { type: 'limited', perSecond };
}

/** One daemon's view of brittle backends and of rate limits. */
class Daemon {
  readonly brittle = new BrittleBackends();
  readonly rates = new BackendRateLimits();

  /** Handles an answer to a request that was sent under the current limit. */
  answer(
    now: number,
    isRejection: boolean,
    tolerated = limited(8),
    named = UNLIMITED,
    backend = BACKEND,
  ): void {
    const recorded = this.rates.limitOf(backend);
    const rejections = { tolerated, isRejection };
    const notice = this.brittle.recordAnswer(backend, rejections, named, recorded, now);
    const changed = this.rates.recordAnswer(backend, notice, recorded);
    if (changed !== undefined) this.brittle.recordOwnLimit(backend, changed);
  }

  get limit(): number | undefined {
    return this.rates.limitOf(BACKEND)?.perSecond;
  }
}

describe('a brittle backend', () => {
  it('gets a limit after a rejection, which ends after three seconds without another', () => {
    const daemon = new Daemon();
    daemon.answer(0, false);
    expect(daemon.limit).toBeUndefined();
    daemon.answer(100, true);
    expect(daemon.limit).toBe(2);
    daemon.answer(3_000, false);
    expect(daemon.limit).toBe(2);
    daemon.answer(3_050, true);
    daemon.answer(6_000, false);
    expect(daemon.limit).toBe(2);
    daemon.answer(6_100, false);
    expect(daemon.limit).toBeUndefined();
  });

  it('keeps the limit that another daemon has recorded for as long', () => {
    const [first, second] = [new Daemon(), new Daemon()];
    first.answer(0, true);
    second.rates.merge(first.rates.all());
    second.answer(10, false);
    second.answer(2_900, false);
    expect(second.limit).toBe(2);
    second.answer(3_100, false);
    expect(second.limit).toBeUndefined();
  });

  it('has no limit any more at a daemon that learns that another one has lifted it', () => {
    const [first, second] = [new Daemon(), new Daemon()];
    first.answer(0, true);
    second.rates.merge(first.rates.all());
    second.answer(2_500, false);
    first.answer(3_100, false);
    second.rates.merge(first.rates.all());
    second.answer(3_200, false);
    expect(second.limit).toBeUndefined();
  });

  it('still gets a request now and then if it tolerates no rejection', () => {
    const daemon = new Daemon();
    daemon.answer(0, true, limited(0));
    expect(daemon.limit).toBe(0.5);
  });

  it('keeps a lower limit that it names itself', () => {
    const daemon = new Daemon();
    daemon.answer(0, true, limited(100), limited(3));
    expect(daemon.limit).toBe(3);
    daemon.answer(10, true, limited(100), { type: 'unreadable' });
    expect(daemon.limit).toBe(3);
  });

  it('is brittle no more after an answer without a number, and unchanged by one that cannot be read', () => {
    const daemon = new Daemon();
    daemon.answer(0, true);
    daemon.answer(10, false, { type: 'unreadable' });
    expect(daemon.brittle.toleratedBy(BACKEND)).toBe(8);
    daemon.answer(20, false, UNLIMITED);
    expect(daemon.brittle.toleratedBy(BACKEND)).toBeUndefined();
    expect(daemon.limit).toBeUndefined();
  });

  it('is another one after a restart under the same id', () => {
    const daemon = new Daemon();
    daemon.answer(0, true);
    expect(daemon.brittle.toleratedBy({ id: 'a', start: '2' })).toBeUndefined();
  });

  it('gets no more requests at once than its slots, divided over the daemons', () => {
    const { brittle } = new Daemon();
    expect(brittle.inFlightLimit(BACKEND, 6)).toBe(Infinity);
    const rejections = { tolerated: limited(1e9), isRejection: false };
    brittle.recordAnswer(BACKEND, rejections, UNLIMITED, undefined, 0);
    expect(brittle.inFlightLimit(BACKEND, 5)).toBe(2);
    expect(brittle.inFlightLimit(BACKEND, 330)).toBe(1);
    expect(brittle.inFlightLimit(BACKEND, Infinity)).toBe(1);
    brittle.keepOnly(new Set());
    expect(brittle.size).toBe(0);
  });
});
