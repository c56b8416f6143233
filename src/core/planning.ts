/** What a round of planning works on, and what it brings. Types only. */
import type { BackendLedger } from './backend-ledger.js';
import type { PlannedCapacity } from './capacity/copy-quality.js';
import type { ModelDemand } from './model-demand.js';
import type { ModelOrder } from './model-order.js';
import type { Policies } from './policies.js';
import type { ModelHostSpec } from './service-configuration.js';
import type { UnloadTimes } from './unload-times.js';

/** Where a copy of a model's weights lies, nearest first. */
export type CopyPlace = 'memory' | 'disk' | 'store';

/** An order to give. */
export interface PlannedOrder {
  readonly backend: string;
  readonly order: ModelOrder;
  /** Expected time until it is carried out. */
  readonly durationMs: number;
  /** Where a model that is loaded is copied from; undefined for other orders. */
  readonly copy: CopyPlace | undefined;
  /** Why, for the log. */
  readonly reason: string;
}

/** What the planner decides on. */
export interface PlanningInput {
  readonly host: ModelHostSpec;
  /** Backends that may be given orders. */
  readonly backends: readonly BackendLedger[];
  readonly demand: ModelDemand;
  readonly policies: Policies;
  readonly now: number;
  /** Loads from the weight store that may begin now, by their ceiling. */
  readonly storeLoads: number;
  /** Milliseconds until each place for a load from the weight store is free, by the limit of loads at once. */
  readonly storePlaceWaits: readonly number[];
  readonly unloadTimes: UnloadTimes;
  /** How fast the backends are; absent if all count as alike. */
  readonly capacity?: PlannedCapacity | undefined;
}

/** Decides on orders and forecasts. An interface: each way to plan is one. */
export interface LoadPlanner {
  /** Orders to give now, at most one for each backend. */
  plan(input: PlanningInput): PlannedOrder[];
  /** Milliseconds until awaited models and adapters that nobody holds are expected to be loaded. */
  forecasts(input: PlanningInput): Map<string, number>;
}
