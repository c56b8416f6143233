import { describe, expect, it } from 'vitest';
import { SlotQueue } from '../../../src/core/admission/slot-queue.js';
import { fractionOfPerMille, FailureRate } from '../../../src/core/admission/failure-rate.js';

describe('the failure rate of a backend', () => {
  it('stays low after one failure and is high after several', () => {
    const failures = new FailureRate();
    expect(failures.rate(0)).toBe(0);
    failures.recordResult(true, 0);
    expect(failures.rate(0)).toBeLessThan(0.5);
    for (let end = 0; end < 8; end++) failures.recordResult(true, end);
    expect(failures.rate(8)).toBeGreaterThan(0.7);
  });

  it('decays with time and with successful requests', () => {
    const failures = new FailureRate();
    for (let end = 0; end < 8; end++) failures.recordResult(true, 0);
    expect(failures.rate(9_000)).toBeLessThan(0.3);
    for (let end = 0; end < 40; end++) failures.recordResult(false, 100);
    expect(failures.rate(100)).toBeLessThan(0.25);
  });

  it('counts each request once, and only if it had a slot', () => {
    const queue = new SlotQueue(2);
    queue.recordUse({ daemon: 'd', ticket: 1, tenant: '', work: 0 }, 0);
    queue.end('d', 1, 5, true);
    const once = queue.failureShare(5);
    queue.end('d', 1, 5, true);
    queue.end('d', 2, 5, true);
    expect(once).toBeGreaterThan(0);
    expect(queue.failureShare(5)).toBe(once);
  });

  it('is zero for an invalid per mille value', () => {
    expect(fractionOfPerMille(250)).toBe(0.25);
    for (const invalid of [-1, 1_001, NaN, Infinity]) expect(fractionOfPerMille(invalid)).toBe(0);
  });
});
