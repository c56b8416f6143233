/**
 * The error kinds of the service and the HTTP response of each.
 *
 * Every error that a caller or an operator can receive has one of these
 * kinds. `ran` tells whether the request ran on an engine: `no` guarantees that
 * no byte of it was sent to an engine, or that the engine itself refused it.
 */

/** Whether a request ran on an engine. */
export type Ran = 'no' | 'yes' | 'unknown';

/** The HTTP response for one kind of error. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request ran. */
  readonly ran: Ran;
  /** Default of the Retry-After header in seconds if the error sets none; 0 omits the header. */
  readonly retryAfterSeconds: number;
}

/** HTTP response by error kind; the only place that defines `status` and `ran`. */
export const ERROR_RESPONSES = {
  malformed_request: { status: 400, ran: 'no', retryAfterSeconds: 0 },
  unauthorized: { status: 401, ran: 'no', retryAfterSeconds: 0 },
  forbidden: { status: 403, ran: 'no', retryAfterSeconds: 0 },
  not_found: { status: 404, ran: 'no', retryAfterSeconds: 0 },
  unknown_tenant: { status: 404, ran: 'no', retryAfterSeconds: 0 },
  method_not_allowed: { status: 405, ran: 'no', retryAfterSeconds: 0 },
  request_timeout: { status: 408, ran: 'no', retryAfterSeconds: 0 },
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
  overloaded: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  not_ready: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  draining: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  platform_unavailable: { status: 503, ran: 'no', retryAfterSeconds: 5 },
  crashes_backends: { status: 503, ran: 'no', retryAfterSeconds: 0 },
  stream_not_resumable: { status: 503, ran: 'no', retryAfterSeconds: 0 },
  engine_refused: { status: 503, ran: 'no', retryAfterSeconds: 1 },
  deadline_exceeded_waiting: { status: 504, ran: 'no', retryAfterSeconds: 1 },
  deadline_exceeded_running: { status: 504, ran: 'yes', retryAfterSeconds: 0 },
  engine_outcome_unknown: { status: 502, ran: 'unknown', retryAfterSeconds: 0 },
  engine_failed: { status: 502, ran: 'yes', retryAfterSeconds: 1 },
  platform_outcome_unknown: { status: 504, ran: 'unknown', retryAfterSeconds: 5 },
  settings_invalid: { status: 500, ran: 'no', retryAfterSeconds: 0 },
  internal: { status: 500, ran: 'unknown', retryAfterSeconds: 0 },
  internal_not_sent: { status: 503, ran: 'no', retryAfterSeconds: 1 },
} as const satisfies Record<string, ErrorResponse>;

/** Kind of an error. */
export type ErrorKind = keyof typeof ERROR_RESPONSES;

/** An error with a kind of {@link ERROR_RESPONSES}. */
export interface ServiceError {
  readonly kind: ErrorKind;
  /** Description for people; contains no prompt and no key. */
  readonly message: string;
  /** Seconds after which a retry may succeed; by default the value of {@link ERROR_RESPONSES}. */
  readonly retryAfterSeconds?: number;
  /** For `version_conflict`: the newer version of the object, 0 if it does not exist. */
  readonly currentVersion?: number;
}

/**
 * Creates an error.
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

/** The HTTP response for an error kind. */
export function responseFor(kind: ErrorKind): ErrorResponse {
  return ERROR_RESPONSES[kind];
}

/** Value of the Retry-After header in whole seconds, rounded up; 0 omits the header. */
export function retryAfterOf(error: ServiceError): number {
  const seconds = error.retryAfterSeconds ?? responseFor(error.kind).retryAfterSeconds;
  return Math.max(0, Math.ceil(seconds));
}

/** JSON body of an error response, in the format of OpenAI clients. */
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

/** Renders the JSON body of an error response. */
export function errorBody(error: ServiceError): ErrorBody {
  const retryAfter = retryAfterOf(error);
  return {
    error: {
      type: error.kind,
      code: error.kind,
      message: error.message,
      ran: responseFor(error.kind).ran,
      retry_after: retryAfter > 0 ? retryAfter : null,
      ...(error.currentVersion === undefined ? {} : { current_version: error.currentVersion }),
    },
  };
}
