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
