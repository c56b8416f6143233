import { describe, expect, it } from 'vitest';
import { SlotQueue } from '../../../src/core/admission/slot-queue.js';
import { shareOfPerMille, ToldFailures } from '../../../src/core/admission/told-failures.js';

describe('the failure rate of a backend', () => {
  it('stays low after one failure and is high after several', () => {
    const failures = new ToldFailures();
    expect(failures.share(0)).toBe(0);
    failures.note(true, 0);
    expect(failures.share(0)).toBeLessThan(0.5);
    for (let end = 0; end < 8; end++) failures.note(true, end);
    expect(failures.share(8)).toBeGreaterThan(0.7);
  });

  it('decays with time and with successful requests', () => {
    const failures = new ToldFailures();
    for (let end = 0; end < 8; end++) failures.note(true, 0);
    expect(failures.share(9_000)).toBeLessThan(0.3);
    for (let end = 0; end < 40; end++) failures.note(false, 100);
    expect(failures.share(100)).toBeLessThan(0.25);
  });

  it('counts each request once, and only if it had a slot', () => {
    const queue = new SlotQueue(2);
    queue.take({ daemon: 'd', ticket: 1, tenant: '', work: 0 }, 0);
    queue.end('d', 1, 5, true);
    const once = queue.failureShare(5);
    queue.end('d', 1, 5, true);
    queue.end('d', 2, 5, true);
    expect(once).toBeGreaterThan(0);
    expect(queue.failureShare(5)).toBe(once);
  });

  it('is zero for an invalid per mille value', () => {
    expect(shareOfPerMille(250)).toBe(0.25);
    for (const invalid of [-1, 1_001, NaN, Infinity]) expect(shareOfPerMille(invalid)).toBe(0);
  });
});
