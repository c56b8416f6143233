/** A model whose only copy is nearly full gets a second one, even if no backend has free memory. */
import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import type { BackendUse, DemandSample } from '../../src/core/demand-report.js';
import type { Policies } from '../../src/core/policies.js';
import { LOAD_POLICIES, hostOf, demandSampleOf } from './gateway-fixtures.js';
import { describeOrders, ledgerOf, reportOf, PlannerFixture } from './planner-fixture.js';

const OFF: Policies = { ...LOAD_POLICIES, relieveCrowdedCopies: false };
/** Requests in flight, of the 64 slots of one copy. */
const CROWDED = 60;
const WARM = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8', 'w9', 'w10', 'w11'];
const host = hostOf(['hot', ...WARM, 'rare1']);

/** A smoothed rate of one arrival per second corresponds to about 11.5 arrivals at once. */
function demandFor(model: string, perSecond: number): DemandSample {
  return demandSampleOf(model, { waiting: 0, arrivals: perSecond * 11.5, goalMs: 600 });
}

function inUse(backend: string, model: string, inFlight: number): BackendUse {
  return { backend, model, adapter: undefined, inFlight };
}

/**
 * Six backends with two models each; the hot model gets five requests per second with long streams.
 */
function sceneWithoutFreeMemory(policies: Policies): PlannerFixture {
  const ledgers = Array.from({ length: 6 }, (_, index) => {
    const held = index === 0 ? ['hot', WARM[10] ?? ''] : WARM.slice(2 * index - 2, 2 * index);
    return ledgerOf(`b${index}`, held);
  });
  const scene = new PlannerFixture(ledgers, policies, host);
  const samples = [demandFor('hot', 5), ...WARM.map((model) => demandFor(model, 0.9))];
  scene.reportDemandAndUse([inUse('b0', 'hot', CROWDED)], samples);
  return scene;
}

/** The hot model's only copy is at "x"; an unload at "y" frees memory for a second one. */
function sceneWithUnloadInProgress(
  policies: Policies,
  inFlight: number,
): [PlannerFixture, BackendLedger] {
  const unloading = ledgerOf('y', ['w1', 'w2'], ['rare1', 'hot']);
  const scene = new PlannerFixture([ledgerOf('x', ['hot', 'w3']), unloading], policies, host);
  const samples = [
    demandFor('hot', 5),
    demandFor('w1', 0.1),
    demandFor('w2', 0.2),
    demandFor('w3', 2),
  ];
  scene.reportDemandAndUse([inUse('x', 'hot', inFlight)], samples);
  expect(describeOrders(scene.planAndAccept())).toEqual(['y unload w1']);
  return [scene, unloading];
}

function finishUnload(unloading: BackendLedger, now: number): void {
  unloading.applyReport(reportOf(['w2'], { sequence: 1, onDisk: ['rare1', 'hot'] }), now);
}

function loadsHotAtY(scene: PlannerFixture): boolean {
  return describeOrders(scene.planAndAccept()).includes('y load hot');
}

describe('a crowded copy', () => {
  it('gets a second one although all other loaded models are in some demand', () => {
    expect(sceneWithoutFreeMemory(OFF).plan()).toEqual([]);
    const [order, ...others] = sceneWithoutFreeMemory(LOAD_POLICIES).plan();
    expect(order).toMatchObject({ order: { operation: 'unload' } });
    expect(order?.reason).toBe('room for hot: crowded copies');
    expect(others).toEqual([]);
  });

  it('keeps the second one, because the first would be crowded without it', () => {
    const held = [
      ['hot', 'w1'],
      ['hot', 'w2'],
      ['w3', 'w4'],
    ];
    const scene = new PlannerFixture(
      held.map((models, index) => ledgerOf(`b${index}`, models)),
      LOAD_POLICIES,
      host,
    );
    const use = [inUse('b0', 'hot', CROWDED / 2), inUse('b1', 'hot', CROWDED / 2)];
    const others = ['w1', 'w2', 'w3', 'w4'].map((model) => demandFor(model, 1.5));
    scene.reportDemandAndUse(use, [demandFor('hot', 5), ...others, demandSampleOf('rare1')]);
    const [order] = scene.plan();
    expect(order?.order.operation).toBe('unload');
    expect(order?.order.model).not.toBe('hot');
  });

  it('keeps its reservation if the unload takes longer for running streams than a rare model waits', () => {
    for (const [policies, expected] of [
      [LOAD_POLICIES, true],
      [OFF, false],
    ] as const) {
      const [scene, unloading] = sceneWithUnloadInProgress(policies, CROWDED);
      scene.now += 5_000;
      // During the unload, fewer requests are in flight than before it, so the copy is not crowded.
      scene.reportDemandAndUse([inUse('x', 'hot', 40)], [demandSampleOf('rare1')]);
      scene.planAndAccept();
      finishUnload(unloading, scene.now);
      expect(loadsHotAtY(scene)).toBe(expected);
    }
  });

  it('uses the memory that was freed for it by its request rate, before waiting rare models', () => {
    for (const [policies, expected] of [
      [LOAD_POLICIES, true],
      [OFF, false],
    ] as const) {
      const [scene, unloading] = sceneWithUnloadInProgress(policies, 0);
      scene.now += 300;
      finishUnload(unloading, scene.now);
      scene.reportDemand(demandSampleOf('rare1'));
      expect(loadsHotAtY(scene)).toBe(expected);
    }
  });
});
