import { describe, expect, it } from 'vitest';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import { PlacementPublisher, type PlacementState } from '../../src/core/placement-publisher.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import { updateOf } from './gateway-fixtures.js';

function stateOf(
  held: Readonly<Record<string, readonly string[]>>,
  forecasts: Readonly<Record<string, number>> = {},
): PlacementState {
  const backends = Object.entries(held).map(([backend, models]) => {
    const placed = models.map((name) => {
      return { name, adapters: [], readyAt: 0, unloading: false };
    });
    return [backend, placed] as const;
  });
  const loads = new Map<string, number>();
  const placements = { backends: new Map(backends), forecasts: new Map(Object.entries(forecasts)) };
  return { ...placements, loads, storeLoadLimit: 7, loadTolerance: 2 };
}

function backend(id: string): BackendRecord {
  return {
    id,
    service: 's',
    address: '',
    zone: '',
    slots: 1,
    leaving: false,
    models: [],
    revision: 1,
    sequence: 0,
    inMemory: [],
    onDisk: [],
  };
}

function holds(directory: BackendDirectory, id: string, model: string): boolean {
  return directory.holds(backend(id), { model, adapter: undefined }, 100);
}

describe('PlacementPublisher', () => {
  it('publishes a full update once, then only changes', () => {
    const publisher = new PlacementPublisher('s', 1);
    const first = publisher.nextUpdate(stateOf({ x: ['a'], y: ['b'] }), 0);
    expect([first.baseVersion, first.backends.size]).toEqual([undefined, 2]);
    const second = publisher.nextUpdate(stateOf({ x: ['a'], y: ['c'] }), 10);
    expect([second.baseVersion, [...second.backends.keys()]]).toEqual([first.version, ['y']]);
    const third = publisher.nextUpdate(stateOf({ x: ['a'] }), 20);
    expect([third.backends.size, third.removedBackends]).toEqual([0, ['y']]);
    const fourth = publisher.nextUpdate(stateOf({ x: ['a'] }), 30);
    expect([fourth.baseVersion, fourth.version]).toEqual([third.version, third.version]);
  });

  it('does not republish forecasts that hardly move, and removes those of loaded models', () => {
    const publisher = new PlacementPublisher('s', 1);
    publisher.nextUpdate(stateOf({}, { a: 2_000 }), 0);
    expect(publisher.nextUpdate(stateOf({}, { a: 2_100 }), 50).forecasts.size).toBe(0);
    expect([...publisher.nextUpdate(stateOf({}, { a: 3_000 }), 100).forecasts]).toEqual([
      ['a', 2_900],
    ]);
    expect(publisher.nextUpdate(stateOf({}), 150).removedForecasts).toEqual(['a']);
  });
});

describe('loads', () => {
  it('are published when they change by the tolerance, and applied by the daemon', () => {
    const publisher = new PlacementPublisher('s', 1);
    const directory = new BackendDirectory();
    const publishLoad = (inFlight: number): number => {
      const state = { ...stateOf({ x: ['a'] }), loads: new Map([['x', inFlight]]) };
      const update = publisher.nextUpdate(state, 0);
      directory.applyPlacementUpdate(update, 0);
      return update.loads.size;
    };
    expect([
      publishLoad(0),
      publishLoad(1),
      publishLoad(5),
      publishLoad(6),
      publishLoad(0),
    ]).toEqual([0, 0, 1, 0, 1]);
    publishLoad(7);
    expect(directory.inFlightAt(backend('x'), 0)).toBe(7);
    expect(directory.inFlightAt(backend('y'), 0)).toBe(0);
  });
});

describe('BackendDirectory', () => {
  it('reaches the state of the owner by applying its updates', () => {
    const publisher = new PlacementPublisher('s', 1);
    const directory = new BackendDirectory();
    const states = [stateOf({ x: ['a'] }), stateOf({ x: ['b'], y: ['a'] }), stateOf({ y: ['a'] })];
    for (const state of states) {
      expect(directory.applyPlacementUpdate(publisher.nextUpdate(state, 0), 0)).toBe('applied');
    }
    expect(holds(directory, 'y', 'a')).toBe(true);
    expect(holds(directory, 'x', 'b')).toBe(false);
  });

  it('reports a gap for changes to a version that it does not have, and applies a full update', () => {
    const publisher = new PlacementPublisher('s', 1);
    const directory = new BackendDirectory();
    directory.applyPlacementUpdate(publisher.nextUpdate(stateOf({ x: ['a'] }), 0), 0);
    publisher.nextUpdate(stateOf({ x: ['b'] }), 0);
    const missedOne = publisher.nextUpdate(stateOf({ x: ['b'], y: ['a'] }), 0);
    expect(directory.applyPlacementUpdate(missedOne, 0)).toBe('gap');
    expect(holds(directory, 'y', 'a')).toBe(false);
    expect(directory.applyPlacementUpdate(publisher.fullUpdate(0), 0)).toBe('applied');
    expect([holds(directory, 'x', 'b'), holds(directory, 'y', 'a')]).toEqual([true, true]);
  });

  it('rejects updates of a former owner or an earlier version', () => {
    const directory = new BackendDirectory();
    directory.applyPlacementUpdate(updateOf({ epoch: 2, version: 5 }), 0);
    expect(directory.applyPlacementUpdate(updateOf({ epoch: 1, version: 9 }), 0)).toBe('outdated');
    expect(directory.applyPlacementUpdate(updateOf({ epoch: 2, version: 4 }), 0)).toBe('outdated');
    expect(
      directory.applyPlacementUpdate(updateOf({ epoch: 3, version: 1, baseVersion: 1 }), 0),
    ).toBe('gap');
  });
});
