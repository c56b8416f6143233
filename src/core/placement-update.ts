/**
 * The owner's word on where a service's models are, as it travels: everything
 * once, then what has changed. Types only; times are relative, because daemons'
 * clocks differ.
 */
import type { LearnedFigures } from './capacity/learned-capacity.js';
import type { HeldModel } from './service-configuration.js';

/** A model at a backend, as its owner tells. */
export interface PlacedModel extends HeldModel {
  /** Milliseconds until it is loaded, from when the owner said so; 0 when it is. */
  readonly readyInMs: number;
  /** No new request may go there. */
  readonly unloading: boolean;
}

/** What an owner tells of its service. */
export interface PlacementUpdate {
  readonly service: string;
  /** Fencing token of the owner. */
  readonly epoch: number;
  /** Rises with each change within an epoch. */
  readonly version: number;
  /** The version that the changes apply to; undefined if everything is told. */
  readonly baseVersion: number | undefined;
  /** Backends whose models have changed, or all of them. */
  readonly backends: ReadonlyMap<string, readonly PlacedModel[]>;
  readonly removedBackends: readonly string[];
  /** Milliseconds until a model that no backend holds is expected to be loaded. */
  readonly forecasts: ReadonlyMap<string, number>;
  readonly removedForecasts: readonly string[];
  /** Loads from the weight store that may run at once, as the owner has learned; 0 if nothing is known. */
  readonly storeLoadLimit: number;
  /** Requests that all daemons together have in flight at a backend, where that has changed much. */
  readonly loads: ReadonlyMap<string, number>;
  /** Speeds and gaps that have changed, and all shares if they have; absent if nothing has. */
  readonly capacity?: LearnedFigures | undefined;
}
