/** Bounds the processor time of a planning round at the size of large deployments. */
import { describe, expect, it } from 'vitest';
import { BackendLedger } from '../../src/core/backend-ledger.js';
import { LearnedCapacity } from '../../src/core/capacity/learned-capacity.js';
import type { BackendUse, DemandSample } from '../../src/core/demand-report.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import { UnloadTimeEstimator } from '../../src/core/unload-time-estimator.js';
import { PlacementPlanner } from '../../src/core/placement-planner.js';
import type { PlanningInput } from '../../src/core/planning.js';
import { LOAD_POLICIES, hostOf, demandSampleOf } from './gateway-fixtures.js';

const MODELS = 480;
const BACKENDS = 100;
const DAEMONS = 80;
/** Rounds are 50 ms apart, and the smallest machines have a third of a core. */
const MAX_ROUND_CPU_MS = 100;
/**
 * The fastest of several rounds is measured, in processor time: the machine may be busy, and the
 * first round includes compilation.
 */
const ROUNDS = 5;

const names = Array.from({ length: MODELS }, (_, index) => `m${index}`);
const host = hostOf(names);

function ledgers(): BackendLedger[] {
  return Array.from({ length: BACKENDS }, (_, index) => {
    const ledger = new BackendLedger(`b${index}`);
    const held = [names[index] ?? '', names[(index * 7 + 101) % MODELS] ?? ''];
    const report = {
      busy: false,
      sequence: 0,
      models: held.map((name) => ({ name, adapters: [] })),
      coming: [],
      inMemory: [],
      onDisk: names.slice(index, index + 5),
      waiting: 0,
      running: 0,
    };
    ledger.applyReport(report, 0);
    ledger.applyReport(report, 1_000);
    return ledger;
  });
}

function demandOfAllDaemons(now: number): ModelDemand {
  const demand = new ModelDemand();
  for (let daemon = 0; daemon < DAEMONS; daemon++) {
    const samples: DemandSample[] = [];
    const use: BackendUse[] = [];
    for (let index = 0; index < 6; index++) {
      const number = (daemon * 6 + index) % MODELS;
      samples.push(demandSampleOf(names[number] ?? '', { waiting: daemon % 2 }));
      use.push({
        backend: `b${number % BACKENDS}`,
        model: names[number % BACKENDS] ?? '',
        adapter: undefined,
        inFlight: 1,
      });
    }
    demand.applyReport({ daemon: `d${daemon}`, samples, use, failing: [] }, now);
  }
  return demand;
}

/** Returns the lowest processor time of a round, in milliseconds. */
function fastestRoundMs(input: PlanningInput): number {
  const rounds = Array.from({ length: ROUNDS }, () => {
    const planner = new PlacementPlanner();
    const before = process.cpuUsage();
    const orders = planner.plan(input);
    planner.forecasts(input);
    expect(orders.length).toBeGreaterThan(0);
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000;
  });
  return Math.min(...rounds);
}

describe('a planning round at size', () => {
  const now = 10_000;
  const input: PlanningInput = {
    host,
    backends: ledgers(),
    demand: demandOfAllDaemons(now),
    now,
    storeLoads: 1,
    storeSlotWaitsMs: [0],
    unloadTimes: new UnloadTimeEstimator(),
    policies: LOAD_POLICIES,
  };

  it('takes little processor time for hundreds of waiting models', () => {
    expect(fastestRoundMs(input)).toBeLessThan(MAX_ROUND_CPU_MS);
  });

  it('takes little processor time if all models and backends have different learned speeds', () => {
    const speeds = new Map(input.backends.map(({ id }, index) => [id, 0.5 + (index % 7) / 5]));
    const gaps = new Map(names.map((name, index) => [name, 40 + (index % 11) * 15]));
    const view = new LearnedCapacity({ speeds, gaps, pauseShares: [] });
    const capacity = { view, pauseGoalMs: () => 200 };
    expect(fastestRoundMs({ ...input, capacity })).toBeLessThan(MAX_ROUND_CPU_MS);
  });
});
