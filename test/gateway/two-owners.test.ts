/**
 * Symptom: a backend that does not check epochs got an order with a lower epoch than one that it had
 * seen before: two daemons gave orders for one service.
 *
 * Sequence: an owner and the daemon that ranks after it stop hearing each other, while both still see
 * half of the daemons; the other claims the service, with a higher epoch, and gives orders; the
 * former owner is not told, for its successor does not see it, and goes on ordering.
 *
 * Cause: an owner never had to confirm that it still is one. It relied on backends that refuse a
 * lower epoch, and some do not check epochs.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { firstCandidate } from '../../src/common/rendezvous.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const ADDRESSES = ['one', 'two', 'three', 'four', 'five'];

describe('two daemons that do not hear each other', () => {
  let scene: OwnershipScene;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
    scene = new OwnershipScene();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Epochs under which orders may be given, in the order of time. */
  async function epochsOfOrders(milliseconds: number): Promise<number[]> {
    const epochs: number[] = [];
    await scene.runHeard(milliseconds, () => {
      for (const ownership of scene.ownerships.values()) {
        if (ownership.mayOrder()) epochs.push(ownership.epoch ?? 0);
      }
    });
    return epochs;
  }

  it('never order by turns', async () => {
    const owner = firstCandidate(SERVICE, ADDRESSES) ?? '';
    const others = ADDRESSES.filter((address) => address !== owner);
    const successor = firstCandidate(SERVICE, others) ?? '';
    for (const address of ADDRESSES) scene.join(address, 1_000);
    await scene.runHeard(3_000);
    expect(scene.ownerships.get(owner)?.epoch).toBe(1);
    scene.cut(owner, successor);
    const epochs = await epochsOfOrders(10_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });
});
