/** Determines the place of a request in a backend's slot queue. */
import { FIRST_PART_MS } from '../core/hold-policy.js';
import type { Route } from '../core/service-configuration.js';
import type { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import type { RequestAttempts } from './request-attempts.js';
import type { SlotDetails } from './request-dispatch.js';
import type { RequestStream } from './request-stream.js';
import { steadyNow } from './steady-clock.js';
import type { TenantAdmission } from './tenant-admission.js';

/**
 * Waiting time credited to a caller that was refused before, so that it goes ahead of callers that have not
 * waited yet. It equals one rank (four steps) in `slot-queue.ts`.
 */
const RETRY_HEADSTART_MS = 1_200;

/** What the place of a request depends on. */
export interface SlotRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly admission: Pick<TenantAdmission, 'tenant'>;
  /** Whether a backend must have loaded a model for it. */
  readonly needsModel: boolean;
  readonly answer: Pick<CallerAnswer, 'hasBegun'>;
  readonly stream: Pick<RequestStream, 'isResumed'>;
  readonly attempts: Pick<RequestAttempts, 'sends'>;
  readonly wasRefused: boolean;
  /** Steady time at which the answer must begin to meet the route's goal. */
  readonly dueAt: number;
  /** Steady time of the request's deadline. */
  readonly deadlineAt: number;
}

/** Returns the properties that determine the request's place in a slot queue. A stream that has begun takes precedence. */
export function slotDetailsOf(slot: SlotRequest): SlotDetails {
  const { request, route, admission, stream, attempts } = slot;
  const { hasBegun } = slot.answer;
  const { head } = request;
  // Services without models answer quickly and in one piece, so a caller can be served until it disconnects.
  const reserveMs = slot.needsModel ? FIRST_PART_MS : 0;
  const leavesAt = hasBegun ? Infinity : request.arrivedAt + route.callerTimeoutMs;
  return {
    request: head.attemptId,
    rank: hasBegun || stream.isResumed ? 0 : (admission.tenant?.priority ?? route.priority),
    arrivedAt: request.arrivedAt - (slot.wasRefused ? RETRY_HEADSTART_MS : 0),
    dueAt: attempts.sends > 0 ? steadyNow() : slot.dueAt,
    giveUpAt: Math.min(slot.deadlineAt, leavesAt) - reserveMs,
    tenant: admission.tenant?.name ?? '',
    work: Math.round(head.expectedWork ?? 0),
  };
}
