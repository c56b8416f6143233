import { describe, expect, it } from 'vitest';
import { BackendPresence, type BackendList } from '../../src/core/backend-presence.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

function record(id: string, part: Partial<BackendRecord> = {}): BackendRecord {
  return {
    id,
    service: 's',
    address: `${id}:1`,
    zone: 'a',
    slots: 4,
    leaving: false,
    models: [{ name: 'm', adapters: [] }],
    revision: 1,
    sequence: 0,
    inMemory: [],
    onDisk: [],
    ...part,
  };
}

function list(revision: number, backends: readonly BackendRecord[]): BackendList {
  return { backends, revision, mayMissBackends: false };
}

/** A list read right after the store was away, or a late one. */
function doubtfulList(revision: number, backends: readonly BackendRecord[]): BackendList {
  return { ...list(revision, backends), mayMissBackends: true };
}

function serving(presence: BackendPresence): string[] {
  return presence
    .all()
    .filter((each) => presence.isServing(each))
    .map(({ id }) => id)
    .sort();
}

describe('BackendPresence', () => {
  it('ends a backend at once that a current list misses', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x'), record('y')]), 0);
    expect(presence.take(list(2, [record('x')]), 0).ended).toEqual([{ id: 'y', revision: 2 }]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('keeps serving from backends whose entries lapsed while the store was away', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x'), record('y')]), 0);
    expect(presence.take(doubtfulList(5, [record('x')]), 1_000).ended).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
    const back = record('y', { revision: 6 });
    expect(presence.take(list(6, [record('x'), back]), 2_500)).toEqual({ ended: [], started: [] });
    expect(presence.expire(10_000)).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
  });

  it('ends one that is still missing two seconds after the return of the store', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x'), record('y')]), 0);
    presence.take(doubtfulList(5, [record('x')]), 1_000);
    expect(presence.take(list(6, [record('x', { revision: 6 })]), 2_000).ended).toEqual([]);
    expect(presence.expire(2_700)).toEqual([]);
    expect(presence.expire(3_000)).toEqual([{ id: 'y', revision: 5 }]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('holds one that goes some time after the return of the store only until lapsed entries are back', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x'), record('y')]), 0);
    const soonSure = { ...doubtfulList(5, [record('x')]), returnWithinMs: 400 };
    expect(presence.take(soonSure, 1_000).ended).toEqual([]);
    expect(presence.expire(1_399)).toEqual([]);
    expect(presence.expire(1_400)).toEqual([{ id: 'y', revision: 5 }]);
    const unsure = { ...doubtfulList(6, []), returnWithinMs: 9_000 };
    expect(presence.take(unsure, 2_000).ended).toEqual([]);
    expect(presence.expire(3_800)).toEqual([{ id: 'x', revision: 6 }]);
  });

  it('ends one that a late list misses as soon as a current list misses it too', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x'), record('y')]), 0);
    const lateList = { ...doubtfulList(5, [record('x')]), isLate: true };
    expect(presence.take(lateList, 1_000).ended).toEqual([]);
    const ended = [{ id: 'y', revision: 6 }];
    expect(presence.take(list(6, [record('x')]), 1_100).ended).toEqual(ended);
    expect(presence.expire(10_000)).toEqual([]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('ends one that a peer has told of when a list that is newer misses it', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x')]), 0);
    presence.noteStarted(record('y', { revision: 3 }), 100);
    expect(presence.take(list(2, [record('x')]), 200).ended).toEqual([]);
    expect(presence.take(list(4, [record('x')]), 300).ended).toEqual([{ id: 'y', revision: 4 }]);
  });

  it('has the same digest as another that serves the same backends, however it came to that', () => {
    const [one, other] = [new BackendPresence(), new BackendPresence()];
    one.take(list(1, [record('x'), record('y')]), 0);
    other.take(list(1, [record('y')]), 0);
    expect(one.servingDigest()).not.toBe(other.servingDigest());
    other.noteStarted(record('x', { revision: 2 }), 0);
    expect(one.servingDigest()).toBe(other.servingDigest());
    one.noteEnded({ id: 'y', revision: 5 });
    expect(one.servingDigest()).not.toBe(other.servingDigest());
    other.take(list(6, [record('x'), record('y', { leaving: true, revision: 6 })]), 0);
    expect(one.servingDigest()).toBe(other.servingDigest());
    other.take({ ...doubtfulList(7, []) }, 1_000);
    other.expire(3_000);
    expect(other.servingDigest()).toBe(new BackendPresence().servingDigest());
  });

  it('serves again from one that was taken for gone and has entered itself anew', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x')]), 0);
    presence.take(list(2, []), 0);
    expect(presence.take(list(2, [record('x')]), 0).started).toEqual([]);
    expect(serving(presence)).toEqual([]);
    const anew = record('x', { revision: 3 });
    expect(presence.take(list(3, [anew]), 0).started).toEqual([anew]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('tells once that a backend is leaving, however often its entry changes', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x')]), 0);
    const leaving = record('x', { leaving: true, revision: 2 });
    expect(presence.take(list(2, [leaving]), 0).ended).toEqual([{ id: 'x', revision: 2 }]);
    expect(presence.take(list(3, [{ ...leaving, revision: 3 }]), 0).ended).toEqual([]);
    expect(presence.take(list(4, []), 0).ended).toEqual([{ id: 'x', revision: 4 }]);
  });

  it('uses a backend that a peer has seen before its own late list shows it', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x')]), 0);
    expect(presence.noteStarted(record('y', { revision: 2 }), 100)).toBe(true);
    expect(presence.noteStarted(record('y', { revision: 2 }), 100)).toBe(false);
    expect(presence.take(doubtfulList(1, [record('x')]), 2_000).ended).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
    expect(presence.expire(10_200)).toEqual([]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('does not take a late word that a backend has started for more than its end', () => {
    const presence = new BackendPresence();
    presence.take(list(1, []), 0);
    expect(presence.noteEnded({ id: 'y', revision: 3 })).toBe(true);
    expect(presence.noteEnded({ id: 'y', revision: 2 })).toBe(false);
    expect(presence.noteStarted(record('y', { revision: 2 }), 0)).toBe(false);
    expect(serving(presence)).toEqual([]);
  });

  it('keeps what a backend holds when a peer tells where it is', () => {
    const presence = new BackendPresence();
    presence.take(list(1, [record('x')]), 0);
    presence.noteStarted(record('x', { revision: 2, models: [] }), 0);
    expect(presence.get('x')?.models).toEqual([{ name: 'm', adapters: [] }]);
  });
});
