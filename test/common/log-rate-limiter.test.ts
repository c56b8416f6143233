import { describe, expect, it } from 'vitest';
import { LogRateLimiter } from '../../src/common/log-rate-limiter.js';

describe('LineBudget', () => {
  it('limits the lines of an event and counts the dropped ones', () => {
    const limiter = new LogRateLimiter();
    let written = 0;
    for (let count = 0; count < 500; count++)
      written += Number(limiter.take('a', 0, false).written);
    expect(written).toBe(200);
    expect(limiter.take('b', 0, false)).toEqual({ written: true, leftOut: 0 });
    expect(limiter.take('a', 1_000, false)).toEqual({ written: true, leftOut: 300 });
  });

  it('drops lines while the reader is too slow', () => {
    const limiter = new LogRateLimiter();
    expect(limiter.take('a', 0, true).written).toBe(false);
    expect(limiter.take('a', 1, false)).toEqual({ written: true, leftOut: 1 });
  });
});
