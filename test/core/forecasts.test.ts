/** What callers are told of models that nobody holds: all of them, and the truth. */
import { describe, expect, it } from 'vitest';
import { PlacementPublisher } from '../../src/core/placement-publisher.js';
import type { Policies } from '../../src/core/policies.js';
import { LOAD_POLICIES, hostOf, waitingFor } from './gateway-fixtures.js';
import { ledgerOf, Scene } from './planner-scene.js';

const OFF: Policies = { ...LOAD_POLICIES, forecastAll: false };
const RARE = Array.from({ length: 200 }, (_, index) => `r${index}`);
const host = hostOf(RARE);

/** 63 backends, each with copies of a part of the rare models on its disk; callers wait for all. */
function everybodyWaits(policies: Policies): Scene {
  const ledgers = Array.from({ length: 63 }, (_, index) => {
    const onDisk = RARE.filter((_, model) => model % 63 === index);
    return ledgerOf(`b${index}`, [], onDisk);
  });
  const scene = new Scene(ledgers, policies, host);
  scene.hear(...RARE.map((model) => waitingFor(model)));
  return scene;
}

describe('forecasts', () => {
  it('are told of every model that callers wait for', () => {
    expect(everybodyWaits(OFF).forecasts().size).toBe(64);
    expect(everybodyWaits(LOAD_POLICIES).forecasts().size).toBe(RARE.length);
  });

  it('do not count a load that waits for the weight store before the copies at hand', () => {
    const toldFor = (policies: Policies): number => {
      const scene = new Scene([ledgerOf('x', [], ['r9'])], policies, host);
      const lost = ['r1', 'r2', 'r3'].map((model) => waitingFor(model, { dueInMs: 100 }));
      scene.hear(...lost, waitingFor('r9'));
      return scene.forecasts().get('r9') ?? Infinity;
    };
    // The first of the three takes the store, and the backend, at once; the others wait for the store.
    expect(toldFor(OFF)).toBeGreaterThan(12_000);
    expect(toldFor(LOAD_POLICIES)).toBeLessThan(6_000);
  });

  it('are told again only when they have moved by a share of the time until then', () => {
    const publisher = new PlacementPublisher('s', 1, 0.15);
    const publish = (readyAt: number, now: number): number => {
      const forecasts = new Map([['r1', readyAt]]);
      const state = { backends: new Map(), forecasts, loads: new Map() };
      return publisher.update({ ...state, storeLoadLimit: 0, loadTolerance: 1 }, now).forecasts
        .size;
    };
    expect([publish(20_000, 0), publish(22_500, 10), publish(24_000, 20)]).toEqual([1, 0, 1]);
    expect([publish(2_000, 30), publish(2_250, 40), publish(2_400, 50)]).toEqual([1, 0, 1]);
  });
});
