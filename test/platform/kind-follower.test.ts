import { Result } from 'true-myth';
import { afterEach, describe, expect, it } from 'vitest';
import { KindFollower, type WatchSettings, type KindCopy } from '../../platform/kind-follower.js';
import type {
  ObjectChanges,
  ObjectStore,
  StoreObject,
  WatchOptions,
} from '../../platform/object-store.js';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';

const RELAXED: WatchSettings = {
  periodMs: 10,
  stale: true,
  waitMs: 20_000,
  longestPauseMs: 2_500,
};
const CLOSE: WatchSettings = {
  periodMs: 10,
  stale: false,
  waitMs: 4_000,
  longestPauseMs: 800,
};

/** A store whose lists return a revision set by the test. */
class ScriptedStore {
  readonly calls: string[] = [];
  revision = 10;
  isHistoryExpired = false;
  alwaysExpired = false;
  unreadNames: string[] = [];
  isEmpty = false;
  isAway = false;
  /** Whether an object has come and gone. */
  hasPassing = false;
  /** Sends a reply to the waiting watch. */
  replyToWaiting: (changes: ObjectChanges) => void = () => {};

  private immediateReply(): unknown {
    if (this.isAway) return Result.err({ type: 'unavailable', reason: 'away' });
    const passing = { ...objectAt(this.revision), name: 'passing' };
    const events = this.hasPassing
      ? [false, true].map((gone) => ({ gone, object: passing }))
      : [{ gone: false, object: objectAt(this.revision) }];
    return Result.ok({ events, at: this.revision });
  }

  list(_kind: string, stale: boolean): Promise<unknown> {
    this.calls.push(stale ? 'late list' : 'list');
    const at = this.revision;
    this.isHistoryExpired = false;
    const unread = this.unreadNames.map((name) => ({ name, reason: 'not JSON' }));
    const items = this.isEmpty || unread.length > 0 ? [] : [objectAt(at)];
    return Promise.resolve(Result.ok({ items, unread, at }));
  }

  watch(_kind: string, options: WatchOptions): Promise<unknown> {
    this.calls.push(`${options.stale ? 'late ' : ''}watch ${options.from}`);
    if (this.isHistoryExpired || this.alwaysExpired)
      return Promise.resolve(Result.err({ type: 'expired' }));
    if (options.waitMs < MIN_WAITING_MS) return Promise.resolve(this.immediateReply());
    return new Promise((resolve) => {
      this.replyToWaiting = (changes) => resolve(Result.ok(changes));
    });
  }
}

/** Wait from which a watch without changes gets no reply. */
const MIN_WAITING_MS = 10;

function objectAt(revision: number): StoreObject {
  return { name: 'x', revision, finalizers: [], spec: revision };
}

const followers: KindFollower[] = [];

function follow(
  store: ScriptedStore,
  pace: WatchSettings,
): { follower: KindFollower; seen: unknown[]; copies: KindCopy[]; names: string[][] } {
  const seen: unknown[] = [];
  const names: string[][] = [];
  const copies: KindCopy[] = [];
  const follower = new KindFollower({
    store: store as unknown as ObjectStore,
    logger: silentLogger,
    kind: 'servers',
    pace: pace,
    onObjects: (copy) => {
      copies.push(copy);
      names.push([...copy.objects.keys()]);
      seen.push(copy.objects.get('x')?.spec);
    },
  });
  followers.push(follower);
  void follower.run();
  return { follower, seen, copies, names };
}

/** Interrupts the waiting watch, so that the follower sends a new stale one. */
function restartWatch(follower: KindFollower): void {
  follower.setWatchSettings(CLOSE);
  follower.setWatchSettings(RELAXED);
}

describe('KindFollower', () => {
  afterEach(() => {
    for (const follower of followers.splice(0)) follower.stop();
  });

  it('replaces a stale watch with a current one immediately and without reading a list', async () => {
    const store = new ScriptedStore();
    const { follower } = follow(store, RELAXED);
    await sleep(50);
    follower.setWatchSettings(CLOSE);
    await sleep(50);
    expect(store.calls).toEqual(['list', 'late watch 10', 'watch 10']);
  });

  it('interrupts the pause between stale watches when it changes to current watches', async () => {
    const store = new ScriptedStore();
    const { follower } = follow(store, { ...RELAXED, periodMs: 5_000 });
    await sleep(50);
    expect(store.calls).toEqual(['list']);
    follower.setWatchSettings(CLOSE);
    await sleep(50);
    expect(store.calls).toEqual(['list', 'watch 10']);
  });

  it('reads a current list when the store no longer has the history', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, RELAXED);
    await sleep(30);
    store.isHistoryExpired = true;
    store.revision = 12;
    restartWatch(follower);
    await sleep(300);
    expect(store.calls.filter((call) => call === 'list')).toHaveLength(2);
    expect(seen).toEqual([10, 12]);
  });

  it('does not treat an expired history as an outage: objects missing from the new list are removed', async () => {
    const store = new ScriptedStore();
    const { follower, copies } = follow(store, CLOSE);
    await sleep(30);
    store.isHistoryExpired = true;
    restartWatch(follower);
    follower.setWatchSettings(CLOSE);
    await sleep(300);
    expect(copies.map(({ mayMissObjects }) => mayMissObjects)).toEqual([false, false]);
  });

  it('ignores a list that is older than its copy', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, RELAXED);
    await sleep(30);
    store.revision = 8;
    follower.refreshList();
    await sleep(30);
    expect(seen).toEqual([10]);
  });

  it('keeps the held copy of an object that is unreadable in a list', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, RELAXED);
    await sleep(30);
    store.revision = 12;
    store.unreadNames = ['x'];
    follower.refreshList();
    await sleep(30);
    store.unreadNames = [];
    store.isEmpty = true;
    store.revision = 13;
    follower.refreshList();
    await sleep(30);
    expect(seen).toEqual([10, 10, undefined]);
  });

  it('backs off exponentially while the history stays expired', async () => {
    const store = new ScriptedStore();
    store.alwaysExpired = true;
    follow(store, RELAXED);
    await sleep(1_500);
    expect(store.calls.filter((call) => call === 'list').length).toBeLessThanOrEqual(7);
  });

  it('reads all changes at once on request, also beside a stale watch', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, RELAXED);
    await sleep(20);
    store.revision = 12;
    expect(await follower.readChanges()).toBe(true);
    expect(seen.at(-1)).toBe(12);
    expect(store.calls.at(-1)).toBe('watch 10');
  });

  it('reads a list on request if the store no longer has the history', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, CLOSE);
    await sleep(20);
    store.revision = 14;
    store.isHistoryExpired = true;
    expect(await follower.readChanges()).toBe(true);
    expect(seen.at(-1)).toBe(14);
  });

  it('reports a request for changes that the store did not answer', async () => {
    const store = new ScriptedStore();
    const { follower } = follow(store, CLOSE);
    expect(await follower.readChanges()).toBe(false);
    await sleep(20);
    store.isAway = true;
    expect(await follower.readChanges()).toBe(false);
  });

  it('shows its listener an object that came and went within one reply', async () => {
    const store = new ScriptedStore();
    const { follower, names } = follow(store, CLOSE);
    await sleep(20);
    store.revision = 12;
    store.hasPassing = true;
    expect(await follower.readChanges()).toBe(true);
    expect(names.slice(-2)).toEqual([['x', 'passing'], ['x']]);
  });

  it('does not restore an object that left when a watch that began before replies later', async () => {
    const store = new ScriptedStore();
    const { follower, names } = follow(store, CLOSE);
    await sleep(20);
    store.revision = 12;
    store.hasPassing = true;
    expect(await follower.readChanges()).toBe(true);
    expect(names.at(-1)).toEqual(['x']);
    const appeared = { gone: false, object: { ...objectAt(11), name: 'passing' } };
    store.replyToWaiting({ events: [appeared], at: 11 });
    await sleep(30);
    expect(names.at(-1)).toEqual(['x']);
    expect(store.calls.at(-1)).toBe('watch 12');
  });

  it('shows its listener a state of a known object that was replaced within one reply', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, CLOSE);
    await sleep(20);
    const changed = { gone: false, object: objectAt(11) };
    const restored = { gone: false, object: { ...objectAt(12), spec: 10 } };
    store.replyToWaiting({ events: [changed, restored], at: 12 });
    await sleep(30);
    expect(seen).toEqual([10, 11, 10]);
    follower.stop();
  });

  it('shows its listener an object that left, returned in another state and left within one reply', async () => {
    const store = new ScriptedStore();
    const { follower, seen } = follow(store, CLOSE);
    await sleep(20);
    const left = { gone: true, object: objectAt(11) };
    const returned = { gone: false, object: objectAt(12) };
    const leftAgain = { gone: true, object: objectAt(13) };
    store.replyToWaiting({ events: [left, returned, leftAgain], at: 13 });
    await sleep(30);
    expect(seen).toEqual([10, 12, undefined]);
    follower.stop();
  });

  it('shows its listener no absence at a revision before that of the absent object', async () => {
    const store = new ScriptedStore();
    const { copies } = follow(store, CLOSE);
    await sleep(20);
    const passing = (name: string, revision: number): ObjectChanges['events'] =>
      [false, true].map((gone) => ({ gone, object: { ...objectAt(revision), name } }));
    store.replyToWaiting({ events: [...passing('a', 11), ...passing('b', 13)], at: 14 });
    await sleep(30);
    expect(copies.map(({ revision }) => revision)).toEqual([10, 11, 13, 14]);
  });
});
