import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { leaseNow } from '../../src/common/lease-clock.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import {
  PREVIOUS_ENTRY_VALID_MS,
  RENEWAL_EXPIRY_MS,
} from '../../src/core/admission/limit-shares.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import { MemberList } from '../../src/gateway/member-list.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import type { RecordStore, StoredRecord } from '../../src/gateway/ports.js';

const ADDRESS = '10.0.0.1:7380';

/** A store that records its calls. */
class CountingStore implements RecordStore {
  storeEra = 1;

  era(): number {
    return this.storeEra;
  }

  readonly calls: string[] = [];
  readonly records = new Map<string, StoredRecord>();
  isDown = false;
  /** Whether writes are carried out, but not answered. */
  losesResponses = false;

  read(kind: string, name: string): ReturnType<RecordStore['read']> {
    this.calls.push(`read ${kind} ${name}`);
    return Promise.resolve(this.isDown ? unavailable() : Result.ok(this.records.get(name)));
  }

  list(kind: string, freshness: string): ReturnType<RecordStore['list']> {
    this.calls.push(`list ${kind} ${freshness}`);
    return Promise.resolve(this.isDown ? unavailable() : Result.ok([...this.records.values()]));
  }

  write(
    kind: string,
    name: string,
    value: unknown,
    revision: number | undefined,
  ): ReturnType<RecordStore['write']> {
    this.calls.push(`write ${kind} ${name} ${revision ?? 'new'}`);
    if (this.isDown) return Promise.resolve(unavailable());
    const known = this.records.get(name);
    if (known?.revision !== revision) return Promise.resolve(Result.err({ type: 'conflict' }));
    const record = { name, value, revision: (revision ?? 0) + 1 };
    this.records.set(name, record);
    const lost = Result.err({ type: 'unknown' as const, reason: 'no answer' });
    return Promise.resolve(this.losesResponses ? lost : Result.ok(record));
  }

  remove(kind: string, name: string, revision: number): Promise<void> {
    this.calls.push(`remove ${kind} ${name} ${revision}`);
    if (this.records.get(name)?.revision === revision) this.records.delete(name);
    return Promise.resolve();
  }
}

function unavailable(): Result<never, { type: 'unavailable'; reason: string }> {
  return Result.err({ type: 'unavailable', reason: 'status 503' });
}

const lists: MemberList[] = [];

function startList(
  store: RecordStore,
  onRenewed: (askedAt: number) => void = () => {},
  reachable: readonly string[] = [],
): { list: MemberList; seeds: string[] } {
  const seeds: string[] = [];
  const peers = {
    address: ADDRESS,
    addSeeds: (addresses: readonly string[]) => seeds.push(...addresses),
    setListed: (addresses: readonly string[]) => seeds.push(...addresses),
    live: () => [{ address: ADDRESS }],
    reachableOthers: () => reachable,
  } as unknown as PeerGroup;
  const settings = {
    name: 'd1',
    zone: 'a',
    seeds: [],
    peerPort: 7380,
  } as unknown as GatewaySettings;
  const list = new MemberList(settings, store, peers, silentLogger, onRenewed);
  list.start();
  lists.push(list);
  return { list, seeds };
}

describe('MemberList', () => {
  afterEach(async () => {
    for (const list of lists.splice(0)) await list.leave();
  });

  it('writes its entry, reads the current list once, and reads a late list afterwards', async () => {
    const store = new CountingStore();
    store.records.set('d2', {
      name: 'd2',
      value: { address: '10.0.0.2:7380', zone: 'b' },
      revision: 4,
    });
    const { list, seeds } = startList(store);
    await sleep(1_300);
    expect(store.calls).toEqual(['write members d1 new', 'list members current']);
    expect(list.listed.map(({ address }) => address)).toEqual(['10.0.0.2:7380', ADDRESS]);
    expect(seeds).toEqual(['10.0.0.2:7380']);
    await sleep(1_400);
    expect(store.calls.slice(2)).toEqual(['list members late']);
  });

  it('recognizes its own entry after a restart without a further call', async () => {
    const store = new CountingStore();
    store.records.set('d1', { name: 'd1', value: { address: ADDRESS, zone: 'a' }, revision: 4 });
    startList(store);
    await sleep(1_300);
    expect(store.calls).toEqual(['write members d1 new', 'list members current']);
  });

  it('replaces an entry with an earlier address', async () => {
    const store = new CountingStore();
    store.records.set('d1', {
      name: 'd1',
      value: { address: '10.9.9.9:7380', zone: 'a' },
      revision: 4,
    });
    startList(store);
    await sleep(700);
    expect(store.calls.at(-1)).toBe('write members d1 4');
    expect(store.records.get('d1')?.value).toEqual({ address: ADDRESS, zone: 'a' });
  });

  it('after a restart holds its earlier entry for a short validity and renews it with the next read', async () => {
    const store = new CountingStore();
    store.records.set('d1', { name: 'd1', value: { address: ADDRESS, zone: 'a' }, revision: 4 });
    const renewals: number[] = [];
    startList(store, (askedAt) => renewals.push(askedAt));
    await sleep(700);
    const [kept = 0] = renewals;
    expect(renewals).toHaveLength(1);
    expect(leaseNow() - kept).toBeGreaterThan(RENEWAL_EXPIRY_MS - PREVIOUS_ENTRY_VALID_MS);
    await sleep(2_000);
    expect(store.calls).toContain('write members d1 4');
    expect(leaseNow() - (renewals.at(-1) ?? 0)).toBeLessThan(2_500);
  });

  it('backs off while the store is down', async () => {
    const store = new CountingStore();
    store.isDown = true;
    startList(store);
    await sleep(3_200);
    expect(store.calls.length).toBeLessThanOrEqual(3);
    expect(store.calls.length).toBeGreaterThanOrEqual(2);
  });

  it('writes its entry again after the store was restored from a copy without it', async () => {
    const store = new CountingStore();
    startList(store);
    await sleep(100);
    store.records.clear();
    store.storeEra = 2;
    await sleep(3_000);
    expect([...store.records.keys()]).toHaveLength(1);
  });

  it('does not remove the entry of the next process at its name when it stops', async () => {
    const store = new CountingStore();
    const { list } = startList(store);
    await sleep(100);
    const value = { address: '10.0.0.9:7380', zone: 'a' };
    store.records.set('d1', { name: 'd1', value, revision: 9 });
    await list.leave();
    expect(store.calls.at(-1)).toBe('remove members d1 1');
    expect(store.records.get('d1')?.value).toEqual(value);
  });

  it('removes its entry when it stops, also if the response to its write was lost', async () => {
    const store = new CountingStore();
    const { list } = startList(store);
    store.losesResponses = true;
    await sleep(100);
    await list.leave();
    expect(store.calls.at(-1)).toBe('remove members d1 1');
    expect([...store.records.keys()]).toEqual([]);
  });

  describe('after a long time', () => {
    const ENDED = { address: '10.0.0.2:7380', zone: 'b' };
    const EXPIRED_MS = RENEWAL_EXPIRY_MS + 120_000;

    beforeEach(() => vi.useFakeTimers({ toFake: ['performance'] }));
    afterEach(() => vi.useRealTimers());

    /** Lets time pass by the clock of the list, and then waits until it has read. */
    async function pass(milliseconds: number): Promise<void> {
      vi.advanceTimersByTime(milliseconds);
      await sleep(1_200);
    }

    it('lists a daemon no longer that was lost without a planned stop', async () => {
      const store = new CountingStore();
      store.records.set('d2', { name: 'd2', value: ENDED, revision: 4 });
      startList(store);
      await pass(1_000);
      await pass(RENEWAL_EXPIRY_MS);
      expect([...store.records.keys()].sort()).toEqual(['d1', 'd2']);
      await pass(EXPIRED_MS - RENEWAL_EXPIRY_MS);
      expect([...store.records.keys()]).toEqual(['d1']);
      expect(store.calls).toContain('remove members d2 4');
    });

    it('lists a daemon on that renews its entry or is reached', async () => {
      const store = new CountingStore();
      store.records.set('d2', { name: 'd2', value: ENDED, revision: 4 });
      const reached = { address: '10.0.0.3:7380', zone: 'b' };
      store.records.set('d3', { name: 'd3', value: reached, revision: 4 });
      startList(store, () => {}, [reached.address]);
      for (let passedMs = 0; passedMs < EXPIRED_MS; passedMs += 600_000) {
        await pass(600_000);
        store.records.set('d2', { name: 'd2', value: ENDED, revision: 5 + passedMs });
      }
      expect([...store.records.keys()].sort()).toEqual(['d1', 'd2', 'd3']);
    });

    it('writes its entry again if another daemon has removed it', async () => {
      const store = new CountingStore();
      startList(store);
      await pass(1_000);
      store.records.delete('d1');
      await pass(60_000);
      await pass(5_000);
      expect([...store.records.keys()]).toEqual(['d1']);
    });
  });
});
