/** Seeded in-process simulation of an owner that places models and of daemons that send streams to them. */
import { BackendLedger } from '../../../src/core/backend-ledger.js';
import { StaleLoadSelection } from '../../../src/core/backend-selection-stale-load.js';
import { UNIFORM_CAPACITY } from '../../../src/core/capacity/capacity-view.js';
import type { PlanningCapacity } from '../../../src/core/capacity/copy-quality.js';
import { ModelDemand } from '../../../src/core/model-demand.js';
import { PlacementPlanner } from '../../../src/core/placement-planner.js';
import type { PlannedOrder } from '../../../src/core/planning.js';
import { UnloadTimeEstimator } from '../../../src/core/unload-time-estimator.js';
import { LOAD_POLICIES, hostOf } from '../gateway-fixtures.js';
import { SimulatedStreams } from './simulated-streams.js';

const STEP_MS = 250;
const PAUSE_GOAL_MS = 200;
const BUSY_MODELS = ['slow', 'middle', 'fast'];
const RARE_MODELS = Array.from({ length: 9 }, (_, index) => `rare${index}`);
const HOST = hostOf([...RARE_MODELS, ...BUSY_MODELS]);
/** Initial placement. Two models fit on a backend, and the model "slow" is on the slowest ones. */
const INITIAL_MODELS: Readonly<Record<string, readonly string[]>> = {
  b0: ['slow', 'rare0'],
  b1: ['middle', 'rare1'],
  b2: ['fast', 'rare2'],
  b3: ['slow', 'rare3'],
  b4: ['rare4', 'rare5'],
  b5: ['fast', 'rare6'],
};

interface RunningStream {
  readonly backend: string;
  readonly model: string;
  readonly endsAt: number;
}

interface RunningOrder {
  readonly planned: PlannedOrder;
  readonly endsAt: number;
}

/** Simulates one service under load. */
export class PlacementSimulation {
  readonly streams: SimulatedStreams;
  /** All load orders so far, each as "backend model". */
  readonly loads: string[] = [];
  private readonly ledgers: readonly BackendLedger[];
  private readonly planner = new PlacementPlanner();
  private readonly demand = new ModelDemand();
  private readonly selection = new StaleLoadSelection('d');
  private readonly orders = new Map<string, RunningOrder>();
  private running: RunningStream[] = [];

  /** @param rate - Streams per second for each busy model. */
  constructor(
    private readonly isLearned: boolean,
    private readonly rate: number,
    seed: number,
    speeds: Readonly<Record<string, number>> = SPEEDS,
  ) {
    const paces = { slow: 0.25, middle: 0.35, fast: 1 };
    const load = { speeds: { ...speeds }, paces, held: {}, daemons: 4, rate: 0, eventsEach: 25 };
    this.streams = new SimulatedStreams(load, seed);
    this.ledgers = Object.entries(INITIAL_MODELS).map(([id, held]) => ledgerOf(id, held));
  }

  /** Advances the simulation. Returns the share of late streams among those that ended meanwhile. */
  advance(milliseconds: number): number {
    const before = { streams: this.streams.streams, late: this.streams.late };
    const until = this.streams.now + milliseconds;
    while (this.streams.now < until) this.step();
    return (this.streams.late - before.late) / Math.max(1, this.streams.streams - before.streams);
  }

  /** Returns the backends that hold a model. */
  holders(model: string): string[] {
    return this.ledgers.filter((ledger) => ledger.models.has(model)).map(({ id }) => id);
  }

  private step(): void {
    const { now } = this.streams;
    this.completeOrders(now);
    this.running = this.running.filter((stream) => stream.endsAt > now);
    const arrivals = [...BUSY_MODELS, ...RARE_MODELS].map((model) => ({
      model,
      count: this.arrivals(model),
    }));
    for (const { model, count } of arrivals) {
      for (let index = 0; index < count; index++) this.send(model, now);
    }
    this.report(arrivals, now);
    this.sendOrders(now);
    this.streams.advance(STEP_MS);
  }

  private arrivals(model: string): number {
    const rate = BUSY_MODELS.includes(model) ? this.rate : 0.02;
    const expected = (rate * STEP_MS) / 1_000;
    return Math.floor(expected) + (this.streams.random.chance(expected % 1) ? 1 : 0);
  }

  private send(model: string, now: number): void {
    const view = this.isLearned ? this.streams.estimate.view() : UNIFORM_CAPACITY;
    const holders = this.ledgers.filter((ledger) => {
      const order = ledger.currentOrder;
      return ledger.models.has(model) && !(order?.operation === 'unload' && order.model === model);
    });
    const candidates = holders.map(({ id }) => ({
      id,
      sameZone: true,
      hasConnection: true,
      slots: HOST.slots,
      inFlight: this.running.filter((stream) => stream.backend === id).length,
      failureShare: 0,
      speed: view.speedOf(id),
      pauseRisk: view.pauseRisk(id, model, PAUSE_GOAL_MS),
    }));
    const backend = this.selection.choose(candidates, undefined)?.id;
    if (backend === undefined) return;
    const startsAt = now + this.streams.random.between(0, STEP_MS);
    const endsAt = this.streams.beginStream(backend, model, startsAt);
    this.running.push({ backend, model, endsAt });
  }

  private report(arrivals: readonly { model: string; count: number }[], now: number): void {
    const samples = arrivals.map(({ model, count }) => {
      const goalMs = BUSY_MODELS.includes(model) ? 600 : 6_000;
      return { model, adapter: undefined, arrivals: count, waiting: 0, goalMs, dueInMs: goalMs };
    });
    const use = this.running.map(({ backend, model }) => {
      return { backend, model, adapter: undefined, inFlight: 1 };
    });
    this.demand.applyReport({ daemon: 'd', samples, use, failing: [] }, now);
  }

  private sendOrders(now: number): void {
    const { demand, streams, ledgers: backends } = this;
    const capacity: PlanningCapacity = {
      view: streams.estimate.steadyView(),
      pauseGoalMs: (model) => streams.estimate.pauseGoalMs(model),
    };
    const planned = this.planner.plan({
      host: HOST,
      backends,
      demand,
      now,
      storeLoads: 1,
      storeSlotWaitsMs: [0],
      unloadTimes: new UnloadTimeEstimator(),
      policies: LOAD_POLICIES,
      capacity: this.isLearned ? capacity : undefined,
    });
    for (const order of planned) this.startOrder(order, now);
  }

  private startOrder(planned: PlannedOrder, now: number): void {
    const { backend, order, durationMs } = planned;
    const ledger = this.ledgers.find(({ id }) => id === backend);
    ledger?.recordSent(order, now + durationMs);
    ledger?.recordOutcome(order, { type: 'accepted' }, now, durationMs);
    if (order.operation === 'load') this.loads.push(`${backend} ${order.model}`);
    this.orders.set(backend, { planned, endsAt: now + durationMs });
  }

  private completeOrders(now: number): void {
    for (const [backend, { planned, endsAt }] of this.orders) {
      if (endsAt > now) continue;
      this.orders.delete(backend);
      const ledger = this.ledgers.find(({ id }) => id === backend);
      if (ledger === undefined) continue;
      const { model, operation } = planned.order;
      const held = [...ledger.models.keys()].filter((name) => name !== model);
      if (operation === 'load') held.push(model);
      ledger.applyReport(reportOf(held, ledger.sequence), now);
    }
  }
}

const SPEEDS = { b0: 0.6, b1: 1, b2: 1.6, b3: 0.6, b4: 1, b5: 1.6 };

function reportOf(
  held: readonly string[],
  sequence: number,
): Parameters<BackendLedger['applyReport']>[0] {
  const models = held.map((name) => ({ name, adapters: [] }));
  const onDisk = HOST.models.map(({ name }) => name);
  const state = { busy: false, coming: [], inMemory: [], waiting: 0, running: 0 };
  return { ...state, sequence, models, onDisk };
}

function ledgerOf(id: string, held: readonly string[]): BackendLedger {
  const ledger = new BackendLedger(id);
  ledger.applyReport(reportOf(held, 0), -20_000);
  ledger.applyReport(reportOf(held, 0), -19_000);
  return ledger;
}
