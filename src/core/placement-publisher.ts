/**
 * Builds placement updates for the daemons from the owner's state: the changes since the
 * last update, or a full update for a daemon that missed one.
 * Pure; times are milliseconds of the owner's monotonic clock.
 */
import { CapacityChanges } from './capacity/capacity-changes.js';
import type { CapacityFigures } from './capacity/learned-capacity.js';
import type { PlacedModel, PlacementUpdate } from './placement-update.js';

/** A model at a backend, in the owner's state. */
export interface KnownPlacement {
  readonly name: string;
  readonly adapters: readonly string[];
  /** Time at which the model is expected to be loaded; 0 if it is loaded. */
  readonly readyAt: number;
  readonly unloading: boolean;
}

/** The owner's complete state of placements. */
export interface PlacementState {
  readonly backends: ReadonlyMap<string, readonly KnownPlacement[]>;
  /** Expected load times of models that no backend has loaded. */
  readonly forecasts: ReadonlyMap<string, number>;
  /** Requests in flight at each backend. */
  readonly loads: ReadonlyMap<string, number>;
  /** Maximum number of concurrent loads from the weight store; 0 if unknown. */
  readonly storeLoadLimit: number;
  /**
   * A backend's number of requests in flight is published again only if it changes by at least this
   * much.
   */
  readonly loadTolerance: number;
  /** Estimated speeds of the backends; absent if they are not learned. */
  readonly capacity?: CapacityFigures | undefined;
}

/** A forecast is published again only if it moves by at least this much. */
const FORECAST_TOLERANCE_MS = 300;

interface PublishedBackend {
  readonly models: readonly KnownPlacement[];
  /** Equal for equal lists of models. */
  readonly fingerprint: string;
}

/** Tracks what has been published to the daemons in one epoch. */
export class PlacementPublisher {
  private version = 0;
  private backends = new Map<string, PublishedBackend>();
  private forecasts = new Map<string, number>();
  private loads = new Map<string, number>();
  private storeLoadLimit = 0;
  private readonly capacity = new CapacityChanges();

  constructor(
    private readonly service: string,
    private readonly epoch: number,
    /**
     * A forecast is also not published again if it moves by less than this share of its remaining
     * time.
     */
    private readonly forecastToleranceShare = 0,
  ) {}

  /**
   * Returns the next update; the first one is a full update. Without changes, it only shows that
   * the owner is alive.
   */
  nextUpdate(state: PlacementState, now: number): PlacementUpdate {
    this.storeLoadLimit = state.storeLoadLimit;
    const changedBackends = this.applyBackends(state);
    const removedBackends = removeMissing(this.backends, state.backends);
    const changedForecasts = this.applyForecasts(state, now);
    const removedForecasts = removeMissing(this.forecasts, state.forecasts);
    const changedLoads = this.applyLoads(state);
    const capacity = this.capacity.takeChanges(state.capacity);
    const changes = [
      changedLoads,
      changedBackends,
      removedBackends,
      changedForecasts,
      removedForecasts,
    ];
    const baseVersion = this.version;
    if (baseVersion === 0) return this.firstUpdate(now);
    const isChanged = changes.some((names) => names.length > 0);
    if (isChanged || capacity !== undefined) this.version += 1;
    const content = this.contentOf(changedBackends, changedForecasts, changedLoads, now);
    return { ...content, baseVersion, removedBackends, removedForecasts, capacity };
  }

  /** Returns a full update, for a daemon that missed an update. */
  fullUpdate(now: number): PlacementUpdate {
    const { backends, forecasts, loads } = this;
    const content = this.contentOf(
      [...backends.keys()],
      [...forecasts.keys()],
      [...loads.keys()],
      now,
    );
    const capacity = this.capacity.snapshot();
    return {
      ...content,
      baseVersion: undefined,
      removedBackends: [],
      removedForecasts: [],
      capacity,
    };
  }

  private firstUpdate(now: number): PlacementUpdate {
    this.version = 1;
    return this.fullUpdate(now);
  }

  private applyBackends(state: PlacementState): string[] {
    const changed: string[] = [];
    for (const [backend, models] of state.backends) {
      const fingerprint = fingerprintOf(models);
      if (this.backends.get(backend)?.fingerprint === fingerprint) continue;
      this.backends.set(backend, { models, fingerprint });
      changed.push(backend);
    }
    return changed;
  }

  private applyForecasts(state: PlacementState, now: number): string[] {
    const changed: string[] = [];
    for (const [model, readyAt] of state.forecasts) {
      const published = this.forecasts.get(model);
      const share = (readyAt - now) * this.forecastToleranceShare;
      const tolerance = Math.max(FORECAST_TOLERANCE_MS, share);
      if (published !== undefined && Math.abs(published - readyAt) < tolerance) continue;
      this.forecasts.set(model, readyAt);
      changed.push(model);
    }
    return changed;
  }

  private applyLoads(state: PlacementState): string[] {
    const changed: string[] = [];
    for (const [backend, inFlight] of state.loads) {
      const published = this.loads.get(backend) ?? 0;
      if (Math.abs(published - inFlight) < state.loadTolerance) continue;
      this.loads.set(backend, inFlight);
      changed.push(backend);
    }
    removeMissing(this.loads, state.loads);
    return changed;
  }

  private contentOf(
    backends: readonly string[],
    forecasts: readonly string[],
    loads: readonly string[],
    now: number,
  ): Omit<PlacementUpdate, 'baseVersion' | 'removedBackends' | 'removedForecasts'> {
    const { service, epoch, version, storeLoadLimit } = this;
    return {
      service,
      epoch,
      version,
      storeLoadLimit,
      backends: new Map(backends.map((backend) => [backend, this.modelsOf(backend, now)])),
      forecasts: new Map(forecasts.map((model) => [model, this.forecastOf(model, now)])),
      loads: new Map(loads.map((backend) => [backend, this.loads.get(backend) ?? 0])),
    };
  }

  private modelsOf(backend: string, now: number): PlacedModel[] {
    const models = this.backends.get(backend)?.models ?? [];
    return models.map(({ name, adapters, readyAt, unloading }) => {
      const readyInMs = readyAt === 0 ? 0 : Math.max(1, Math.round(readyAt - now));
      return { name, adapters, readyInMs, unloading };
    });
  }

  private forecastOf(model: string, now: number): number {
    return Math.max(0, Math.round((this.forecasts.get(model) ?? now) - now));
  }
}

function fingerprintOf(models: readonly KnownPlacement[]): string {
  return models
    .map(({ name, adapters, readyAt, unloading }) => {
      return `${name} ${adapters.join(',')} ${readyAt} ${unloading}`;
    })
    .join(';');
}

/** Removes the entries that `kept` lacks, and returns their keys. */
function removeMissing(
  entries: Map<string, unknown>,
  kept: ReadonlyMap<string, unknown>,
): string[] {
  const removed = [...entries.keys()].filter((key) => !kept.has(key));
  for (const key of removed) entries.delete(key);
  return removed;
}
