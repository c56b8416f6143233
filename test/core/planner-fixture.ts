/** Fixture for planner tests: a planner with backends and demand. */
import { BackendLedger } from '../../src/core/backend-ledger.js';
import type { BackendUse, DemandSample } from '../../src/core/demand-report.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import type { BackendReport } from '../../src/core/model-order.js';
import { PlacementPlanner } from '../../src/core/placement-planner.js';
import type { PlannedOrder, PlanningInput } from '../../src/core/planning.js';
import type { Policies } from '../../src/core/policies.js';
import type { ModelHostSpec } from '../../src/core/service-configuration.js';
import { UnloadTimeEstimator } from '../../src/core/unload-time-estimator.js';
import { LOAD_POLICIES, hostOf } from './gateway-fixtures.js';

/** Default host specification of the fixture. */
export const HOST = hostOf(['hot', 'warm', 'rare1', 'rare2', 'rare3', 'cool']);

/** Creates a backend's report. */
export function reportOf(
  held: readonly string[],
  part: Partial<BackendReport> = {},
): BackendReport {
  return {
    busy: false,
    sequence: 0,
    models: held.map((name) => ({ name, adapters: [] })),
    coming: [],
    inMemory: [],
    onDisk: [],
    waiting: 0,
    running: 0,
    ...part,
  };
}

/** Creates the ledger of a backend that is ready for orders. */
export function ledgerOf(
  id: string,
  held: readonly string[],
  onDisk: readonly string[] = [],
): BackendLedger {
  const ledger = new BackendLedger(id);
  const report = reportOf(held, { onDisk });
  ledger.applyReport(report, 0);
  ledger.applyReport(report, 1_000);
  return ledger;
}

/** A planner with its input; time is advanced by setting `now`. */
export class PlannerFixture {
  readonly planner = new PlacementPlanner();
  readonly demand = new ModelDemand();
  now = 10_000;

  constructor(
    readonly ledgers: readonly BackendLedger[],
    readonly policies: Policies = LOAD_POLICIES,
    readonly host: ModelHostSpec = HOST,
  ) {}

  reportDemand(...samples: DemandSample[]): void {
    this.reportDemandAndUse([], samples);
  }

  reportDemandAndUse(use: readonly BackendUse[], samples: readonly DemandSample[]): void {
    this.demand.applyReport({ daemon: 'd', samples, use, failing: [] }, this.now);
  }

  /** @param storeLoads - Number of loads from the weight store that may start now. */
  plan(storeLoads = 1): PlannedOrder[] {
    return this.planner.plan(this.input(storeLoads));
  }

  forecasts(): Map<string, number> {
    return this.planner.forecasts(this.input(1));
  }

  private input(storeLoads: number): PlanningInput {
    const { demand, host, now, policies } = this;
    return {
      host,
      backends: this.ledgers,
      demand,
      now,
      storeLoads,
      storeSlotWaitsMs: [0],
      unloadTimes: new UnloadTimeEstimator(),
      policies,
    };
  }

  /** Plans a round, and marks its orders as accepted by the backends. */
  planAndAccept(): PlannedOrder[] {
    const orders = this.plan();
    for (const { backend, order, durationMs } of orders) {
      const ledger = this.ledgers.find((candidate) => candidate.id === backend);
      ledger?.recordSent(order);
      ledger?.recordOutcome(order, { type: 'accepted' }, this.now, durationMs);
    }
    return orders;
  }
}

/** Formats orders as "backend operation model/adapter". */
export function describeOrders(orders: readonly PlannedOrder[]): string[] {
  return orders.map(({ backend, order }) => {
    const adapter = order.adapter === undefined ? '' : `/${order.adapter}`;
    return `${backend} ${order.operation} ${order.model}${adapter}`;
  });
}
