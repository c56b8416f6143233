/** Models, demand samples and updates for tests of the gateway's decisions. */
import type { DemandSample } from '../../src/core/demand-report.js';
import { DEFAULT_POLICIES, type Policies } from '../../src/core/policies.js';
import type { PlacementUpdate } from '../../src/core/placement-update.js';
import type { ModelHostSpec, ModelSpec } from '../../src/core/service-configuration.js';

/** Creates a model of the given size. */
export function modelOf(name: string, megabytes = 70): ModelSpec {
  return {
    name,
    megabytes,
    adapters: 4,
    adapterMegabytes: 1,
    storeLoadSeconds: 4,
    diskLoadSeconds: 1.7,
    memoryLoadSeconds: 1.3,
  };
}

/** Creates a host specification whose backends have memory for two models of the default size. */
export function hostOf(models: readonly string[]): ModelHostSpec {
  return {
    slots: 64,
    cacheTokens: 100_000,
    megabytes: 150,
    adapterSlots: 2,
    loadsPerSecond: 2,
    models: models.map((name) => modelOf(name)),
  };
}

/** Creates a demand sample of one request that waits for a model. */
export function demandSampleOf(model: string, part: Partial<DemandSample> = {}): DemandSample {
  return {
    model,
    adapter: undefined,
    arrivals: 1,
    waiting: 1,
    goalMs: 6_000,
    dueInMs: part.goalMs ?? 6_000,
    ...part,
  };
}

/** Creates a full update of the first owner of service "s". */
export function updateOf(part: Partial<PlacementUpdate> = {}): PlacementUpdate {
  return {
    service: 's',
    epoch: 1,
    version: 1,
    baseVersion: undefined,
    backends: new Map(),
    removedBackends: [],
    forecasts: new Map(),
    removedForecasts: [],
    loads: new Map(),
    storeLoadLimit: 0,
    ...part,
  };
}

/**
 * Policies of a deployment under load; policies whose benefit is not established yet are tested
 * separately.
 */
export const LOAD_POLICIES: Policies = {
  ...DEFAULT_POLICIES,
  forecastAll: true,
  relieveCrowdedCopies: true,
  sharedSlots: true,
  learnedCapacity: true,
};
