/** Input and results of a planning round. Types only. */
import type { BackendLedger } from './backend-ledger.js';
import type { PlanningCapacity } from './capacity/copy-quality.js';
import type { ModelDemand } from './model-demand.js';
import type { ModelOrder } from './model-order.js';
import type { Policies } from './policies.js';
import type { ModelHostSpec } from './service-configuration.js';
import type { UnloadTimeEstimator } from './unload-time-estimator.js';

/** Location of a copy of a model's weights, nearest first. */
export type WeightsLocation = 'memory' | 'disk' | 'store';

/** An order to give. */
export interface PlannedOrder {
  readonly backend: string;
  readonly order: ModelOrder;
  /** Expected milliseconds until the order is carried out. */
  readonly durationMs: number;
  /** Location from which a model is loaded; undefined for other orders. */
  readonly copy: WeightsLocation | undefined;
  /** Reason for the order, for the log. */
  readonly reason: string;
}

/** Input of a planning round. */
export interface PlanningInput {
  readonly host: ModelHostSpec;
  /** Backends that may be given orders. */
  readonly backends: readonly BackendLedger[];
  readonly demand: ModelDemand;
  readonly policies: Policies;
  readonly now: number;
  /** Number of loads from the weight store that may start now under the rate ceiling. */
  readonly storeLoads: number;
  /**
   * Milliseconds until each slot for a load from the weight store is free, one per allowed
   * concurrent load.
   */
  readonly storeSlotWaitsMs: readonly number[];
  readonly unloadTimes: UnloadTimeEstimator;
  /** Speeds of the backends; absent if all are treated as equal. */
  readonly capacity?: PlanningCapacity | undefined;
}

/** Plans orders and forecasts; implemented by each planning strategy. */
export interface LoadPlanner {
  /** Returns the orders to give now, at most one per backend. */
  plan(input: PlanningInput): PlannedOrder[];
  /**
   * Returns the milliseconds until models and adapters that requests wait for, and that no backend
   * has loaded, are expected to be loaded.
   */
  forecasts(input: PlanningInput): Map<string, number>;
}
