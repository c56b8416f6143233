/**
 * What follows an attempt that did not end in an answer for the caller. The one
 * place that decides whether a request may be sent again. Pure.
 */
import { mayRepeat, type Route } from './service-configuration.js';
import type { Ran } from '../common/errors.js';

/** An attempt that failed. */
export interface FailedAttempt {
  /** Whether the request ran at the backend. */
  readonly ran: Ran;
  /** Whether any byte of it may have reached the backend, so that it counts as a repeated send. */
  readonly reached: boolean;
}

/** What a request has used up so far. */
export interface AttemptHistory {
  /** Backends at which it ran or may have run. */
  readonly runs: number;
  /** Times that it was sent. */
  readonly sends: number;
}

/** What to do now. */
export type NextStep =
  /** Send it again, to another backend where there is one. */
  | 'retry'
  /** Give up; the request has not run. */
  | 'refuse'
  /** Give up; the request has run or may have run. */
  | 'fail';

/** Sends of one request, refused ones included; keeps a storm of refusals short. */
const MOST_SENDS = 4;
/** A backend that has not begun to answer after so many goals is left for another, but not earlier than after: */
const SILENT_GOALS = 2.2;
const SHORTEST_SILENCE_MS = 250;
/** A stream that rests for so many of its pause goals goes on elsewhere, but not earlier than after: */
const STALLED_PAUSES = 3.5;
const SHORTEST_STALL_MS = 600;

/** Decides after a failed attempt, which `history` includes. */
export function afterFailure(
  route: Route,
  attempt: FailedAttempt,
  history: AttemptHistory,
): NextStep {
  const mayHaveRun = history.runs > 0;
  const givenUp: NextStep = mayHaveRun && !mayRepeat(route) ? 'fail' : 'refuse';
  if (history.sends >= MOST_SENDS) return mayHaveRun ? 'fail' : givenUp;
  if (attempt.ran === 'no') return mayHaveRun && !mayRepeat(route) ? 'fail' : 'retry';
  if (!mayRepeat(route)) return 'fail';
  return history.runs < route.maxAttempts ? 'retry' : 'fail';
}

/**
 * Milliseconds without a first byte after which a request's backend is left for another; infinite if that is not allowed.
 *
 * @param runs - Backends at which the request ran before, or may have run.
 */
export function silentAfterMs(route: Route, runs: number): number {
  if (!mayRepeat(route) || runs + 1 >= route.maxAttempts) return Infinity;
  return Math.max(SHORTEST_SILENCE_MS, route.goalMs * SILENT_GOALS);
}

/** The same without a further byte of a stream, which goes on at another backend. */
export function stalledAfterMs(route: Route, runs: number): number {
  if (route.repeatability !== 'resumable_stream') return Infinity;
  if (runs + 1 >= route.maxAttempts) return Infinity;
  return Math.max(SHORTEST_STALL_MS, route.pauseGoalMs * STALLED_PAUSES);
}
