/**
 * Holds a request while it will more likely be served than not, by the forecast and by
 * how far forecasts have been off lately; else it is refused at once. A caller is served
 * sooner by its place here than by coming back, so the time that it has waited, or its
 * goal, does not matter; only one that is held in vain loses by it. Pure.
 */
import {
  comeBackAfterMs,
  FIRST_PART_MS,
  type HeldRequest,
  type HoldDecision,
  type HoldPolicy,
  type ObservedWait,
} from './hold-policy.js';

/** Waits that are remembered. */
const REMEMBERED = 64;
/** Taken before any wait was seen: time spent for time told. */
const FIRST_RATIOS: readonly number[] = [0.8, 0.9, 1, 1, 1, 1.1, 1.25, 1.5, 2, 3];
/** Added to both times of a ratio: for short ones what counts is the owner's round, not the load. */
const ROUND_MS = 300;
/** Below this chance of being served a request is refused. */
const LEAST_CHANCE = 0.5;
/** An owner answers a new demand within this time; who hears nothing by then is not among its next. */
const OWNER_WORD_MS = 600;

/** The policy of one daemon. */
export class ExpectedServiceHold implements HoldPolicy {
  private readonly ratios = [...FIRST_RATIOS];
  private next = 0;

  decide(request: HeldRequest): HoldDecision {
    const { readyInMs } = request;
    const mayWait = readyInMs === undefined ? mayHear(request) : this.isLikely(request, readyInMs);
    return mayWait
      ? { type: 'hold' }
      : { type: 'refuse', retryAfterMs: comeBackAfterMs(readyInMs) };
  }

  /** One that ended unsent took longer than it waited; how much longer is not known. */
  noteWait({ toldMs, spentMs, wasSent }: ObservedWait): void {
    if (!wasSent && spentMs <= toldMs) return;
    this.ratios[this.next] = (spentMs + ROUND_MS) / (toldMs + ROUND_MS);
    this.next = (this.next + 1) % REMEMBERED;
  }

  private isLikely({ remainingMs }: HeldRequest, readyInMs: number): boolean {
    const available = remainingMs - FIRST_PART_MS + ROUND_MS;
    const served = this.ratios.filter((ratio) => (readyInMs + ROUND_MS) * ratio <= available);
    return served.length >= this.ratios.length * LEAST_CHANCE;
  }
}

function mayHear({ waitedMs, remainingMs }: HeldRequest): boolean {
  return waitedMs < Math.min(OWNER_WORD_MS, remainingMs / 2);
}
