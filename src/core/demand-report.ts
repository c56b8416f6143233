/** What a daemon tells the owner of a service of its callers' demand. Types only. */
import type { GapReport } from './capacity/gap-samples.js';
import type { ModelReference } from './service-configuration.js';

/** One daemon's figures for a model or adapter since its last report. */
export interface DemandSample extends ModelReference {
  readonly arrivals: number;
  /** Requests that wait there for a backend that holds it. */
  readonly waiting: number;
  /** Shortest latency goal among them, in milliseconds. */
  readonly goalMs: number;
  /** Milliseconds until the first of the waiting should find its model; negative once that has passed. */
  readonly dueInMs: number;
}

/** Requests that one daemon has in flight for a model at a backend. */
export interface BackendUse extends ModelReference {
  readonly backend: string;
  readonly inFlight: number;
}

/** One daemon's report. */
export interface DemandReport {
  readonly daemon: string;
  readonly samples: readonly DemandSample[];
  readonly use: readonly BackendUse[];
  /** Backends that have lately left the daemon's requests without an answer. */
  readonly failing: readonly string[];
  /** Gaps of streams since the last report; absent if none were seen. */
  readonly gaps?: GapReport | undefined;
}
