/*
 * Failure: the store was restored from a backup that named a former owner. That daemon claimed the service with the epoch of the
 * current owner, and backends that fence by epoch accepted the orders of both for 30 s.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { TAKEOVER_DELAY_MS, ORDER_LEASE_MS } from '../../src/core/ownership-lease.js';
import { positionOf } from '../../src/core/store-position.js';
import { OwnershipScene, SERVICE } from './ownership-scene.js';

const SETTLED_MS = 10_000;
const SIMULATED_MS = 30_000;
const STEP_MS = 50;
/** Maximum time between sending an order and its arrival, in milliseconds. */
const ORDER_IN_FLIGHT_MS = TAKEOVER_DELAY_MS - ORDER_LEASE_MS;
/** Longer than the interval between two proofs of an owner's lease, in milliseconds. */
const PROOF_PERIOD_MS = 1_000;

describe('owners of a service when the store is restored from a backup', () => {
  beforeEach(() =>
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
  );
  afterEach(() => vi.useRealTimers());

  function ownersOf(scene: OwnershipScene): { address: string; epoch: number }[] {
    return [...scene.ownerships].flatMap(([address, { epoch }]) => {
      return epoch === undefined ? [] : [{ address, epoch }];
    });
  }

  it.each([true, false])(
    'never have the same epoch, and one of them may send orders afterwards (epochs checked: %s)',
    async (backendsCheckEpochs) => {
      const scene = new OwnershipScene(backendsCheckEpochs);
      scene.era = 1;
      const names = ['a', 'b', 'c', 'd'];
      names.forEach((address, index) => scene.join(address, 1_000 + index));
      await scene.run(SETTLED_MS);
      const copy = scene.record;
      const [former] = ownersOf(scene);
      const others = names.filter((address) => address !== former?.address);
      for (const other of others) scene.cut(former?.address ?? '', other);
      await scene.run(SETTLED_MS);
      const current = ownersOf(scene).filter(({ address }) => address !== former?.address);
      expect(current).toHaveLength(1);
      scene.restore(copy);
      for (const other of others) scene.heal(former?.address ?? '', other);
      const [owner] = current;
      const cutOff = others.filter((address) => address !== owner?.address)[0] ?? '';
      scene.cut(owner?.address ?? '', former?.address ?? '');
      scene.cut(owner?.address ?? '', cutOff);
      for (let at = 0; at < SIMULATED_MS; at += STEP_MS) {
        await scene.run(STEP_MS);
        const epochs = ownersOf(scene).map(({ epoch }) => epoch);
        expect(new Set(epochs).size).toBe(epochs.length);
      }
      const mayOrder = [...scene.ownerships.values()].filter((each) => each.mayOrder());
      expect(mayOrder.length).toBeGreaterThan(0);
    },
  );

  it('do not own a service by a claim in flight during the restore, which replaced another state of the same revision', async () => {
    const scene = new OwnershipScene(true);
    scene.era = 1;
    scene.writeDelayMs = 1_000;
    scene.join('a', 1_000);
    for (let at = 0; at < SETTLED_MS && scene.writesInFlight === 0; at += STEP_MS) {
      await scene.run(STEP_MS);
    }
    expect(scene.writesInFlight).toBe(1);
    scene.restore(undefined);
    scene.writeDelayMs = 0;
    await scene.run(2_000, () => {
      expect(ownersOf(scene).filter(({ epoch }) => epoch <= positionOf(2, 0))).toEqual([]);
    });
    await scene.run(SETTLED_MS);
    expect(ownersOf(scene)).toHaveLength(1);
  });

  it('never have the same epoch, even if a claim of an earlier era replaces a later one', async () => {
    const scene = new OwnershipScene(true);
    scene.era = 1;
    const names = rankCandidates(SERVICE, ['a', 'b', 'c', 'd']);
    const [former, late, current, bystander] = names as [string, string, string, string];
    names.forEach((address, index) => scene.join(address, 1_000 + index));
    await scene.run(SETTLED_MS);
    expect(ownersOf(scene).map(({ address }) => address)).toEqual([former]);
    scene.writeDelayMs = 4_000;
    for (const other of [late, current, bystander]) scene.cut(former, other);
    for (let at = 0; at < SETTLED_MS && scene.writesInFlight === 0; at += STEP_MS) {
      await scene.run(STEP_MS);
    }
    expect(scene.writesInFlight).toBe(1);
    scene.writeDelayMs = 0;
    scene.cut(late, current);
    scene.restore(undefined);
    /** By epoch, the daemons that have owned the service under it since the restore. */
    const ownersByEpoch = new Map<number, Set<string>>();
    await scene.run(SETTLED_MS, () => {
      for (const { address, epoch } of ownersOf(scene))
        ownersByEpoch.set(epoch, (ownersByEpoch.get(epoch) ?? new Set()).add(address));
    });
    expect([...ownersByEpoch.values()].every(({ size }) => size === 1)).toBe(true);
    expect(Math.min(...ownersByEpoch.keys())).toBeGreaterThan(positionOf(2, 0));
    const all = new Set([...ownersByEpoch.values()].flatMap((owners) => [...owners]));
    expect(all).toEqual(new Set([current, late]));
    expect(ownersOf(scene)).toHaveLength(1);
  });

  it.each([0, 1])(
    'send no orders before those of the former owner have arrived if the store has lost the record in era %i',
    async (era) => {
      const tooSoon: string[] = [];
      for (let phaseMs = 0; phaseMs < PROOF_PERIOD_MS; phaseMs += STEP_MS) {
        const scene = new OwnershipScene(false);
        scene.era = era;
        const names = rankCandidates(SERVICE, ['a', 'b', 'c', 'd']);
        const [former, second, third] = names as [string, string, string];
        names.forEach((address, index) => scene.join(address, 1_000 + index));
        await scene.run(SETTLED_MS + phaseMs);
        scene.cut(former, second);
        scene.cut(former, third);
        scene.rejectedByStore.add(former);
        scene.restore(undefined);
        const orderedAt = new Map<string, number[]>();
        await scene.run(SETTLED_MS, () => {
          for (const [address, ownership] of scene.ownerships) {
            const times = orderedAt.get(address) ?? [];
            if (ownership.mayOrder()) orderedAt.set(address, [...times, performance.now()]);
          }
        });
        const last = Math.max(...(orderedAt.get(former) ?? []));
        const first = Math.min(...(orderedAt.get(second) ?? []));
        expect(Number.isFinite(first - last)).toBe(true);
        if (first - last < ORDER_IN_FLIGHT_MS) tooSoon.push(`${phaseMs} ms: ${first - last} ms`);
      }
      expect(tooSoon).toEqual([]);
    },
  );

  it('send no order while one of the last owner may be in flight, although they were started after the restore', async () => {
    const scene = new OwnershipScene(false);
    scene.era = 1;
    const names = rankCandidates(SERVICE, ['a', 'b', 'c', 'd']);
    const [started, last, ...others] = names as [string, string, ...string[]];
    for (const address of [last, ...others]) scene.join(address, 1_000);
    await scene.run(SETTLED_MS);
    const lastOwner = scene.ownerships.get(last);
    expect(lastOwner?.mayOrder()).toBe(true);
    scene.rejectedByStore.add(last);
    scene.restore(undefined);
    scene.cut(started, last);
    const fresh = scene.join(started, 2_000);
    let lastOrderAt = -Infinity;
    let firstOrderAt = Infinity;
    await scene.run(SETTLED_MS, () => {
      const now = performance.now();
      if (lastOwner?.mayOrder() === true) lastOrderAt = now;
      if (fresh.mayOrder()) firstOrderAt = Math.min(firstOrderAt, now);
    });
    expect(firstOrderAt).toBeLessThan(Infinity);
    expect(firstOrderAt - lastOrderAt).toBeGreaterThanOrEqual(ORDER_IN_FLIGHT_MS);
  });
});
