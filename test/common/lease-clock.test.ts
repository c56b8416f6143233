import { describe, expect, it } from 'vitest';
import { LeaseClock } from '../../src/common/lease-clock.js';

describe('LeaseClock', () => {
  let steady = 0;
  let timeOfDay = 0;
  const leaps: number[] = [];

  function started(): LeaseClock {
    steady = 1_000;
    timeOfDay = 1_700_000_000_000;
    leaps.length = 0;
    const clock = new LeaseClock(
      () => steady,
      () => timeOfDay,
    );
    clock.onLeap = (milliseconds) => leaps.push(milliseconds);
    return clock;
  }

  function pass(milliseconds: number, ofDay = milliseconds): void {
    steady += milliseconds;
    timeOfDay += ofDay;
  }

  it('goes with the steady clock, and on where that stood still', () => {
    const clock = started();
    pass(500);
    expect(clock.now()).toBe(1_500);
    pass(10, 3_010);
    expect(clock.now()).toBe(4_510);
    pass(10);
    expect(clock.now()).toBe(4_520);
    expect(leaps).toEqual([3_000]);
  });

  it('never goes back, and counts what follows a step back', () => {
    const clock = started();
    pass(100, -4_900);
    expect(clock.now()).toBe(1_100);
    pass(100, 2_100);
    expect(clock.now()).toBe(3_200);
  });

  it('bears a time of day that is adjusted bit by bit', () => {
    const clock = started();
    for (let second = 0; second < 3_600; second++) {
      pass(1_000, 1_000.5);
      clock.now();
    }
    const passed = clock.now() - 1_000;
    expect(passed).toBeGreaterThanOrEqual(3_600_000);
    expect(passed).toBeLessThan(3_602_000);
  });
});
