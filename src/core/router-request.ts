/** A router's options, and the state of one request at a router. */
import type { ErrorKind } from '../common/errors.js';
import type { ReplicaChoice } from './replica-choice.js';
import type { RoutedRequest, RoutingDirectory } from './router-messages.js';

/** Identity, configuration and policy of a router. */
export interface RouterOptions {
  /** This daemon's peer address. */
  readonly self: string;
  readonly directory: RoutingDirectory;
  readonly choice: ReplicaChoice;
}

/** Processing phase of a request. */
export type RequestPhase =
  'claiming' | 'waiting' | 'sent' | 'streaming' | 'resuming' | 'cancelling';

/** State of one request at a router. */
export interface RequestState {
  readonly request: RoutedRequest;
  phase: RequestPhase;
  engine: string;
  /** Incarnation of the engine process that the request was sent to. */
  incarnation: string;
  /** Whether the idempotency key is claimed or not needed, so that the request may be sent. */
  claimed: boolean;
  /** Whether the engine has accepted the request. */
  started: boolean;
  /** Whether an earlier attempt may have run; if so, the router never reports the request as not run. */
  mayHaveRun: boolean;
  tokens: number;
  /** Resume attempts since the last token. */
  resumes: number;
  /** Attempts that engines refused or reported as not run. */
  refusals: number;
}

/** Returns the error kind for a request whose deadline has passed. */
export function deadlineKind(state: RequestState): ErrorKind {
  if (state.engine === '') return 'deadline_exceeded_waiting';
  return state.started ? 'deadline_exceeded_running' : 'engine_outcome_unknown';
}
