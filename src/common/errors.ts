/**
 * The closed list of error kinds, and the table from kind to answer.
 *
 * Every refusal that a caller or an operator can receive is one of these
 * kinds. `ran` says whether the request ran on an engine: `no` is promised
 * only if no byte of it went to an engine, or the engine refused it itself.
 */

/** Whether a request ran on an engine. */
export type Ran = 'no' | 'yes' | 'unknown';

/** How one kind of error is answered. */
export interface ErrorAnswer {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran. */
  readonly ran: Ran;
  /** Seconds to tell the client to wait when the error itself names none; 0 for no header. */
  readonly retryAfterSeconds: number;
}

/** From kind to answer. The one place where a status or a `ran` is decided. */
export const ERROR_ANSWERS = {
  malformed_request: { status: 400, ran: 'no', retryAfterSeconds: 0 },
  unauthorized: { status: 401, ran: 'no', retryAfterSeconds: 0 },
  forbidden: { status: 403, ran: 'no', retryAfterSeconds: 0 },
  not_found: { status: 404, ran: 'no', retryAfterSeconds: 0 },
  unknown_tenant: { status: 404, ran: 'no', retryAfterSeconds: 0 },
  method_not_allowed: { status: 405, ran: 'no', retryAfterSeconds: 0 },
  version_conflict: { status: 409, ran: 'no', retryAfterSeconds: 0 },
  duplicate_request: { status: 409, ran: 'unknown', retryAfterSeconds: 0 },
  body_too_large: { status: 413, ran: 'no', retryAfterSeconds: 0 },
  header_too_large: { status: 431, ran: 'no', retryAfterSeconds: 0 },
  invalid_document: { status: 422, ran: 'no', retryAfterSeconds: 0 },
  rate_limited: { status: 429, ran: 'no', retryAfterSeconds: 1 },
  concurrency_limited: { status: 429, ran: 'no', retryAfterSeconds: 1 },
  queue_full: { status: 429, ran: 'no', retryAfterSeconds: 1 },
  deadline_unreachable: { status: 503, ran: 'no', retryAfterSeconds: 5 },
  no_capacity: { status: 503, ran: 'no', retryAfterSeconds: 5 },
  load_failed: { status: 503, ran: 'no', retryAfterSeconds: 5 },
  claim_unavailable: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  not_ready: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  draining: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  platform_unavailable: { status: 503, ran: 'no', retryAfterSeconds: 5 },
  crashes_backends: { status: 503, ran: 'no', retryAfterSeconds: 0 },
  engine_refused: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  deadline_exceeded_waiting: { status: 504, ran: 'no', retryAfterSeconds: 1 },
  deadline_exceeded_running: { status: 504, ran: 'yes', retryAfterSeconds: 0 },
  engine_outcome_unknown: { status: 502, ran: 'unknown', retryAfterSeconds: 0 },
  engine_failed: { status: 502, ran: 'yes', retryAfterSeconds: 1 },
  platform_outcome_unknown: { status: 504, ran: 'unknown', retryAfterSeconds: 5 },
  settings_invalid: { status: 500, ran: 'no', retryAfterSeconds: 0 },
  internal: { status: 500, ran: 'unknown', retryAfterSeconds: 0 },
} as const satisfies Record<string, ErrorAnswer>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERROR_ANSWERS;

/** An error of the closed list. */
export interface ServiceError {
  readonly kind: ErrorKind;
  /** What happened, for a person; holds no prompt and no key. */
  readonly message: string;
  /** Seconds after which a retry may succeed; the table's figure when absent. */
  readonly retryAfterSeconds?: number;
  /** For `version_conflict`: the newer version of the object, 0 if it does not exist. */
  readonly currentVersion?: number;
}

/**
 * Makes an error of the closed list.
 *
 * @example
 * return Result.err(serviceError('queue_full', 'tenant "till" has 64 requests waiting'));
 */
export function serviceError(
  kind: ErrorKind,
  message: string,
  extra: Pick<ServiceError, 'retryAfterSeconds' | 'currentVersion'> = {},
): ServiceError {
  return { kind, message, ...extra };
}

/** The answer for a kind. */
export function answerFor(kind: ErrorKind): ErrorAnswer {
  return ERROR_ANSWERS[kind];
}

/** Whole seconds for the Retry-After header; 0 for none. */
export function retryAfterOf(error: ServiceError): number {
  const seconds = error.retryAfterSeconds ?? answerFor(error.kind).retryAfterSeconds;
  return Math.max(0, Math.ceil(seconds));
}

/** The JSON body of an error, in the shape that OpenAI clients read. */
export interface ErrorBody {
  readonly error: {
    readonly type: ErrorKind;
    readonly code: ErrorKind;
    readonly message: string;
    readonly ran: Ran;
    readonly retry_after: number | null;
    readonly current_version?: number;
  };
}

/** Renders an error for callers and operators. */
export function errorBody(error: ServiceError): ErrorBody {
  const retryAfter = retryAfterOf(error);
  return {
    error: {
      type: error.kind,
      code: error.kind,
      message: error.message,
      ran: answerFor(error.kind).ran,
      retry_after: retryAfter > 0 ? retryAfter : null,
      ...(error.currentVersion === undefined ? {} : { current_version: error.currentVersion }),
    },
  };
}
