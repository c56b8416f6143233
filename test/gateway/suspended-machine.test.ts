/*
 * A suspended owner gave orders after its successor: its steady clock had not counted the 5.4 s for which its machine stood
 * still, so the proof of its lease seemed milliseconds old when it woke, and no line `standstill` stands in its log. It unloaded a
 * model 60 ms after it woke and loaded another 80 ms after, 1.3 s after its successor's first order; that it stopped at 230 ms
 * was somebody's word of the higher epoch, by chance.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { OwnershipScene } from './ownership-scene.js';

const SUSPENDED_MS = 5_400;

/** The machine wakes: the time of day has gone on, the steady clock has not. */
function suspend(): void {
  vi.setSystemTime(Date.now() + SUSPENDED_MS);
}

describe('on a machine that was suspended', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date'] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it('an owner whose backends check no epochs orders nothing until it has proved its claim anew', async () => {
    const scene = new OwnershipScene(false);
    const owner = scene.join('one', 1_000);
    await scene.runHeard(4_000);
    expect(owner.mayOrder()).toBe(true);
    suspend();
    expect(owner.mayOrder()).toBe(false);
    await scene.runHeard(200);
    expect(owner.mayOrder()).toBe(true);
    expect(owner.epoch).toBe(1);
  });
});
