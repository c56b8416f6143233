import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { firstCandidate } from '../../src/common/rendezvous.js';
import type { Ownership } from '../../src/gateway/ownership.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

/** Advances the clock while each owner announces itself to the other daemons. */
async function runWithAnnouncements(
  ownerships: readonly Ownership[],
  milliseconds: number,
): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 500) {
    await run(ownerships, 500);
    for (const owner of ownerships) {
      const { epoch, ownerAddress } = owner;
      if (epoch === undefined || ownerAddress === undefined) continue;
      for (const other of ownerships) other.applyAnnouncement(ownerAddress, epoch);
    }
  }
}

async function run(ownerships: readonly Ownership[], milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    await vi.advanceTimersByTimeAsync(50);
    for (const ownership of ownerships) ownership.tick();
  }
  await vi.advanceTimersByTimeAsync(0);
}

describe('Ownership', () => {
  let scene: OwnershipScene;
  const first = firstCandidate(SERVICE, ['one', 'two']) ?? '';
  const second = first === 'one' ? 'two' : 'one';

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
    scene = new OwnershipScene();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it('is claimed by the daemon that ranks first, with the first epoch', async () => {
    const a = scene.join(first, 1_000);
    const b = scene.join(second, 1_000);
    await run([a, b], 1_500);
    expect([a.epoch, b.epoch]).toEqual([1, undefined]);
  });

  it('stays with a live owner when a daemon with a higher rank joins', async () => {
    const b = scene.join(second, 1_000);
    await run([b], 1_500);
    const a = scene.join(first, 9_000);
    await runWithAnnouncements([a, b], 9_000);
    expect([a.epoch, b.epoch]).toEqual([undefined, 1]);
  });

  it('passes to another daemon when its owner is alive but has given it up', async () => {
    const b = scene.join(second, 1_000);
    await run([b], 1_500);
    const a = scene.join(first, 1_500);
    await runWithAnnouncements([a, b], 2_000);
    b.giveUp('the process stood still');
    await runWithAnnouncements([a, b], 4_000);
    expect([a.epoch, b.epoch]).toEqual([2, undefined]);
  });

  it('goes to a daemon on one of the most powerful machines', async () => {
    const a = scene.join(first, 1_000, 0.3);
    const b = scene.join(second, 1_000, 1.35);
    await runWithAnnouncements([a, b], 2_000);
    expect([a.epoch, b.epoch]).toEqual([undefined, 1]);
  });

  it('stays with an owner that has refuted a suspicion', async () => {
    const b = scene.join(second, 1_000);
    await run([b], 1_500);
    const view = scene.members.get(second);
    if (view !== undefined) scene.members.set(second, { ...view, incarnation: 1_003 });
    const a = scene.join(first, 9_000);
    await runWithAnnouncements([a, b], 9_000);
    expect([a.epoch, b.epoch]).toEqual([undefined, 1]);
  });

  it('passes to another daemon when the process of its owner has restarted', async () => {
    const b = scene.join(second, 1_000);
    await run([b], 1_500);
    const a = scene.join(first, 1_500);
    scene.members.delete(second);
    scene.join(second, 8_000);
    await run([a], 3_000);
    expect(a.epoch).toBe(2);
  });

  it('allows no order after a pause of the process, even before the next tick', async () => {
    const a = scene.join(first, 1_000);
    await run([a], 1_500);
    expect(a.mayOrder()).toBe(true);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(a.mayOrder()).toBe(false);
    expect(a.epoch).toBeUndefined();
  });

  it('is given up by a daemon that was paused or reaches too few others', async () => {
    const a = scene.join(first, 1_000);
    await run([a], 1_500);
    expect(a.epoch).toBe(1);
    await vi.advanceTimersByTimeAsync(2_000);
    a.tick();
    expect(a.epoch).toBeUndefined();
    await run([a], 1_500);
    expect(a.epoch).toBe(2);
    for (const address of ['x', 'y', 'z']) {
      scene.members.set(address, { ...scene.members.get(first)!, address, state: 'dead' });
    }
    a.tick();
    expect(a.epoch).toBeUndefined();
  });
});
