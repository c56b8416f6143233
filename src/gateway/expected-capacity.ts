/** What a request goes by of the backends' capacity: their speeds, and its risk of late pauses there. */
import { UNIFORM_CAPACITY, type CapacityView } from '../core/capacity/capacity-view.js';
import { backendsExemptFromEjection } from '../core/capacity/ejection-limit.js';
import type { StreamGaps } from '../core/capacity/gap-samples.js';
import {
  isStream,
  type BackendRecord,
  type ModelReference,
  type Route,
} from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';

/** A request, as far as capacity concerns it. */
export interface CapacityNeed {
  readonly service: string;
  readonly route: Route;
  /** Undefined if the service's backends load no models. */
  readonly model: ModelReference | undefined;
}

/** Fields of a candidate for the selection. */
export interface CandidateCapacity {
  readonly speed: number;
  readonly pauseRisk: number;
}

/** What is expected of each backend at one moment. */
export function capacityFor(
  context: GatewayContext,
  need: CapacityNeed,
  now: number,
): (backend: string) => CandidateCapacity {
  const { service, route, model } = need;
  const view = viewOf(context, service, now);
  return (backend) => {
    const isRisky = isStream(route) && model !== undefined;
    const pauseRisk = isRisky ? view.pauseRisk(backend, model.model, route.pauseGoalMs) : 0;
    return { speed: view.speedOf(backend), pauseRisk };
  };
}

function viewOf(context: GatewayContext, service: string, now: number): CapacityView {
  if (!context.settings.policies.learnedCapacity) return UNIFORM_CAPACITY;
  return context.directory.capacityOf(service, now);
}

/**
 * Those of `usable` that are left alone though more of the service is than should be; none unless
 * nobody else can take a request.
 */
export function sparedOf(
  context: GatewayContext,
  service: string,
  usable: readonly BackendRecord[],
  now: number,
): BackendRecord[] {
  const { settings, directory, health } = context;
  if (!settings.policies.learnedCapacity || usable.length === 0) return [];
  const serving = directory.servingBackends(service);
  const avoided = serving
    .map(({ id }) => ({ id, until: health.ejectedUntil(id) }))
    .filter(({ until }) => until > now);
  const spared = backendsExemptFromEjection(avoided, serving.length);
  return usable.filter((backend) => spared.has(backend.id));
}

/**
 * Where the gaps of a request's stream are noted; undefined if they tell nothing of the backend. A
 * stream that goes on after a break is left out: events that the caller has come at once.
 */
export function watchedGaps(
  context: GatewayContext,
  need: CapacityNeed,
  backend: string,
  isResumed: boolean,
): StreamGaps | undefined {
  const { service, route, model } = need;
  const isLearned = context.settings.policies.learnedCapacity && isStream(route);
  if (!isLearned || isResumed || model === undefined) return undefined;
  return context.tracker.gapsOf(service).measureStream(backend, model.model, route.pauseGoalMs);
}
