/** Divides the file descriptors that a process may open among what it uses them for. Pure. */

/** Descriptors for files, ports, timers and the store. */
const RESERVED_DESCRIPTORS = 200;
/** Shares of the others: connections of callers, and requests, each of which may need a connection to a backend. The rest is for daemons. */
const CALLER_SHARE = 1 / 2;
const REQUEST_SHARE = 3 / 8;
/** Least number of connections and of requests, however few descriptors there are. */
const MIN_CONNECTIONS = 16;

/** How many descriptors each use may take. */
export interface DescriptorLimits {
  /** Connections of callers. */
  readonly callerConnections: number;
  /** Requests of callers and of other daemons that have not ended. */
  readonly requests: number;
}

/** Returns the limits of a process that may have `descriptors` open. */
export function descriptorLimitsFor(descriptors: number): DescriptorLimits {
  const available = descriptors - RESERVED_DESCRIPTORS;
  return {
    callerConnections: Math.max(MIN_CONNECTIONS, Math.floor(available * CALLER_SHARE)),
    requests: Math.max(MIN_CONNECTIONS, Math.floor(available * REQUEST_SHARE)),
  };
}
