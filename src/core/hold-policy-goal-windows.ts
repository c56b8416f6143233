/**
 * Holds by windows: shares of the goal in which a refusal is early, and shares of the
 * time that is left. A caller that has come back is held while it can be served. Pure.
 */
import {
  comeBackAfterMs,
  FIRST_PART_MS,
  type HeldRequest,
  type HoldDecision,
  type HoldPolicy,
} from './hold-policy.js';

/** Share of the goal in which a refusal still serves the caller. */
const EARLY_REFUSAL_SHARE = 0.22;
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

function holdOrRefuse(request: HeldRequest): HoldDecision {
  const { goalMs, waitedMs, remainingMs, readyInMs } = request;
  const retryAfterMs = comeBackAfterMs(readyInMs);
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

/** The policy; it learns nothing. */
export class GoalWindowHold implements HoldPolicy {
  decide(request: HeldRequest): HoldDecision {
    return holdOrRefuse(request);
  }

  noteWait(): void {
    // Its windows are fixed.
  }
}
