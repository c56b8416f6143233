import { describe, expect, it } from 'vitest';
import { demandSampleOf } from './gateway-fixtures.js';
import { describeOrders, ledgerOf, reportOf, PlannerFixture } from './planner-fixture.js';

/**
 * A hot model with one copy of 64 slots and `inFlight` requests, and a rare model with a waiting
 * request.
 */
function hotAndRare(inFlight: number): PlannerFixture {
  const scene = new PlannerFixture([ledgerOf('x', ['hot']), ledgerOf('y', [])]);
  const recentDemand = demandSampleOf('hot', { waiting: 0, arrivals: 60, goalMs: 600 });
  const use = [{ backend: 'x', model: 'hot', adapter: undefined, inFlight }];
  const samples = [recentDemand, demandSampleOf('rare1')];
  scene.demand.applyReport({ daemon: 'd', samples, use, failing: [] }, scene.now);
  return scene;
}

describe('PlacementPlanner', () => {
  it('loads at a backend that has the weights on disk', () => {
    const scene = new PlannerFixture([ledgerOf('x', []), ledgerOf('y', [], ['rare1'])]);
    scene.reportDemand(demandSampleOf('rare1'));
    expect(describeOrders(scene.plan())).toEqual(['y load rare1']);
  });

  it('waits for a busy backend with the weights on disk instead of loading from the store', () => {
    const busy = ledgerOf('y', [], ['rare1', 'rare2']);
    const scene = new PlannerFixture([ledgerOf('x', []), busy]);
    busy.recordSent({ operation: 'load', model: 'rare2', adapter: undefined });
    busy.recordOutcome(
      { operation: 'load', model: 'rare2', adapter: undefined },
      { type: 'accepted' },
      scene.now,
      500,
    );
    scene.reportDemand(demandSampleOf('rare1'));
    expect(scene.plan()).toEqual([]);
  });

  it('loads from the store at the backend where no other callers need loads from its disk', () => {
    const scene = new PlannerFixture([
      ledgerOf('x', [], ['rare2', 'rare3', 'cool']),
      ledgerOf('y', ['warm']),
    ]);
    const recentDemand = ['rare2', 'rare3', 'cool'].map((model) =>
      demandSampleOf(model, { waiting: 0 }),
    );
    scene.reportDemand(demandSampleOf('rare1'), ...recentDemand);
    expect(describeOrders(scene.plan())).toEqual(['y load rare1']);
  });

  it('loads from the store at the backend where no callers need adapters of a loaded model', () => {
    const scene = new PlannerFixture([ledgerOf('a', ['hot']), ledgerOf('b', ['cool'])]);
    const adapters = { model: 'hot', adapter: 'a1', arrivals: 20, waiting: 0 };
    scene.reportDemand(demandSampleOf('rare1'), demandSampleOf('hot', adapters));
    expect(scene.plan()).toMatchObject([{ backend: 'b', order: { model: 'rare1' } }]);
  });

  it('forecasts an adapter for after the load that occupies the backend with its model', () => {
    const scene = new PlannerFixture([ledgerOf('a', ['hot'])]);
    scene.reportDemand(demandSampleOf('rare1'));
    expect(scene.planAndAccept()).toMatchObject([{ backend: 'a', order: { model: 'rare1' } }]);
    scene.reportDemand(demandSampleOf('hot', { adapter: 'a1' }));
    const readyInMs = scene.forecasts().get('hot/a1') ?? 0;
    expect(readyInMs).toBeGreaterThan(4_000);
    expect(readyInMs).toBeLessThan(5_000);
  });

  it('loads a model with nearly full copies from the weight store before a rare one', () => {
    const scene = hotAndRare(50);
    expect(describeOrders(scene.planAndAccept())).toEqual(['y load hot']);
    // The copy being loaded will serve a part of the requests, so no third copy is ordered.
    expect(describeOrders(scene.plan())).toEqual(['x load rare1']);
  });

  it('loads the rare model first while the copies of the hot one have free slots', () => {
    const scene = hotAndRare(40);
    expect(describeOrders(scene.plan())[0]).toContain('load rare1');
  });

  it('does not order a model again while it is loading', () => {
    const scene = new PlannerFixture([ledgerOf('x', []), ledgerOf('y', [])]);
    scene.reportDemand(demandSampleOf('rare1'));
    scene.planAndAccept();
    expect(scene.plan()).toEqual([]);
  });

  it('uses freed memory for the model for which it was reserved', () => {
    const ledger = ledgerOf('x', ['rare2', 'rare3'], ['rare1', 'warm']);
    const scene = new PlannerFixture([ledger]);
    scene.reportDemand(demandSampleOf('rare1'));
    const [unload] = scene.planAndAccept();
    expect(unload?.order.operation).toBe('unload');
    scene.now += 200;
    const left = ['rare2', 'rare3'].filter((model) => model !== unload?.order.model);
    ledger.applyReport(reportOf(left, { sequence: 1, onDisk: ['rare1', 'warm'] }), scene.now);
    scene.reportDemand(demandSampleOf('warm', { goalMs: 600 }), demandSampleOf('rare1'));
    expect(describeOrders(scene.plan())).toEqual(['x load rare1']);
  });

  it('respects the ceiling of store loads also for a model with reserved memory', () => {
    const ledger = ledgerOf('x', ['rare2', 'rare3']);
    const scene = new PlannerFixture([ledger]);
    scene.reportDemand(demandSampleOf('rare1'));
    const [unload] = scene.planAndAccept();
    expect(unload?.order.operation).toBe('unload');
    scene.now += 200;
    const left = ['rare2', 'rare3'].filter((model) => model !== unload?.order.model);
    ledger.applyReport(reportOf(left, { sequence: 1 }), scene.now);
    scene.reportDemand(demandSampleOf('rare1'));
    expect(scene.plan(0)).toEqual([]);
    expect(describeOrders(scene.plan(1))).toEqual(['x load rare1']);
  });

  it('does not evict a model that was just loaded for waiting requests', () => {
    const ledger = ledgerOf('x', ['hot'], ['rare1', 'rare2']);
    const scene = new PlannerFixture([ledger]);
    scene.reportDemand(demandSampleOf('rare1'));
    scene.planAndAccept();
    scene.now += 1_700;
    ledger.applyReport(
      reportOf(['hot', 'rare1'], { sequence: 1, onDisk: ['rare1', 'rare2'] }),
      scene.now,
    );
    scene.reportDemand(demandSampleOf('rare2'), demandSampleOf('rare1'));
    expect(describeOrders(scene.plan())).toEqual(['x unload hot']);
  });

  it('evicts a model without demand before one in urgent demand', () => {
    const scene = new PlannerFixture([ledgerOf('x', ['hot', 'rare2'], ['rare1'])]);
    scene.reportDemand(
      demandSampleOf('hot', { waiting: 0, arrivals: 20, goalMs: 600 }),
      demandSampleOf('rare1'),
    );
    expect(describeOrders(scene.plan())).toEqual(['x unload rare2']);
  });

  it('adds a second copy of a model in urgent demand', () => {
    const scene = new PlannerFixture([ledgerOf('x', ['hot']), ledgerOf('y', [])]);
    scene.reportDemand(demandSampleOf('hot', { waiting: 0, arrivals: 20, goalMs: 600 }));
    expect(describeOrders(scene.plan())).toEqual(['y load hot']);
  });

  it('adds copies of a model whose requests use many slots', () => {
    const ledgers = ['v', 'w', 'x', 'y'].map((id) => ledgerOf(id, id === 'v' ? ['hot'] : []));
    const scene = new PlannerFixture(ledgers);
    const use = [{ backend: 'v', model: 'hot', adapter: undefined, inFlight: 60 }];
    const samples = [demandSampleOf('hot', { waiting: 0, arrivals: 20, goalMs: 600 })];
    scene.demand.applyReport({ daemon: 'd', samples, use, failing: [] }, scene.now);
    const loads = [scene.planAndAccept(), scene.planAndAccept(), scene.planAndAccept()];
    expect(loads.map((orders) => orders.length)).toEqual([1, 1, 1]);
  });

  it('does not evict a copy of a model in equal demand that has one more copy', () => {
    const held = [
      ['hot', 'warm'],
      ['hot', 'warm'],
      ['hot', 'cool'],
    ];
    const scene = new PlannerFixture(held.map((models, index) => ledgerOf(`b${index}`, models)));
    const busy = { waiting: 0, arrivals: 40, goalMs: 600 };
    const use = ['hot', 'warm'].map((model) => {
      return { backend: 'b0', model, adapter: undefined, inFlight: 60 };
    });
    const patient = demandSampleOf('cool', { waiting: 0, arrivals: 80 });
    const samples = [demandSampleOf('hot', busy), demandSampleOf('warm', busy), patient];
    scene.demand.applyReport({ daemon: 'd', samples, use, failing: [] }, scene.now);
    // An evicted copy of "hot" would be worth as much as the new one, and so be loaded again.
    expect(scene.plan()).toEqual([]);
  });

  it('does not order an adapter that is already loaded', () => {
    const ledger = ledgerOf('x', []);
    ledger.applyReport(reportOf([], { models: [{ name: 'hot', adapters: ['a1'] }] }), 2_000);
    const scene = new PlannerFixture([ledger]);
    scene.reportDemand(demandSampleOf('hot', { adapter: 'a1', goalMs: 600 }));
    expect(scene.plan()).toEqual([]);
  });

  it('unloads an adapter only if all adapter slots are used and none is loading', () => {
    const ledger = ledgerOf('x', []);
    ledger.applyReport(reportOf([], { models: [{ name: 'hot', adapters: ['a1'] }] }), 2_000);
    const scene = new PlannerFixture([ledger]);
    scene.reportDemand(
      demandSampleOf('hot', { adapter: 'a2' }),
      demandSampleOf('hot', { adapter: 'a3' }),
    );
    expect(describeOrders(scene.planAndAccept())).toEqual(['x load hot/a2']);
    expect(scene.plan()).toEqual([]);
    ledger.applyReport(
      reportOf([], { sequence: 1, models: [{ name: 'hot', adapters: ['a1', 'a2'] }] }),
      scene.now,
    );
    expect(describeOrders(scene.plan())).toEqual(['x unload hot/a1']);
  });

  it('loads no model from the store while the ceiling of store loads is reached', () => {
    const scene = new PlannerFixture([ledgerOf('x', [])]);
    scene.reportDemand(demandSampleOf('rare1'));
    expect(scene.plan(0)).toEqual([]);
  });
});
