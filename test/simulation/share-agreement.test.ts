/* Daemons agree on how limits are divided: with a store, with members that are cut off, and while the store is away. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { LIMIT, warmGroup } from './small-group.js';

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

const quiet = (seconds: number) => ({ seconds, unitsPerSecond: 0 });

describe('daemons that share limits', () => {
  it('all have a share soon after they have started together', async () => {
    const group = await warmGroup(30, 1);
    expect(group.shares()).toEqual(Array.from({ length: 30 }, () => 1 / 30));
  });

  it('give one to those that join, once all know of it', async () => {
    const group = await warmGroup(4, 1);
    group.join(2, 0);
    await group.play(quiet(0.5));
    expect(group.shares()).toEqual([1 / 4, 1 / 4, 1 / 4, 1 / 4, 0, 0]);
    await group.play(quiet(5));
    expect(group.shares()).toEqual(Array.from({ length: 6 }, () => 1 / 6));
  });

  it('give none to those that join one side of a cut, until it heals', async () => {
    const group = await warmGroup(4, 1);
    group.cutOff([0], 1_600, 2_900);
    await group.play(quiet(4));
    group.join(8, 3);
    await group.play(quiet(20));
    expect(group.shares().slice(4)).toEqual(Array.from({ length: 8 }, () => 0));
    group.heal();
    await group.play(quiet(10));
    expect(group.shares()).toEqual(Array.from({ length: 12 }, () => 1 / 12));
  });

  it('count by the answer of a member when they start while the store is away', async () => {
    const group = await warmGroup(4, 1);
    group.store.isAway = true;
    group.restart(2);
    await group.play(quiet(2));
    expect(group.shares()).toEqual([1 / 4, 1 / 4, 1 / 4, 1 / 4]);
    group.cutOff([2], 1_600, 1_600);
    await group.play(quiet(2));
    expect(group.shares()[2]).toBe(0);
  });

  it('serve a tenant at its limit after all have started again', async () => {
    const group = await warmGroup(4, 1);
    group.restartAll();
    await group.play({ seconds: 10, unitsPerSecond: 2 * LIMIT.perSecond });
    expect(group.outcome().admitted).toBeGreaterThan(0.7 * 10 * LIMIT.perSecond);
  });
});
