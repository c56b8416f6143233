/** Report of its callers' demand that a daemon sends to the owner of a service. Types only. */
import type { GapReport } from './capacity/gap-samples.js';
import type { ModelReference } from './service-configuration.js';

/** One daemon's figures for a model or adapter since its last report. */
export interface DemandSample extends ModelReference {
  readonly arrivals: number;
  /** Requests waiting at the daemon for a backend that has the model or adapter loaded. */
  readonly waiting: number;
  /** Shortest latency goal among these requests, in milliseconds. */
  readonly goalMs: number;
  /**
   * Milliseconds until the earliest-due waiting request needs its model loaded; negative if
   * overdue.
   */
  readonly dueInMs: number;
}

/** Number of requests that one daemon has in flight for a model or adapter at a backend. */
export interface BackendUse extends ModelReference {
  readonly backend: string;
  readonly inFlight: number;
}

/** Demand report of one daemon. */
export interface DemandReport {
  readonly daemon: string;
  readonly samples: readonly DemandSample[];
  readonly use: readonly BackendUse[];
  /** Backends that recently failed to answer requests of this daemon. */
  readonly failing: readonly string[];
  /** Gaps between stream parts since the last report; absent if none were observed. */
  readonly gaps?: GapReport | undefined;
}
