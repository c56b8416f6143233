/**
 * Holds a request while it will probably be served before its deadline, judged by the
 * forecast and by the recent errors of forecasts; otherwise refuses it at once. A caller
 * that keeps its place in the queue is served sooner than one that retries, so the policy
 * ignores the time already waited and the latency goal. A hold only harms a caller that is
 * not served in the end. Pure.
 */
import {
  retryAfterFor,
  FIRST_PART_MS,
  type HeldRequest,
  type HoldDecision,
  type HoldPolicy,
  type ObservedWait,
} from './hold-policy.js';

/** Number of recent waits remembered. */
const MAX_REMEMBERED_RATIOS = 64;
/** Initial ratios of actual to forecast wait, used until waits have been observed. */
const INITIAL_RATIOS: readonly number[] = [0.8, 0.9, 1, 1, 1, 1.1, 1.25, 1.5, 2, 3];
/** Added to both times of a ratio, because the owner's planning round, not the load, dominates short waits. */
const ROUND_MS = 300;
/** A request with a lower probability of being served is refused. */
const MIN_SERVICE_PROBABILITY = 0.5;
/** An owner answers a new demand within this time; without an answer, the owner does not plan the model's load next. */
const OWNER_ANSWER_MS = 600;

/** The policy of one daemon. */
export class ExpectedServiceHold implements HoldPolicy {
  private readonly ratios = [...INITIAL_RATIOS];
  private nextIndex = 0;

  decide(request: HeldRequest): HoldDecision {
    const { readyInMs } = request;
    const mayWait =
      readyInMs === undefined ? mayGetForecast(request) : this.isLikely(request, readyInMs);
    return mayWait ? { type: 'hold' } : { type: 'refuse', retryAfterMs: retryAfterFor(readyInMs) };
  }

  /**
   * Records the ratio of actual to forecast wait. For a request that ended unsent, the time spent is only a lower bound
   * of the wait, so it counts only if it exceeds the forecast.
   */
  recordWait({ forecastMs, spentMs, wasSent }: ObservedWait): void {
    if (!wasSent && spentMs <= forecastMs) return;
    this.ratios[this.nextIndex] = (spentMs + ROUND_MS) / (forecastMs + ROUND_MS);
    this.nextIndex = (this.nextIndex + 1) % MAX_REMEMBERED_RATIOS;
  }

  private isLikely({ remainingMs }: HeldRequest, readyInMs: number): boolean {
    const available = remainingMs - FIRST_PART_MS + ROUND_MS;
    const served = this.ratios.filter((ratio) => (readyInMs + ROUND_MS) * ratio <= available);
    return served.length >= this.ratios.length * MIN_SERVICE_PROBABILITY;
  }
}

function mayGetForecast({ waitedMs, remainingMs }: HeldRequest): boolean {
  return waitedMs < Math.min(OWNER_ANSWER_MS, remainingMs / 2);
}
