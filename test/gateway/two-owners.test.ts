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
import { ORDER_LEASE_MS } from '../../src/core/ownership-lease.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const ADDRESSES = ['one', 'two', 'three', 'four', 'five'];

describe('two daemons that do not hear each other', () => {
  let scene: OwnershipScene;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
    scene = new OwnershipScene(false);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** The first in rank has owned the service for a while; the next one would be its successor. */
  async function begin(): Promise<{ owner: string; successor: string }> {
    const owner = firstCandidate(SERVICE, ADDRESSES) ?? '';
    const others = ADDRESSES.filter((address) => address !== owner);
    const successor = firstCandidate(SERVICE, others) ?? '';
    for (const address of ADDRESSES) scene.join(address, 1_000);
    await scene.runHeard(4_000);
    expect(scene.ownerships.get(owner)?.epoch).toBe(1);
    return { owner, successor };
  }

  /** The daemon stops its orders, and then says that it leaves. */
  function leave(address: string): void {
    const view = scene.members.get(address);
    if (view === undefined) throw new Error(`${address} is no member`);
    scene.ownerships.get(address)?.stop('the daemon stops');
    scene.members.set(address, { ...view, state: 'leaving' });
  }

  async function runUntilOwned(address: string): Promise<void> {
    while (scene.ownerships.get(address)?.epoch === undefined) await scene.runHeard(50);
  }

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
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    const epochs = await epochsOfOrders(10_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('never order by turns when the store turns the owner away as well', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    scene.turnedAway.add(owner);
    const epochs = await epochsOfOrders(10_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('leave the service to its owner, which orders again, when the store was away for all', async () => {
    const { owner } = await begin();
    for (const address of ADDRESSES) scene.turnedAway.add(address);
    await scene.runHeard(800);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(true);
    await scene.runHeard(4_000);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(false);
    scene.turnedAway.clear();
    await scene.runHeard(1_000);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(true);
    expect(scene.ownerships.get(owner)?.epoch).toBe(1);
  });

  it('hand the service over without a wait for a lease when the owner says that it leaves', async () => {
    const { owner, successor } = await begin();
    leave(owner);
    await scene.runHeard(1_500);
    expect(scene.ownerships.get(successor)?.mayOrder()).toBe(true);
  });

  it('wait for the owner before the former one, too, when that one leaves while it waits itself', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    await runUntilOwned(successor);
    leave(successor);
    const epochs = await epochsOfOrders(12_000);
    expect(Math.max(...epochs)).toBe(3);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('wait for the owner before it when the successor gives up while it waits, and claims again', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    scene.turnedAway.add(owner);
    await runUntilOwned(successor);
    scene.ownerships.get(successor)?.giveUp('sees too few daemons');
    const epochs = await epochsOfOrders(8_000);
    expect(Math.max(...epochs)).toBe(3);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('wait for an owner that has refuted so many suspicions that it seems to be a new process', async () => {
    const { owner, successor } = await begin();
    const view = scene.members.get(owner);
    if (view === undefined) throw new Error('the owner is no member');
    scene.members.set(owner, { ...view, incarnation: view.incarnation + 150 });
    scene.cut(owner, successor);
    const epochs = await epochsOfOrders(8_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('take up no claim that is answered after they were asked to stop', async () => {
    const owner = scene.join('one', 1_000);
    scene.answerDelayMs = 200;
    await scene.runHeard(900);
    owner.stop('the daemon stops');
    await scene.runHeard(2_000);
    expect([owner.epoch, owner.mayOrder()]).toEqual([undefined, false]);
  });

  it('leave the service to others when the platform answers these, and not the owner', async () => {
    const { owner } = await begin();
    scene.turnedAway.add(owner);
    const epochs = await epochsOfOrders(12_000);
    expect(epochs.at(-1)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('order nothing after a standstill, whatever they had proved before', async () => {
    const { owner } = await begin();
    await vi.advanceTimersByTimeAsync(ORDER_LEASE_MS + 100);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(false);
  });
});
