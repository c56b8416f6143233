import { describe, expect, it } from 'vitest';
import { SlotQueue } from '../../../src/core/admission/slot-queue.js';
import { shareOfPerMille, ToldFailures } from '../../../src/core/admission/told-failures.js';

describe('the failures of a backend that are told', () => {
  it('are no pattern if there is one, and most of the share if there are several', () => {
    const failures = new ToldFailures();
    expect(failures.share(0)).toBe(0);
    failures.note(true, 0);
    expect(failures.share(0)).toBeLessThan(0.5);
    for (let end = 0; end < 8; end++) failures.note(true, end);
    expect(failures.share(8)).toBeGreaterThan(0.7);
  });

  it('fade when nothing ends there, and with sound ends', () => {
    const failures = new ToldFailures();
    for (let end = 0; end < 8; end++) failures.note(true, 0);
    expect(failures.share(9_000)).toBeLessThan(0.3);
    for (let end = 0; end < 40; end++) failures.note(false, 100);
    expect(failures.share(100)).toBeLessThan(0.25);
  });

  it('count once a request that had a slot', () => {
    const queue = new SlotQueue(2);
    queue.take({ daemon: 'd', ticket: 1, tenant: '', work: 0 }, 0);
    queue.end('d', 1, 5, true);
    const once = queue.failureShare(5);
    queue.end('d', 1, 5, true);
    queue.end('d', 2, 5, true);
    expect(once).toBeGreaterThan(0);
    expect(queue.failureShare(5)).toBe(once);
  });

  it('are none if what is told is no share', () => {
    expect(shareOfPerMille(250)).toBe(0.25);
    for (const nonsense of [-1, 1_001, NaN, Infinity]) expect(shareOfPerMille(nonsense)).toBe(0);
  });
});
