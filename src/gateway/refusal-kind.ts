/** The kinds of errors with which a gateway refuses requests. */

/** Why a request that has not run is refused. */
export type RefusalKind =
  | 'no_capacity'
  | 'engine_refused'
  | 'deadline_unreachable'
  | 'draining'
  | 'unauthorized'
  | 'not_ready'
  /** The requests of all callers take too much memory. */
  | 'overloaded'
  | 'rate_limited'
  | 'crashes_backends'
  | 'stream_not_resumable'
  /** A defect of this daemon ended the request. */
  | 'internal_not_sent';
