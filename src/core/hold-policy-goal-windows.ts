/**
 * Decides by fixed time windows: a share of the latency goal within which a refusal counts
 * as early, and a share of the time left until the deadline. A caller that retries after a
 * refusal is held while it can still be served. Pure.
 */
import {
  retryAfterFor,
  FIRST_PART_MS,
  type HeldRequest,
  type HoldDecision,
  type HoldPolicy,
} from './hold-policy.js';

/** Share of the goal within which a refusal still helps the caller. */
const EARLY_REFUSAL_SHARE = 0.22;
/** Relative error assumed for a forecast. */
const FORECAST_ERROR_SHARE = 0.25;
/** Absolute error assumed for a forecast, in addition to the relative error. */
const FORECAST_ERROR_MS = 500;

/** Share of the total time until the deadline for which a retrying caller is held without a forecast. */
const NO_FORECAST_HOLD_SHARE = 0.4;

/** Whether a held request can probably be served before its deadline. */
function canMeetDeadline(request: HeldRequest): boolean {
  const { waitedMs, remainingMs, readyInMs } = request;
  if (readyInMs === undefined) return waitedMs < (waitedMs + remainingMs) * NO_FORECAST_HOLD_SHARE;
  return readyInMs * (1 + FORECAST_ERROR_SHARE) + FORECAST_ERROR_MS < remainingMs;
}

function holdOrRefuse(request: HeldRequest): HoldDecision {
  const { goalMs, waitedMs, remainingMs, readyInMs } = request;
  const retryAfterMs = retryAfterFor(readyInMs);
  if (request.isRetry) {
    return canMeetDeadline(request) ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
  }
  if (readyInMs === undefined) {
    const maxWaitMs = goalMs * EARLY_REFUSAL_SHARE;
    return waitedMs < maxWaitMs ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
  }
  if (readyInMs + FIRST_PART_MS >= remainingMs) return { type: 'refuse', retryAfterMs };
  const meetsGoal = waitedMs + readyInMs + FIRST_PART_MS <= goalMs;
  const isLateToRefuse = waitedMs > goalMs * EARLY_REFUSAL_SHARE;
  return meetsGoal || isLateToRefuse ? { type: 'hold' } : { type: 'refuse', retryAfterMs };
}

/** The policy; it keeps no state. */
export class GoalWindowHold implements HoldPolicy {
  decide(request: HeldRequest): HoldDecision {
    return holdOrRefuse(request);
  }

  recordWait(): void {
    // The windows are fixed, so observed waits are ignored.
  }
}
