/**
 * Forecasts for models that no backend has loaded: they cover all such models and match the planned
 * loads.
 */
import { describe, expect, it } from 'vitest';
import { PlacementPublisher } from '../../src/core/placement-publisher.js';
import type { Policies } from '../../src/core/policies.js';
import { LOAD_POLICIES, hostOf, demandSampleOf } from './gateway-fixtures.js';
import { ledgerOf, PlannerFixture } from './planner-fixture.js';

const OFF: Policies = { ...LOAD_POLICIES, forecastAll: false };
const RARE = Array.from({ length: 200 }, (_, index) => `r${index}`);
const host = hostOf(RARE);

/** 63 backends, each with a part of the rare models on its disk; callers wait for all models. */
function sceneWithWaitingCallers(policies: Policies): PlannerFixture {
  const ledgers = Array.from({ length: 63 }, (_, index) => {
    const onDisk = RARE.filter((_, model) => model % 63 === index);
    return ledgerOf(`b${index}`, [], onDisk);
  });
  const scene = new PlannerFixture(ledgers, policies, host);
  scene.reportDemand(...RARE.map((model) => demandSampleOf(model)));
  return scene;
}

describe('forecasts', () => {
  it('cover every model that callers wait for', () => {
    expect(sceneWithWaitingCallers(OFF).forecasts().size).toBe(64);
    expect(sceneWithWaitingCallers(LOAD_POLICIES).forecasts().size).toBe(RARE.length);
  });

  it('do not put loads that wait for the weight store before loads from a local disk', () => {
    const forecastFor = (policies: Policies): number => {
      const scene = new PlannerFixture([ledgerOf('x', [], ['r9'])], policies, host);
      const fromStore = ['r1', 'r2', 'r3'].map((model) => demandSampleOf(model, { dueInMs: 100 }));
      scene.reportDemand(...fromStore, demandSampleOf('r9'));
      return scene.forecasts().get('r9') ?? Infinity;
    };
    // The first of the three occupies the weight store and the backend; the others wait for the
    // store.
    expect(forecastFor(OFF)).toBeGreaterThan(12_000);
    expect(forecastFor(LOAD_POLICIES)).toBeLessThan(6_000);
  });

  it('are published again only after moving by a share of their remaining time', () => {
    const publisher = new PlacementPublisher('s', 1, 0.15);
    const publish = (readyAt: number, now: number): number => {
      const forecasts = new Map([['r1', readyAt]]);
      const state = { backends: new Map(), forecasts, loads: new Map() };
      return publisher.nextUpdate({ ...state, storeLoadLimit: 0, loadTolerance: 1 }, now).forecasts
        .size;
    };
    expect([publish(20_000, 0), publish(22_500, 10), publish(24_000, 20)]).toEqual([1, 0, 1]);
    expect([publish(2_000, 30), publish(2_250, 40), publish(2_400, 50)]).toEqual([1, 0, 1]);
  });
});
