/** Determines the place of a request in a backend's slot queue. */
import { FIRST_PART_MS } from '../core/hold-policy.js';
import type { Route } from '../core/service-configuration.js';
import type { CallerRequest } from './caller-request.js';
import type { SlotDetails } from './request-dispatch.js';
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
  /** Whether its answer has begun. */
  readonly hasBegun: boolean;
  /** Whether it resumes a stream that an earlier answer has begun. */
  readonly isResumed: boolean;
  readonly wasSent: boolean;
  readonly wasRefused: boolean;
  /** Steady time at which the answer must begin to meet the route's goal. */
  readonly dueAt: number;
  /** Steady time of the request's deadline. */
  readonly deadlineAt: number;
}

/** Returns the properties that determine the request's place in a slot queue. A stream that has begun takes precedence. */
export function slotDetailsOf(slot: SlotRequest): SlotDetails {
  const { request, route, admission, hasBegun } = slot;
  const { head } = request;
  // Services without models answer quickly and in one piece, so a caller can be served until it disconnects.
  const reserveMs = slot.needsModel ? FIRST_PART_MS : 0;
  const leavesAt = hasBegun ? Infinity : request.arrivedAt + route.callerTimeoutMs;
  return {
    request: head.attemptId,
    rank: hasBegun || slot.isResumed ? 0 : (admission.tenant?.priority ?? route.priority),
    arrivedAt: request.arrivedAt - (slot.wasRefused ? RETRY_HEADSTART_MS : 0),
    dueAt: slot.wasSent ? steadyNow() : slot.dueAt,
    giveUpAt: Math.min(slot.deadlineAt, leavesAt) - reserveMs,
    tenant: admission.tenant?.name ?? '',
    work: Math.round(head.expectedWork ?? 0),
  };
}
