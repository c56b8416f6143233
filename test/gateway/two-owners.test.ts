/**
 * Failure: two daemons sent orders for one service, so a backend that does not check epochs received an
 * order with a lower epoch than an earlier one.
 *
 * An owner and the next daemon in rank lose contact while both still reach half of the daemons. The
 * other daemon claims the service with a higher epoch and sends orders. The former owner receives no
 * announcement from it and continues to send orders, because an owner did not have to prove that it
 * still was the owner and relied on backends that refuse lower epochs.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { firstCandidate } from '../../src/common/rendezvous.js';
import { ORDER_LEASE_MS } from '../../src/core/ownership-lease.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const ADDRESSES = ['one', 'two', 'three', 'four', 'five'];

describe('two daemons that cannot reach each other', () => {
  let scene: OwnershipScene;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'setInterval', 'Date'] });
    scene = new OwnershipScene(false);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Lets the first daemon in rank own the service; the next in rank is its successor. */
  async function begin(): Promise<{ owner: string; successor: string }> {
    const owner = firstCandidate(SERVICE, ADDRESSES) ?? '';
    const others = ADDRESSES.filter((address) => address !== owner);
    const successor = firstCandidate(SERVICE, others) ?? '';
    for (const address of ADDRESSES) scene.join(address, 1_000);
    await scene.run(4_000);
    expect(scene.ownerships.get(owner)?.epoch).toBe(1);
    return { owner, successor };
  }

  /** Stops the orders of a daemon, and then marks it as leaving. */
  function leave(address: string): void {
    const view = scene.members.get(address);
    if (view === undefined) throw new Error(`${address} is no member`);
    scene.ownerships.get(address)?.stop('the daemon stops');
    scene.members.set(address, { ...view, state: 'leaving' });
  }

  async function runUntilOwned(address: string): Promise<void> {
    while (scene.ownerships.get(address)?.epoch === undefined) await scene.run(50);
  }

  /** Returns the epochs under which orders may be sent, in chronological order. */
  async function epochsOfOrders(milliseconds: number): Promise<number[]> {
    const epochs: number[] = [];
    await scene.run(milliseconds, () => {
      for (const ownership of scene.ownerships.values()) {
        if (ownership.mayOrder()) epochs.push(ownership.epoch ?? 0);
      }
    });
    return epochs;
  }

  it('never send orders alternately', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    const epochs = await epochsOfOrders(10_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('never send orders alternately when the store also rejects the owner', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    scene.rejectedByStore.add(owner);
    const epochs = await epochsOfOrders(10_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('leave the service to its owner, which sends orders again after a store outage for all daemons', async () => {
    const { owner } = await begin();
    for (const address of ADDRESSES) scene.rejectedByStore.add(address);
    await scene.run(800);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(true);
    await scene.run(4_000);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(false);
    scene.rejectedByStore.clear();
    await scene.run(1_000);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(true);
    expect(scene.ownerships.get(owner)?.epoch).toBe(1);
  });

  it('hand the service over without waiting for a lease to expire when the owner announces that it is leaving', async () => {
    const { owner, successor } = await begin();
    leave(owner);
    await scene.run(1_500);
    expect(scene.ownerships.get(successor)?.mayOrder()).toBe(true);
  });

  it('also wait for the lease of the first owner when the second one leaves during its own wait', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    await runUntilOwned(successor);
    leave(successor);
    const epochs = await epochsOfOrders(12_000);
    expect(Math.max(...epochs)).toBe(3);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('wait for the lease of the first owner when its successor gives up during the wait and claims again', async () => {
    const { owner, successor } = await begin();
    scene.cut(owner, successor);
    scene.rejectedByStore.add(owner);
    await runUntilOwned(successor);
    scene.ownerships.get(successor)?.giveUp('sees too few daemons');
    const epochs = await epochsOfOrders(8_000);
    expect(Math.max(...epochs)).toBe(3);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('wait for the lease of an owner that appears to have restarted because it refuted many suspicions', async () => {
    const { owner, successor } = await begin();
    const view = scene.members.get(owner);
    if (view === undefined) throw new Error('the owner is no member');
    scene.members.set(owner, { ...view, incarnation: view.incarnation + 150 });
    scene.cut(owner, successor);
    const epochs = await epochsOfOrders(8_000);
    expect(Math.max(...epochs)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('ignore the response to a claim that arrives after the stop', async () => {
    const owner = scene.join('one', 1_000);
    scene.answerDelayMs = 200;
    await scene.run(900);
    owner.stop('the daemon stops');
    await scene.run(2_000);
    expect([owner.epoch, owner.mayOrder()]).toEqual([undefined, false]);
  });

  it('pass the service to another daemon when the platform responds to the others but not to the owner', async () => {
    const { owner } = await begin();
    scene.rejectedByStore.add(owner);
    const epochs = await epochsOfOrders(12_000);
    expect(epochs.at(-1)).toBe(2);
    expect(epochs).toEqual([...epochs].sort((a, b) => a - b));
  });

  it('send no orders after a pause of the process, regardless of earlier proofs', async () => {
    const { owner } = await begin();
    await vi.advanceTimersByTimeAsync(ORDER_LEASE_MS + 100);
    expect(scene.ownerships.get(owner)?.mayOrder()).toBe(false);
  });
});
