import { describe, expect, it } from 'vitest';
import { BEAT_PERIOD_MS, RunningClock } from '../../src/common/running-clock.js';

describe('the running clock', () => {
  function makeClock(): { clock: RunningClock; pauses: number[]; pass: (ms: number) => void } {
    let now = 1_000;
    const clock = new RunningClock(() => now);
    const pauses: number[] = [];
    clock.onPause = (milliseconds) => pauses.push(milliseconds);
    return { clock, pauses, pass: (milliseconds) => (now += milliseconds) };
  }

  it('counts all time while the event loop runs', () => {
    const { clock, pauses, pass } = makeClock();
    const start = clock.now();
    for (let beat = 0; beat < 10; beat++) {
      pass(BEAT_PERIOD_MS + 20);
      clock.beat();
    }
    expect(clock.now() - start).toBe(10 * (BEAT_PERIOD_MS + 20));
    expect(pauses).toEqual([]);
  });

  it('leaves out a pause before its first beat after it, and reports it once', () => {
    const { clock, pauses, pass } = makeClock();
    clock.beat();
    pass(1_300);
    expect(clock.now()).toBe(1_000 + BEAT_PERIOD_MS);
    clock.beat();
    expect(clock.now()).toBe(1_000 + BEAT_PERIOD_MS);
    expect(pauses).toEqual([1_200]);
  });

  it('does not date a signal after a pause that it has waited for, behind what the sockets had to read', () => {
    const { clock, pass } = makeClock();
    clock.beat();
    const pausedAt = 1_000;
    pass(1_300);
    clock.beat();
    for (let read = 0; read < 10; read++) {
      pass(45);
      clock.now();
    }
    expect(clock.earliestArrivalAt).toBeLessThanOrEqual(pausedAt);
  });

  it('does not date a signal after a pause that was noticed before the next beat', () => {
    const { clock, pass } = makeClock();
    clock.beat();
    pass(30);
    const pausedAt = 1_030;
    clock.now();
    pass(1_300);
    clock.now();
    pass(300);
    clock.beat();
    pass(20);
    expect(clock.earliestArrivalAt).toBe(pausedAt);
  });

  it('dates a signal at most two beats back while the event loop runs', () => {
    const { clock, pass } = makeClock();
    for (let beat = 0; beat < 5; beat++) {
      pass(BEAT_PERIOD_MS);
      clock.beat();
    }
    pass(BEAT_PERIOD_MS);
    expect(clock.earliestArrivalAt).toBe(1_000 + 4 * BEAT_PERIOD_MS);
  });

  it('never runs back', () => {
    const { clock, pass } = makeClock();
    let last = clock.now();
    for (const gap of [40, 60, 150, 500, 0, 100, 199, 2, 201, 99, 3_000, 1]) {
      pass(gap);
      expect(clock.now()).toBeGreaterThanOrEqual(last);
      last = clock.now();
      if (gap % 2 === 0) clock.beat();
    }
  });
});
