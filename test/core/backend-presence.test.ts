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

/** A list that may lack running backends: read just after a store outage, or stale. */
function incompleteList(revision: number, backends: readonly BackendRecord[]): BackendList {
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
  it('ends a backend immediately when a current list lacks it', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x'), record('y')]), 0);
    expect(presence.applyList(list(2, [record('x')]), 0).ended).toEqual([{ id: 'y', revision: 2 }]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('keeps backends serving whose entries expired during a store outage', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x'), record('y')]), 0);
    expect(presence.applyList(incompleteList(5, [record('x')]), 1_000).ended).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
    const returned = record('y', { revision: 6 });
    expect(presence.applyList(list(6, [record('x'), returned]), 2_500)).toEqual({
      ended: [],
      started: [],
    });
    expect(presence.expire(10_000)).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
  });

  it('ends a backend that is still missing two seconds after the store has recovered', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x'), record('y')]), 0);
    presence.applyList(incompleteList(5, [record('x')]), 1_000);
    expect(presence.applyList(list(6, [record('x', { revision: 6 })]), 2_000).ended).toEqual([]);
    expect(presence.expire(2_700)).toEqual([]);
    expect(presence.expire(3_000)).toEqual([{ id: 'y', revision: 5 }]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('keeps a missing backend no longer than the re-registration time of the list, and at most 1.8 s', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x'), record('y')]), 0);
    const shortWindow = { ...incompleteList(5, [record('x')]), returnWithinMs: 400 };
    expect(presence.applyList(shortWindow, 1_000).ended).toEqual([]);
    expect(presence.expire(1_399)).toEqual([]);
    expect(presence.expire(1_400)).toEqual([{ id: 'y', revision: 5 }]);
    const longWindow = { ...incompleteList(6, []), returnWithinMs: 9_000 };
    expect(presence.applyList(longWindow, 2_000).ended).toEqual([]);
    expect(presence.expire(3_800)).toEqual([{ id: 'x', revision: 6 }]);
  });

  it('ends a backend that a stale list lacks as soon as a current list lacks it too', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x'), record('y')]), 0);
    const staleList = { ...incompleteList(5, [record('x')]), isLate: true };
    expect(presence.applyList(staleList, 1_000).ended).toEqual([]);
    const ended = [{ id: 'y', revision: 6 }];
    expect(presence.applyList(list(6, [record('x')]), 1_100).ended).toEqual(ended);
    expect(presence.expire(10_000)).toEqual([]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('ends a backend announced by a peer when a newer list lacks it', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x')]), 0);
    presence.addAnnounced(record('y', { revision: 3 }), 100);
    expect(presence.applyList(list(2, [record('x')]), 200).ended).toEqual([]);
    expect(presence.applyList(list(4, [record('x')]), 300).ended).toEqual([
      { id: 'y', revision: 4 },
    ]);
  });

  it('computes the same digest for the same serving backends, regardless of their history', () => {
    const [one, other] = [new BackendPresence(), new BackendPresence()];
    one.applyList(list(1, [record('x'), record('y')]), 0);
    other.applyList(list(1, [record('y')]), 0);
    expect(one.servingDigest()).not.toBe(other.servingDigest());
    other.addAnnounced(record('x', { revision: 2 }), 0);
    expect(one.servingDigest()).toBe(other.servingDigest());
    one.markEnded({ id: 'y', revision: 5 });
    expect(one.servingDigest()).not.toBe(other.servingDigest());
    other.applyList(list(6, [record('x'), record('y', { leaving: true, revision: 6 })]), 0);
    expect(one.servingDigest()).toBe(other.servingDigest());
    other.applyList({ ...incompleteList(7, []) }, 1_000);
    other.expire(3_000);
    expect(other.servingDigest()).toBe(new BackendPresence().servingDigest());
  });

  it('serves again from an ended backend that has registered again', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x')]), 0);
    presence.applyList(list(2, []), 0);
    expect(presence.applyList(list(2, [record('x')]), 0).started).toEqual([]);
    expect(serving(presence)).toEqual([]);
    const registeredAgain = record('x', { revision: 3 });
    expect(presence.applyList(list(3, [registeredAgain]), 0).started).toEqual([registeredAgain]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('reports a leaving backend only once, however often its entry changes', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x')]), 0);
    const leaving = record('x', { leaving: true, revision: 2 });
    expect(presence.applyList(list(2, [leaving]), 0).ended).toEqual([{ id: 'x', revision: 2 }]);
    expect(presence.applyList(list(3, [{ ...leaving, revision: 3 }]), 0).ended).toEqual([]);
    expect(presence.applyList(list(4, []), 0).ended).toEqual([{ id: 'x', revision: 4 }]);
  });

  it('uses a backend announced by a peer before the stale own list shows it', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x')]), 0);
    expect(presence.addAnnounced(record('y', { revision: 2 }), 100)).toBe(true);
    expect(presence.addAnnounced(record('y', { revision: 2 }), 100)).toBe(false);
    expect(presence.applyList(incompleteList(1, [record('x')]), 2_000).ended).toEqual([]);
    expect(serving(presence)).toEqual(['x', 'y']);
    expect(presence.expire(10_200)).toEqual([]);
    expect(serving(presence)).toEqual(['x']);
  });

  it('ignores a delayed start announcement that is older than the end of the backend', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, []), 0);
    expect(presence.markEnded({ id: 'y', revision: 3 })).toBe(true);
    expect(presence.markEnded({ id: 'y', revision: 2 })).toBe(false);
    expect(presence.addAnnounced(record('y', { revision: 2 }), 0)).toBe(false);
    expect(serving(presence)).toEqual([]);
  });

  it('keeps the models of a backend when a peer announces its location', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, [record('x')]), 0);
    presence.addAnnounced(record('x', { revision: 2, models: [] }), 0);
    expect(presence.get('x')?.models).toEqual([{ name: 'm', adapters: [] }]);
  });

  it('keeps the software version that an announcement or a stale list lacks', () => {
    const versionOf = (presence: BackendPresence): string | undefined =>
      presence.get('x')?.softwareVersion;
    const told = new BackendPresence();
    told.applyList(list(1, [record('x', { softwareVersion: 'v1' })]), 0);
    told.addAnnounced(record('x', { revision: 2 }), 0);
    expect(versionOf(told)).toBe('v1');
    const listed = new BackendPresence();
    listed.addAnnounced(record('x', { revision: 2 }), 0);
    listed.applyList(list(1, [record('x', { softwareVersion: 'v1' })]), 0);
    expect(versionOf(listed)).toBe('v1');
    listed.addAnnounced(record('x', { revision: 3, start: 'b', softwareVersion: 'v2' }), 0);
    expect(versionOf(listed)).toBe('v2');
  });
});
