/**
 * Estimates of the backends' capacity for a request: their speeds, and the risk of pauses longer than the
 * route's goal.
 */
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

/** The properties of a request that the capacity estimates depend on. */
export interface CapacityQuery {
  readonly service: string;
  readonly route: Route;
  /** Undefined if the service's backends do not load models. */
  readonly model: ModelReference | undefined;
}

/** Capacity estimates of one candidate for the backend selection. */
export interface CandidateCapacity {
  readonly speed: number;
  readonly pauseRisk: number;
}

/** Returns a function that estimates each backend's capacity at `now`. */
export function capacityFor(
  context: GatewayContext,
  query: CapacityQuery,
  now: number,
): (backend: string) => CandidateCapacity {
  const { service, route, model } = query;
  const view = viewOf(context, service, now);
  return (backend) => {
    const isModelStream = isStream(route) && model !== undefined;
    const pauseRisk = isModelStream ? view.pauseRisk(backend, model.model, route.pauseGoalMs) : 0;
    return { speed: view.speedOf(backend), pauseRisk };
  };
}

function viewOf(context: GatewayContext, service: string, now: number): CapacityView {
  if (!context.settings.policies.learnedCapacity) return UNIFORM_CAPACITY;
  return context.directory.capacityOf(service, now);
}

/**
 * Returns the backends of `usable` that may be sent requests although they are ejected, because more of the
 * service's backends are ejected than the limit allows. Call it only if no other backend can take the request.
 */
export function exemptFromEjection(
  context: GatewayContext,
  service: string,
  usable: readonly BackendRecord[],
  now: number,
): BackendRecord[] {
  const { settings, directory, health } = context;
  if (!settings.policies.learnedCapacity || usable.length === 0) return [];
  const serving = directory.servingBackends(service);
  const ejected = serving
    .map(({ id }) => ({ id, until: health.ejectedUntil(id) }))
    .filter(({ until }) => until > now);
  const exempt = backendsExemptFromEjection(ejected, serving.length);
  return usable.filter((backend) => exempt.has(backend.id));
}

/**
 * Returns the recorder for the gaps of a request's stream; undefined if the gaps say nothing about the backend.
 * A resumed stream is not recorded, because the events that the caller already has arrive at once.
 */
export function gapRecorder(
  context: GatewayContext,
  query: CapacityQuery,
  backend: string,
  isResumed: boolean,
): StreamGaps | undefined {
  const { service, route, model } = query;
  const isLearned = context.settings.policies.learnedCapacity && isStream(route);
  if (!isLearned || isResumed || model === undefined) return undefined;
  return context.tracker.gapsOf(service).measureStream(backend, model.model, route.pauseGoalMs);
}
