/**
 * Guards against treating a restarted backend as the same process because it has the same id. It then got
 * requests for models that only the previous process held, stayed ejected for failures of the previous process,
 * and counted as loaded with requests that had ended with that process.
 */
import { describe, expect, it } from 'vitest';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import { BackendPresence, type BackendList } from '../../src/core/backend-presence.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import { updateOf } from './gateway-fixtures.js';

const MODEL = { model: 'm', adapter: undefined };

function record(start: string | undefined, part: Partial<BackendRecord> = {}): BackendRecord {
  return {
    id: 'x',
    service: 's',
    address: '10.1.0.1:1',
    zone: 'a',
    slots: 4,
    leaving: false,
    models: [{ name: 'm', adapters: [] }],
    revision: 1,
    sequence: 7,
    inMemory: [],
    onDisk: [],
    ...(start === undefined ? {} : { start }),
    ...part,
  };
}

const EMPTY = { models: [], sequence: 0 };

function list(revision: number, ...backends: BackendRecord[]): BackendList {
  return { backends, revision, mayMissBackends: false };
}

describe('a backend that restarts under the same id', () => {
  it('is reported as started although it was never missing from the list', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, record('one')), 0);
    const restarted = record('two', { revision: 2, ...EMPTY });
    expect(presence.applyList(list(2, restarted), 0).started).toEqual([restarted]);
    const heartbeat = record('two', { revision: 3, ...EMPTY });
    expect(presence.applyList(list(3, heartbeat), 0).started).toEqual([]);
  });

  it('is not reverted to its previous process by a stale list', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, record('one')), 0);
    presence.addAnnounced(record('two', { revision: 5, ...EMPTY }), 0);
    const staleList = {
      ...list(4, record('one', { revision: 3 })),
      mayMissBackends: true,
      isLate: true,
    };
    expect(presence.applyList(staleList, 100).started).toEqual([]);
    expect(presence.get('x')).toMatchObject({ start: 'two', models: [], sequence: 0 });
    expect(presence.applyList(list(6, record('two', { revision: 6 })), 200).started).toEqual([]);
    expect(presence.get('x')?.sequence).toBe(7);
  });

  it('holds no models after a peer announces its restart', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, record('one')), 0);
    presence.addAnnounced(record('two', { revision: 2, ...EMPTY }), 100);
    expect(presence.get('x')).toMatchObject({ start: 'two', models: [], sequence: 0 });
  });

  it('keeps its start and sequence when a peer that reports no starts announces its location', () => {
    const presence = new BackendPresence();
    presence.applyList(list(1, record('one')), 0);
    presence.addAnnounced(record(undefined, { revision: 2, ...EMPTY, address: '10.1.0.2:1' }), 100);
    expect(presence.get('x')).toMatchObject({ start: 'one', sequence: 7, address: '10.1.0.2:1' });
  });

  it('has a different digest than its previous process', () => {
    const [one, other] = [new BackendPresence(), new BackendPresence()];
    one.applyList(list(1, record('one')), 0);
    other.applyList(list(1, record('one')), 0);
    expect(one.servingDigest()).toBe(other.servingDigest());
    other.applyList(list(2, record('two', { revision: 2 })), 0);
    expect(one.servingDigest()).not.toBe(other.servingDigest());
  });

  it('does not inherit the models, loads and requests that the owner reported for its previous process', () => {
    const directory = new BackendDirectory();
    directory.setBackends(list(1, record('one')), 0);
    const held = { name: 'm', adapters: [], readyInMs: 0, unloading: false };
    const loading = { name: 'n', adapters: [], readyInMs: 900, unloading: false };
    const backends = new Map([['x', [held, loading]]]);
    directory.applyPlacementUpdate(updateOf({ backends, loads: new Map([['x', 9]]) }), 0);
    const restarted = record('two', { revision: 2, ...EMPTY });
    directory.setBackends(list(2, restarted), 100);
    expect(directory.holds(restarted, MODEL, 100)).toBe(false);
    expect(directory.expectedLoadAt(restarted, 100)).toBeUndefined();
    expect(directory.inFlightAt(restarted, 100)).toBe(0);
    expect(directory.readyInMs('s', MODEL, 100, () => false)).toBeUndefined();
  });

  it('makes the owner send its full state, because its last update may describe the new process', () => {
    const directory = new BackendDirectory();
    directory.setBackends(list(1, record('one')), 0);
    directory.applyPlacementUpdate(updateOf(), 0);
    directory.setBackends(list(2, record('two', { revision: 2, ...EMPTY })), 100);
    expect(directory.applyPlacementUpdate(updateOf({ baseVersion: 1 }), 200)).toBe('gap');
    expect(directory.applyPlacementUpdate(updateOf(), 300)).toBe('applied');
    expect(directory.applyPlacementUpdate(updateOf({ baseVersion: 1 }), 400)).toBe('applied');
  });

  it('may hold a model that its previous process lacked', () => {
    const directory = new BackendDirectory();
    directory.setBackends(list(1, record('one')), 0);
    directory.markModelMissing('x', MODEL, 0);
    const restarted = record('two', { revision: 2 });
    directory.setBackends(list(2, restarted), 50);
    expect(directory.holds(restarted, MODEL, 50)).toBe(true);
  });

  it('is reported as restarted once, by list or announcement, even if its entry was missing in between', () => {
    const directory = new BackendDirectory();
    directory.setBackends(list(1, record('one')), 0);
    expect(directory.takeRestarts()).toEqual([]);
    directory.addAnnounced(record('two', { revision: 2 }), 100);
    const [restart, ...further] = directory.takeRestarts();
    expect(further).toEqual([]);
    expect(restart).toMatchObject({ earlierStart: 'one', backend: { id: 'x', start: 'two' } });
    directory.setBackends(list(2, record('two', { revision: 2 })), 200);
    expect(directory.takeRestarts()).toEqual([]);
    directory.setBackends(list(3), 300);
    directory.setBackends(list(4, record('three', { revision: 4 })), 400);
    expect(directory.takeRestarts()).toHaveLength(1);
  });

  it('does not count as restarted where the platform reports no starts', () => {
    const directory = new BackendDirectory();
    directory.setBackends(list(1, record(undefined)), 0);
    directory.setBackends(list(2, record(undefined, { revision: 2 })), 0);
    directory.setBackends(list(3, record('one', { revision: 3 })), 0);
    expect(directory.takeRestarts()).toEqual([]);
  });

  it('does not inherit reported requests in flight or failures', () => {
    const demand = new ModelDemand();
    const use = [{ backend: 'x', model: 'm', adapter: 'a', inFlight: 3 }];
    const other = { backend: 'y', model: 'm', adapter: undefined, inFlight: 2 };
    demand.applyReport({ daemon: 'd', samples: [], use: [...use, other], failing: ['x'] }, 0);
    demand.removeBackend('x');
    expect(demand.inFlightAt('x', 0)).toBe(0);
    expect(demand.inFlightOf('m', 0)).toBe(2);
    expect([...demand.failingBackends(10, 0)]).toEqual([]);
    demand.applyReport({ daemon: 'd', samples: [], use: [other], failing: [] }, 10);
    expect(demand.inFlightOf('m', 10)).toBe(2);
  });
});
