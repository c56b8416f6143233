import { describe, expect, it } from 'vitest';
import { cheapestStay } from '../../src/core/keep-alive-adaptive.js';

describe('cheapestStay', () => {
  it('keeps over short idle times and lets long ones go', () => {
    const stay = cheapestStay([1_000, 2_000, 3_000, 900_000], 60_000);
    expect(stay).toBeGreaterThanOrEqual(3_000);
    expect(stay).toBeLessThan(4_000);
  });

  it('keeps nothing when a cold start is worth nothing', () => {
    expect(cheapestStay([1_000, 2_000], 0)).toBe(0);
  });

  it('keeps over all idle times when a cold start is worth much', () => {
    expect(cheapestStay([1_000, 900_000], 10_000_000)).toBeGreaterThanOrEqual(900_000);
  });
});
