/**
 * Update on the placement of a service's models that the owner sends to the daemons: the full state
 * once, then only changes. Types only; times are relative, because the daemons' clocks differ.
 */
import type { CapacityFigures } from './capacity/learned-capacity.js';
import type { HeldModel } from './service-configuration.js';

/** A model at a backend, as the service's owner reports it. */
export interface PlacedModel extends HeldModel {
  /** Milliseconds from sending of the update until the model is loaded; 0 if it is loaded. */
  readonly readyInMs: number;
  /** Whether the model is being unloaded; no new request may be sent to it. */
  readonly unloading: boolean;
}

/** Placement update for one service. */
export interface PlacementUpdate {
  readonly service: string;
  /** Fencing token of the owner. */
  readonly epoch: number;
  /** Increases with each change within an epoch. */
  readonly version: number;
  /** The version that the changes apply to; undefined for a full update. */
  readonly baseVersion: number | undefined;
  /** Backends whose models have changed, or all backends in a full update. */
  readonly backends: ReadonlyMap<string, readonly PlacedModel[]>;
  readonly removedBackends: readonly string[];
  /** Milliseconds until a model that no backend has loaded is expected to be loaded. */
  readonly forecasts: ReadonlyMap<string, number>;
  readonly removedForecasts: readonly string[];
  /**
   * Maximum number of concurrent loads from the weight store, as the owner has learned; 0 if
   * unknown.
   */
  readonly storeLoadLimit: number;
  /**
   * Requests that all daemons together have in flight at a backend; only backends where the number
   * changed by at least the tolerance.
   */
  readonly loads: ReadonlyMap<string, number>;
  /** Changed speeds and gaps, and all shares if any share changed; absent if nothing changed. */
  readonly capacity?: CapacityFigures | undefined;
}
