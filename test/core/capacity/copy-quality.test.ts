import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../../src/core/backend-ledger.js';
import { LearnedCapacity } from '../../../src/core/capacity/learned-capacity.js';
import { CopyQuality, type PlanningCapacity } from '../../../src/core/capacity/copy-quality.js';
import { LoadCandidates } from '../../../src/core/load-candidates.js';
import { ModelDemand } from '../../../src/core/model-demand.js';
import { ModelWorth } from '../../../src/core/model-worth.js';
import type { PlanningInput } from '../../../src/core/planning.js';
import { UnloadTimeEstimator } from '../../../src/core/unload-time-estimator.js';
import { LOAD_POLICIES, hostOf, modelOf, demandSampleOf } from '../gateway-fixtures.js';

const NOW = 60_000;

function ledgerOf(id: string, held: readonly string[]): BackendLedger {
  const ledger = new BackendLedger(id);
  const models = held.map((name) => ({ name, adapters: [] }));
  const state = { busy: false, sequence: 0, coming: [], inMemory: [], waiting: 0, running: 0 };
  const report = { ...state, models, onDisk: ['hot', 'rare'] };
  ledger.applyReport(report, 0);
  ledger.applyReport(report, 1_000);
  return ledger;
}

/** Capacity under which streams of "hot" are late at backends of half the usual speed and nowhere else. */
function capacityOf(speeds: Readonly<Record<string, number>>): PlanningCapacity {
  const figures = { speeds: new Map(Object.entries(speeds)), gaps: new Map([['hot', 110]]) };
  const pauseShares = [1, 0.05, 0.02, 0, 0, 0, 0, 0];
  return { view: new LearnedCapacity({ ...figures, pauseShares }), pauseGoalMs: () => 200 };
}

function inputOf(
  backends: readonly BackendLedger[],
  capacity: PlanningCapacity | undefined,
): PlanningInput {
  const demand = new ModelDemand();
  const samples = [demandSampleOf('hot', { waiting: 0, arrivals: 60, goalMs: 600 })];
  demand.applyReport({ daemon: 'd', samples, use: [], failing: [] }, NOW);
  return {
    host: hostOf(['hot', 'rare']),
    backends,
    demand,
    now: NOW,
    storeLoads: 1,
    storeSlotWaitsMs: [0],
    unloadTimes: new UnloadTimeEstimator(),
    policies: LOAD_POLICIES,
    capacity,
  };
}

describe('CopyQuality', () => {
  it('rates all backends as good while there are no estimates', () => {
    const quality = new CopyQuality(undefined, [ledgerOf('x', [])], NOW);
    expect([quality.backendQuality('x', 'hot'), quality.latenessCostMs('x', 'hot', 10)]).toEqual([
      1, 0,
    ]);
  });

  it('rates all backends as good when all are equally slow', () => {
    const backends = [ledgerOf('x', []), ledgerOf('y', [])];
    const quality = new CopyQuality(capacityOf({ x: 0.5, y: 0.5 }), backends, NOW);
    expect([quality.backendQuality('x', 'hot'), quality.backendQuality('y', 'hot')]).toEqual([
      1, 1,
    ]);
  });

  it('rates a new copy as fully good for ten seconds', () => {
    const slow = ledgerOf('slow', []);
    slow.models.set('hot', { adapters: new Set(), loadedAt: NOW });
    const capacity = capacityOf({ slow: 0.5 });
    const qualityAt = (now: number): number => {
      return new CopyQuality(capacity, [slow, ledgerOf('y', [])], now).copyQuality(slow, 'hot');
    };
    expect([qualityAt(NOW + 9_999), qualityAt(NOW + 10_000)]).toEqual([1, 0.3]);
  });
});

describe('ModelWorth with capacity estimates', () => {
  it('values a copy less where its streams are late, so that it is replaced first', () => {
    const [slow, good] = [ledgerOf('slow', ['hot']), ledgerOf('good', ['hot'])];
    const uniformWorth = new ModelWorth(inputOf([slow, good], undefined));
    const worth = new ModelWorth(inputOf([slow, good], capacityOf({ slow: 0.5 })));
    expect(uniformWorth.copyWorth(slow, 'hot')).toBe(uniformWorth.copyWorth(good, 'hot'));
    expect(worth.copyWorth(slow, 'hot')).toBeLessThan(0.5 * worth.copyWorth(good, 'hot'));
  });

  it('does not reduce the value of the only copy', () => {
    const backends = [ledgerOf('slow', ['hot']), ledgerOf('good', [])];
    const uniformWorth = new ModelWorth(inputOf(backends, undefined));
    const worth = new ModelWorth(inputOf(backends, capacityOf({ slow: 0.5 })));
    const [slow] = backends;
    expect(slow && worth.copyWorth(slow, 'hot')).toBe(slow && uniformWorth.copyWorth(slow, 'hot'));
  });

  it('loads a model at a backend where its streams are on time', () => {
    const backends = [ledgerOf('slow', []), ledgerOf('good', ['rare'])];
    const input = inputOf(backends, capacityOf({ slow: 0.5 }));
    expect(
      new LoadCandidates(input, new ModelWorth(input)).cheapest(modelOf('hot'))?.ledger.id,
    ).toBe('good');
  });
});
