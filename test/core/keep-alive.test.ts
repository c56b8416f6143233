import { describe, expect, it } from 'vitest';
import { cheapestKeepAliveMs } from '../../src/core/keep-alive-adaptive.js';

describe('cheapestStay', () => {
  it('keeps a replica through short idle times but not through long ones', () => {
    const keepMs = cheapestKeepAliveMs([1_000, 2_000, 3_000, 900_000], 60_000);
    expect(keepMs).toBeGreaterThanOrEqual(3_000);
    expect(keepMs).toBeLessThan(4_000);
  });

  it('returns 0 when a cold start costs nothing', () => {
    expect(cheapestKeepAliveMs([1_000, 2_000], 0)).toBe(0);
  });

  it('keeps a replica through all idle times when a cold start is expensive', () => {
    expect(cheapestKeepAliveMs([1_000, 900_000], 10_000_000)).toBeGreaterThanOrEqual(900_000);
  });
});
