/**
 * Whether a request for a model that no backend holds waits, or is refused at
 * once with the time at which to come back. An interface; each file beside it
 * named `hold-policy-` is a policy.
 */

/** A request that cannot be sent now. */
export interface HeldRequest {
  /** Time to the first part of the answer that the caller wants. */
  readonly goalMs: number;
  /** Time since it arrived. */
  readonly waitedMs: number;
  /** Time until its deadline, or until its caller leaves because nothing has come. */
  readonly remainingMs: number;
  /** Expected time until a backend can take it; undefined if nobody has said. */
  readonly readyInMs: number | undefined;
  /** The caller was refused before: it will not come a third time. */
  readonly hasComeBack: boolean;
}

/** What becomes of it. */
export type HoldDecision =
  { readonly type: 'hold' } | { readonly type: 'refuse'; readonly retryAfterMs: number };

/** How a wait that was told in advance went. */
export interface ObservedWait {
  /** Expected time until a backend could take the request, as it was first told. */
  readonly toldMs: number;
  /** Time until one did, or until the request ended without one. */
  readonly spentMs: number;
  readonly wasSent: boolean;
}

/** Decides for requests that no backend can take now. */
export interface HoldPolicy {
  decide(request: HeldRequest): HoldDecision;
  /** A held request has been sent, or has ended unsent. */
  noteWait(wait: ObservedWait): void;
}

/** Time that a request needs at the backend before its first part. */
export const FIRST_PART_MS = 150;
/** Time to come back after, when nobody has said when a backend is ready. */
const UNKNOWN_READY_MS = 1_500;
/** Added to the time to come back after, so that the load has ended. */
const RETRY_MARGIN_MS = 150;

/** What a refused caller is told. */
export function comeBackAfterMs(readyInMs: number | undefined): number {
  return (readyInMs ?? UNKNOWN_READY_MS) + RETRY_MARGIN_MS;
}
