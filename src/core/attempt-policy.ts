/**
 * Retry policy for attempts that produced no answer for the caller. Only this
 * module decides whether a request may be sent again. Pure.
 */
import { mayRepeat, type Route } from './service-configuration.js';
import type { Ran } from '../common/errors.js';

/** An attempt that failed. */
export interface FailedAttempt {
  /** Whether the request ran at the backend. */
  readonly ran: Ran;
  /** Whether any byte of the request may have reached the backend; if so, the next send counts as a retry. */
  readonly reached: boolean;
}

/** Attempts of one request so far. */
export interface AttemptHistory {
  /** Number of backends at which the request ran or may have run. */
  readonly runs: number;
  /** Number of times the request was sent. */
  readonly sends: number;
  /** Whether the caller has received a part of the answer. */
  readonly isAnswerBegun: boolean;
}

/** What to do after a failed attempt. */
export type NextStep =
  /** Send the request again, to another backend if there is one. */
  | 'retry'
  /** Send the request again after a backoff: its caller has received a part of the answer and cannot be refused. */
  | 'retry_after_backoff'
  /** Give up; the request has not run. */
  | 'refuse'
  /** Give up; the request has run or may have run. */
  | 'fail';

/** Maximum sends of one request without a backoff, including refused ones; bounds the retries when many backends refuse. */
const MAX_SENDS = 4;
/** First-byte timeout of an attempt, as a multiple of the route's latency goal. */
const FIRST_BYTE_TIMEOUT_GOALS = 2.2;
/** Lower bound of the first-byte timeout. */
const MIN_FIRST_BYTE_TIMEOUT_MS = 250;
/** Timeout between bytes of a stream, as a multiple of the route's pause goal. */
const STALL_TIMEOUT_PAUSE_GOALS = 3.5;
/** Lower bound of the timeout between bytes of a stream. */
const MIN_STALL_TIMEOUT_MS = 600;

const GIVEN_UP: FailedAttempt = { ran: 'unknown', reached: true };

/** Decides the next step after a failed attempt; `history` includes that attempt. */
export function stepAfterFailure(
  route: Route,
  attempt: FailedAttempt,
  history: AttemptHistory,
): NextStep {
  const mayHaveRun = history.runs > 0;
  const terminalStep: NextStep = mayHaveRun && !mayRepeat(route) ? 'fail' : 'refuse';
  if (history.sends >= MAX_SENDS) {
    if (history.isAnswerBegun && mayRunAgain(route, history)) return 'retry_after_backoff';
    return mayHaveRun ? 'fail' : terminalStep;
  }
  if (attempt.ran === 'no') return mayHaveRun && !mayRepeat(route) ? 'fail' : 'retry';
  return mayRunAgain(route, history) ? 'retry' : 'fail';
}

function mayRunAgain(route: Route, { runs }: Pick<AttemptHistory, 'runs'>): boolean {
  return mayRepeat(route) && runs < route.maxAttempts;
}

/** Returns whether the request could be sent again if the attempt that runs now were given up. */
function mayGiveUp(route: Route, { runs, ...history }: AttemptHistory): boolean {
  const step = stepAfterFailure(route, GIVEN_UP, { ...history, runs: runs + 1 });
  return step === 'retry' || step === 'retry_after_backoff';
}

/** Returns whether the request could be sent again if the backup beside the attempt that runs now were cancelled, and that attempt given up. */
export function mayReplaceBackup(route: Route, runs: number, sends: number): boolean {
  return mayGiveUp(route, { runs: runs + 1, sends, isAnswerBegun: false });
}

/**
 * First-byte timeout in milliseconds, after which the request is sent to another backend; infinite if it may not be
 * sent again.
 *
 * @param runs - Number of backends at which the request ran before or may have run.
 * @param sends - Number of times the request was sent, this attempt included.
 */
export function firstByteTimeoutMs(route: Route, runs: number, sends: number): number {
  if (!mayGiveUp(route, { runs, sends, isAnswerBegun: false })) return Infinity;
  return Math.max(MIN_FIRST_BYTE_TIMEOUT_MS, route.goalMs * FIRST_BYTE_TIMEOUT_GOALS);
}

/**
 * Timeout between two bytes of a stream in milliseconds, after which the stream resumes at another backend; infinite
 * if it may not resume.
 */
export function stallTimeoutMs(route: Route, runs: number, sends: number): number {
  if (route.repeatability !== 'resumable_stream') return Infinity;
  if (!mayGiveUp(route, { runs, sends, isAnswerBegun: true })) return Infinity;
  return Math.max(MIN_STALL_TIMEOUT_MS, route.pauseGoalMs * STALL_TIMEOUT_PAUSE_GOALS);
}
