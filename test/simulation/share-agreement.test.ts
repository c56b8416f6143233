/* Daemons agree on how limits are divided: with a store, with partitioned members, and while the store is unavailable. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { LIMIT, warmGroup } from './small-group.js';

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

const quiet = (seconds: number) => ({ seconds, unitsPerSecond: 0 });

describe('daemons that share limits', () => {
  it('all get an equal share soon after they start together', async () => {
    const group = await warmGroup(30, 1);
    expect(group.shares()).toEqual(Array.from({ length: 30 }, () => 1 / 30));
  });

  it('give joining daemons a share only after all members know of them', async () => {
    const group = await warmGroup(4, 1);
    group.join(2, 0);
    await group.simulate(quiet(0.5));
    expect(group.shares()).toEqual([1 / 4, 1 / 4, 1 / 4, 1 / 4, 0, 0]);
    await group.simulate(quiet(5));
    expect(group.shares()).toEqual(Array.from({ length: 6 }, () => 1 / 6));
  });

  it('give no share to daemons that join one side of a partition until it heals', async () => {
    const group = await warmGroup(4, 1);
    group.partition([0], 1_600, 2_900);
    await group.simulate(quiet(4));
    group.join(8, 3);
    await group.simulate(quiet(20));
    expect(group.shares().slice(4)).toEqual(Array.from({ length: 8 }, () => 0));
    group.heal();
    await group.simulate(quiet(10));
    expect(group.shares()).toEqual(Array.from({ length: 12 }, () => 1 / 12));
  });

  it('use the reply of a member when they restart while the store is unavailable', async () => {
    const group = await warmGroup(4, 1);
    group.store.isUnavailable = true;
    group.restart(2);
    await group.simulate(quiet(2));
    expect(group.shares()).toEqual([1 / 4, 1 / 4, 1 / 4, 1 / 4]);
    group.partition([2], 1_600, 1_600);
    await group.simulate(quiet(2));
    expect(group.shares()[2]).toBe(0);
  });

  it('serve a tenant near its limit after all have restarted', async () => {
    const group = await warmGroup(4, 1);
    group.restartAll();
    await group.simulate({ seconds: 10, unitsPerSecond: 2 * LIMIT.perSecond });
    expect(group.outcome().admitted).toBeGreaterThan(0.7 * 10 * LIMIT.perSecond);
  });
});
