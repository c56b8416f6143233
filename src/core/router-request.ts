/** What a router is given, and the state of one request at it. */
import type { ErrorKind } from '../common/errors.js';
import type { ReplicaChoice } from './replica-choice.js';
import type { RoutedRequest, RoutingDirectory } from './router-messages.js';

/** How a router decides. */
export interface RouterOptions {
  /** This daemon's peer address. */
  readonly self: string;
  readonly directory: RoutingDirectory;
  readonly choice: ReplicaChoice;
}

/** How far a request has come. */
export type RequestPhase =
  'claiming' | 'waiting' | 'sent' | 'streaming' | 'resuming' | 'cancelling';

/** One request at a router. */
export interface RequestState {
  readonly request: RoutedRequest;
  phase: RequestPhase;
  engine: string;
  /** Start of the engine process that the request was sent to. */
  incarnation: string;
  /** The key is claimed: the request may be sent. */
  claimed: boolean;
  /** The engine has accepted the request. */
  started: boolean;
  /** An earlier try of a repeatable request may have run: "not run" is never said again. */
  mayHaveRun: boolean;
  tokens: number;
  resumes: number;
  refusals: number;
}

/** How a request is answered whose deadline has passed. */
export function deadlineKind(state: RequestState): ErrorKind {
  if (state.engine === '') return 'deadline_exceeded_waiting';
  return state.started ? 'deadline_exceeded_running' : 'engine_outcome_unknown';
}
