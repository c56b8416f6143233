/** State that a daemon's decision on a request is based on, and its age, as log fields. */
import type { LogFields } from '../common/logger.js';
import {
  isStream,
  type BackendRecord,
  type Route,
  type Service,
} from '../core/service-configuration.js';
import type { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { steadyNow } from './steady-clock.js';

/**
 * Returns the state behind a decision as fields of a log line.
 *
 * @param configuration - Version of the configuration that chose the route.
 * @param now - Steady time in milliseconds.
 */
export function decisionState(
  context: GatewayContext,
  service: Service,
  configuration: number,
  now: number,
): Record<string, number | undefined> {
  const { directory } = context;
  return {
    configuration,
    backends: directory.servingBackends(service.name).length,
    backendsAgeMs: roundedMs(context.backendsAgeMs()),
    epoch: service.modelHost === undefined ? undefined : directory.epochOf(service.name),
    placementAgeMs: roundedMs(directory.placementAgeMs(service.name, now)),
  };
}

/** A request that is about to be sent. */
export interface SentRequest {
  readonly backend: BackendRecord;
  readonly request: CallerRequest;
  /** The event after which its stream resumes. */
  readonly lastEventId: string | undefined;
  /** Peer address of the daemon that relays it; undefined to send it directly. */
  readonly relay: string | undefined;
  /** Steady time in milliseconds. */
  readonly now: number;
}

/** Returns where a request is sent and what is known about that backend, as fields of a log line. */
export function sentFields(
  { slots, permits }: Pick<GatewayContext, 'slots' | 'permits'>,
  { backend, request, lastEventId, relay, now }: SentRequest,
): LogFields {
  return {
    backend: backend.id,
    version: backend.softwareVersion,
    resumes: request.head.resumedAttemptId,
    afterEvent: lastEventId,
    relay,
    beliefAgeMs: slots?.statusAgeMs(backend.id, now),
    rateLimit: permits.perSecond(backend),
    waitedMs: Math.round(now - request.arrivedAt),
  };
}

/**
 * Returns the times of a request that has ended, as fields of a log line.
 *
 * @param arrivedAt - Steady time at which the request arrived, in milliseconds.
 */
export function timingFields(
  route: Route,
  answer: Pick<CallerAnswer, 'hasBegun' | 'headSentAt' | 'longestPauseMs'>,
  arrivedAt: number,
): { readonly milliseconds: number } & Record<string, number | undefined> {
  const { headSentAt } = answer;
  return {
    milliseconds: Math.round(steadyNow() - arrivedAt),
    firstPartMs: headSentAt && Math.round(headSentAt - arrivedAt),
    goalMs: route.goalMs,
    ...pauseFields(route, answer),
  };
}

/**
 * Returns the longest pause of a stream and the longest pause that still meets the route's goal, as fields of a log line.
 */
function pauseFields(
  route: Route,
  answer: Pick<CallerAnswer, 'hasBegun' | 'longestPauseMs'>,
): Record<string, number> {
  if (!isStream(route) || !answer.hasBegun) return {};
  const longestPauseMs = Math.round(answer.longestPauseMs);
  return { longestPauseMs, pauseGoalMs: route.pauseGoalMs };
}

/** Rounds to whole milliseconds. Returns undefined for an unknown time, which is infinite. */
function roundedMs(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
