/**
 * Interface of the policies that decide whether a request for a model that no
 * backend has loaded waits, or is refused at once with a retry time. Each file
 * in this directory named `hold-policy-*` implements one policy.
 */

/** A request that cannot be sent now. */
export interface HeldRequest {
  /** The caller's goal for the time to the first part of the answer. */
  readonly goalMs: number;
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** Time until the deadline, or until the caller disconnects because it has received nothing. */
  readonly remainingMs: number;
  /** Expected time until a backend can take the request; undefined without a forecast. */
  readonly readyInMs: number | undefined;
  /** Whether the caller was refused before; it will not try a third time. */
  readonly isRetry: boolean;
}

/** Whether the request is held or refused. */
export type HoldDecision =
  { readonly type: 'hold' } | { readonly type: 'refuse'; readonly retryAfterMs: number };

/** The forecast and the actual duration of a wait. */
export interface ObservedWait {
  /** The first forecast of the time until a backend could take the request. */
  readonly forecastMs: number;
  /** Time until a backend took the request, or until the request ended unsent. */
  readonly spentMs: number;
  readonly wasSent: boolean;
}

/** Decides whether to hold requests that no backend can take now. */
export interface HoldPolicy {
  /** Returns whether the request waits or is refused now. */
  decide(request: HeldRequest): HoldDecision;
  /** Records the wait of a held request that was sent or ended unsent. */
  recordWait(wait: ObservedWait): void;
}

/** Time that a backend needs to produce the first part of an answer. */
export const FIRST_PART_MS = 150;
/** Time until a backend is ready that is assumed without a forecast. */
const DEFAULT_READY_MS = 1_500;
/** Added to the retry time so that the load has finished by then. */
const RETRY_MARGIN_MS = 150;

/** The time in milliseconds after which a refused caller should retry. */
export function retryAfterFor(readyInMs: number | undefined): number {
  return (readyInMs ?? DEFAULT_READY_MS) + RETRY_MARGIN_MS;
}
