import { describe, expect, it } from 'vitest';
import { LeaseClock } from '../../src/common/lease-clock.js';

describe('LeaseClock', () => {
  let monotonic = 0;
  let wallClock = 0;
  const forwardSteps: number[] = [];

  function startClock(): LeaseClock {
    monotonic = 1_000;
    wallClock = 1_700_000_000_000;
    forwardSteps.length = 0;
    const clock = new LeaseClock(
      () => monotonic,
      () => wallClock,
    );
    clock.onForwardStep = (milliseconds) => forwardSteps.push(milliseconds);
    return clock;
  }

  function advance(milliseconds: number, wallMilliseconds = milliseconds): void {
    monotonic += milliseconds;
    wallClock += wallMilliseconds;
  }

  it('follows the monotonic clock, and the wall clock for time in which the monotonic clock stopped', () => {
    const clock = startClock();
    advance(500);
    expect(clock.now()).toBe(1_500);
    advance(10, 3_010);
    expect(clock.now()).toBe(4_510);
    advance(10);
    expect(clock.now()).toBe(4_520);
    expect(forwardSteps).toEqual([3_000]);
  });

  it('never goes back when the wall clock is set back, and counts forward steps after that', () => {
    const clock = startClock();
    advance(100, -4_900);
    expect(clock.now()).toBe(1_100);
    advance(100, 2_100);
    expect(clock.now()).toBe(3_200);
  });

  it('stays accurate while the wall clock is adjusted gradually', () => {
    const clock = startClock();
    for (let second = 0; second < 3_600; second++) {
      advance(1_000, 1_000.5);
      clock.now();
    }
    const elapsed = clock.now() - 1_000;
    expect(elapsed).toBeGreaterThanOrEqual(3_600_000);
    expect(elapsed).toBeLessThan(3_602_000);
  });
});
