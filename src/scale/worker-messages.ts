/** What the scale run and its worker processes say to each other. */

/** A hollow daemon to start. */
export interface HollowDaemonPlace {
  readonly name: string;
  readonly zone: string;
  readonly site: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** The callers' load at each daemon of a worker. */
export interface HollowLoad {
  readonly requestsPerSecond: number;
  /** Tenants that are in use; requests go to them at random. */
  readonly activeTenants: readonly string[];
  /** Tenants that are woken, one after another, at this rate over the whole worker. */
  readonly wakesPerSecond: number;
  readonly idleTenants: readonly string[];
}

/** To a worker. */
export type WorkerRequest =
  | {
      readonly type: 'start';
      readonly platform: string;
      readonly adminKeyHash: string;
      readonly places: readonly HollowDaemonPlace[];
    }
  | { readonly type: 'load'; readonly load: HollowLoad }
  | { readonly type: 'sample' }
  | { readonly type: 'await_revision'; readonly revision: number }
  | { readonly type: 'await_owners'; readonly without: readonly string[] }
  | { readonly type: 'kill'; readonly names: readonly string[] }
  | { readonly type: 'stop' };

/** Counters of one hollow daemon since its start. */
export interface DaemonCounters {
  readonly name: string;
  readonly ready: boolean;
  readonly members: number;
  readonly ownedPools: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly messagesSent: number;
  readonly messagesReceived: number;
}

/** Counters of one worker since its start. */
export interface WorkerSample {
  /** Microseconds of processor time of the whole process. */
  readonly processorMicroseconds: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  readonly daemons: readonly DaemonCounters[];
}

/** From a worker: one answer to each request, in order. */
export type WorkerAnswer =
  | { readonly type: 'done' }
  | { readonly type: 'sample'; readonly sample: WorkerSample }
  /** Milliseconds, Unix, at which each daemon met the condition; 0 if it never did. */
  | { readonly type: 'reached'; readonly at: readonly number[] };
