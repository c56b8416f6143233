/*
 * Failure: a service had no owner for good, so no model was loaded any more. Machines were lost and replaced; their entries stayed in the
 * list of daemons, the live ones were less than half of the list, and only a daemon that reached half of it could own a service.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

/** Bound of the operators from a loss of machines until requests are served again. */
const RECOVERY_MS = 12_000;
const SETTLED_MS = 4_000;
const LONG_MS = 120_000;
const STEP_MS = 50;

const NAMES = rankCandidates(SERVICE, ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']);

describe.each([true, false])('a service (backends check epochs: %s)', (backendsCheckEpochs) => {
  let scene: OwnershipScene;
  /** Epochs under which a daemon has owned the service, in order. */
  let epochs: number[];

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date'] });
    scene = new OwnershipScene(backendsCheckEpochs);
    epochs = [];
  });
  afterEach(() => vi.useRealTimers());

  function owners(): string[] {
    return [...scene.ownerships.entries()].flatMap(([address, { epoch }]) =>
      epoch === undefined ? [] : [address],
    );
  }

  async function run(milliseconds: number): Promise<void> {
    await scene.run(milliseconds, () => {
      for (const { epoch } of scene.ownerships.values())
        if (epoch !== undefined && !epochs.includes(epoch)) epochs.push(epoch);
    });
  }

  async function start(count: number): Promise<string[]> {
    const names = NAMES.slice(0, count);
    for (const address of names) scene.join(address, 1_000);
    await run(SETTLED_MS);
    expect(owners()).toHaveLength(1);
    return names;
  }

  /** Runs until somebody may send orders, and returns how long that took. */
  async function timeUntilOrders(): Promise<number> {
    let passedMs = 0;
    const mayOrder = (): boolean => [...scene.ownerships.values()].some((each) => each.mayOrder());
    for (; passedMs < LONG_MS && !mayOrder(); passedMs += STEP_MS) await run(STEP_MS);
    return passedMs;
  }

  /** The machine is gone for good; its entry stays in the list. */
  function lose(address: string): void {
    scene.ownerships.delete(address);
    scene.members.set(address, { ...scene.members.get(address)!, state: 'dead' });
  }

  /** Cuts some daemons off from all others. */
  function cutOff(group: readonly string[], from: readonly string[]): void {
    for (const one of group) for (const other of from) scene.cut(one, other);
  }

  it.each([2, 3, 5, 8])('is owned by the last of %i daemons that are left', async (count) => {
    const names = await start(count);
    for (const address of names.slice(0, -1)) lose(address);
    expect(await timeUntilOrders()).toBeLessThan(RECOVERY_MS);
    expect(owners()).toEqual(names.slice(-1));
    await run(STEP_MS);
    const before = epochs.length;
    await run(LONG_MS);
    expect(epochs).toHaveLength(before);
  });

  it('is owned after more machines were replaced one by one than there were', async () => {
    const names = await start(3);
    for (let count = 0; count < 9; count++) {
      lose([...scene.ownerships.keys()][0]!);
      await run(1_000);
      scene.join(`successor-${count}`, 2_000 + count);
      await run(5_000);
    }
    expect(names.some((address) => scene.ownerships.has(address))).toBe(false);
    expect(await timeUntilOrders()).toBeLessThan(RECOVERY_MS);
    lose(owners()[0]!);
    expect(await timeUntilOrders()).toBeLessThan(RECOVERY_MS);
  });

  it('is not taken from an owner by daemons that do not reach it and are less than half', async () => {
    const names = await start(7);
    const [owner = ''] = owners();
    const group = names.filter((address) => address !== owner).slice(0, 3);
    const others = names.filter((address) => !group.includes(address));
    cutOff(group, others);
    await run(LONG_MS);
    expect(owners()).toEqual([owner]);
    expect(epochs).toEqual([1]);
  });

  it('is not taken by a daemon that starts and reaches nobody', async () => {
    const names = await start(5);
    const [owner] = owners();
    scene.join('newcomer', 9_000);
    cutOff(['newcomer'], names);
    await run(LONG_MS);
    expect(owners()).toEqual([owner]);
    expect(epochs).toEqual([1]);
  });

  it('is not taken from one another by groups of which none is half', async () => {
    const names = await start(9);
    const groups = [names.slice(0, 3), names.slice(3, 6), names.slice(6)];
    for (const group of groups)
      cutOff(
        group,
        names.filter((address) => !group.includes(address)),
      );
    await run(LONG_MS);
    expect(owners()).toHaveLength(1);
    expect(epochs.length).toBeLessThanOrEqual(2);
  });

  it('is handed over once to those that are half, and stays theirs', async () => {
    const names = await start(7);
    const [owner = ''] = owners();
    cutOff(
      [owner],
      names.filter((address) => address !== owner),
    );
    await run(LONG_MS);
    expect(owners()).toHaveLength(1);
    expect(owners()).not.toEqual([owner]);
    expect(epochs).toHaveLength(2);
  });

  it('is not taken by less than half because the store was away', async () => {
    const names = await start(7);
    const [owner = ''] = owners();
    const group = names.filter((address) => address !== owner).slice(0, 3);
    cutOff(
      group,
      names.filter((address) => !group.includes(address)),
    );
    for (let outage = 0; outage < 5; outage++) {
      for (const address of names) scene.rejectedByStore.add(address);
      await run(7_000);
      scene.rejectedByStore.clear();
      await run(3_000);
    }
    expect(owners()).toEqual([owner]);
    expect(epochs).toEqual([1]);
  });

  it('has one owner once a daemon is back that was taken for dead', async () => {
    const names = await start(4);
    const [owner = ''] = owners();
    const others = names.filter((address) => address !== owner);
    for (const lost of others.slice(1)) lose(lost);
    cutOff([owner], others);
    await run(30_000);
    expect(owners()).toHaveLength(1);
    for (const other of others) scene.heal(owner, other);
    await run(30_000);
    expect(owners()).toHaveLength(1);
    const before = epochs.length;
    await run(LONG_MS);
    expect(epochs).toHaveLength(before);
  });
});
