/**
 * Whether a request for a model that no backend holds waits, or is refused at
 * once with the time at which to come back. Pure.
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

/** Share of the goal in which a refusal still serves the caller. */
const EARLY_REFUSAL_SHARE = 0.22;
/** Time that a request needs at the backend before its first part. */
export const FIRST_PART_MS = 150;
/** Time to come back after, when nobody has said when a backend is ready. */
const UNKNOWN_READY_MS = 1_500;
/** Added to the time to come back after, so that the load has ended. */
const RETRY_MARGIN_MS = 150;

/** A forecast may be wrong by this share of itself, and by this time besides. */
const FORECAST_ERROR_SHARE = 0.25;
const FORECAST_ERROR_MS = 500;

/** Without a forecast a caller that has come back is held for so much of the time that it has left. */
const BLIND_SHARE = 0.4;

/** Whether a held request can probably be served before its deadline. */
function mayStillBeServed(request: HeldRequest): boolean {
  const { waitedMs, remainingMs, readyInMs } = request;
  if (readyInMs === undefined) return waitedMs < (waitedMs + remainingMs) * BLIND_SHARE;
  return readyInMs * (1 + FORECAST_ERROR_SHARE) + FORECAST_ERROR_MS < remainingMs;
}

/** Decides for a request that no backend can take now. */
export function holdOrRefuse(request: HeldRequest): HoldDecision {
  const { goalMs, waitedMs, remainingMs, readyInMs } = request;
  const retryAfterMs = (readyInMs ?? UNKNOWN_READY_MS) + RETRY_MARGIN_MS;
  if (request.hasComeBack) {
    return mayStillBeServed(request) ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
  }
  if (readyInMs === undefined) {
    const patience = goalMs * EARLY_REFUSAL_SHARE;
    return waitedMs < patience ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
  }
  if (readyInMs + FIRST_PART_MS >= remainingMs) return { type: 'refuse', retryAfterMs };
  const inTime = waitedMs + readyInMs + FIRST_PART_MS <= goalMs;
  const tooLateToRefuse = waitedMs > goalMs * EARLY_REFUSAL_SHARE;
  return inTime || tooLateToRefuse ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
}
