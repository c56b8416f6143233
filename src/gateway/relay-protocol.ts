/**
 * HTTP messages between a daemon and the daemon that relays its requests to backends. The request target has the absolute form
 * of HTTP proxies, "http://BACKEND/" followed by the caller's own target, so that method, target, headers and body stay
 * unchanged. The relay's own answers carry {@link RELAY_FAILURE_HEADER}; all others are the backend's.
 */
import { encodePathSegment } from '../common/percent-encoding.js';
import { poolOfSend, type ConnectionPool } from './backend-agent.js';
import type { RelayRefusal } from '../core/relay-selection.js';

/** Distance of the relay port from the peer port: all daemons listen on `peerPort + 1` for relayed requests. */
export const RELAY_PORT_OFFSET = 1;
/** Header of the relay's own answers, in lower case; removed from answers of backends. */
export const RELAY_FAILURE_HEADER = 'x-relay-failure';
/**
 * Header of relayed requests, in lower case: the pool of backend connections that the relay may use. Not forwarded to the backend.
 */
export const RELAYED_POOL_HEADER = 'x-relay-connection-pool';
/** Path, followed by the name of a service, at which a daemon tells whether it reaches that service's backends. */
const REACHABILITY_PATH = '/reachability/';

/** Why a relay has no answer of the backend. The request has not run if the reason is a {@link RelayRefusal}. */
export type RelayFailure =
  | RelayRefusal
  /** The connection between the relay and the backend ended after the request was sent. */
  | 'connection_lost'
  /** The same, and no process listens at the backend's address any more. */
  | 'backend_ended'
  /** The backend's answer is not one that HTTP allows. */
  | 'invalid_answer';

const FAILURES: ReadonlySet<string> = new Set<RelayFailure>([
  'partitioned',
  'backend_unreachable',
  'backend_unavailable',
  'busy',
  'draining',
  'rejected',
  'connection_lost',
  'backend_ended',
  'invalid_answer',
]);
/** Failures after which the request may have run. */
const SENT_FAILURES: ReadonlySet<RelayFailure> = new Set([
  'connection_lost',
  'backend_ended',
  'invalid_answer',
]);
/** The pools of sends; two digits are more than a request may be sent. */
const SEND_POOL = /^send-([1-9]\d?)$/;
const TARGET = /^http:\/\/([^/]+)\/(.*)$/s;

/** The backend and the caller's own target of a relayed request. */
export interface RelayTarget {
  readonly backend: string;
  readonly path: string;
}

/** Returns the relay address of a daemon with a peer address "ip:port". */
export function relayAddressOf(peer: string): string {
  const colon = peer.lastIndexOf(':');
  return `${peer.slice(0, colon)}:${Number(peer.slice(colon + 1)) + RELAY_PORT_OFFSET}`;
}

/** Returns the request target for a backend. */
export function encodeRelayTarget({ backend, path }: RelayTarget): string {
  return `http://${encodeURIComponent(backend)}/${path}`;
}

/** Parses a request target; undefined if it is not one of {@link encodeRelayTarget}. */
export function parseRelayTarget(target: string): RelayTarget | undefined {
  const [, encoded = '', path = ''] = TARGET.exec(target) ?? [];
  if (encoded === '' || path === '') return undefined;
  const backend = decodeName(encoded);
  return backend === undefined ? undefined : { backend, path };
}

/** Returns the headers of a relayed request: alternating names and values, with the pool of backend connections. */
export function withRelayedPool(headers: readonly string[], pool: ConnectionPool): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== RELAYED_POOL_HEADER) kept.push(name, headers[index + 1] ?? '');
  }
  return [...kept, RELAYED_POOL_HEADER, pool];
}

/** Parses the pool of backend connections of a relayed request. Without a valid one the request has a connection of its own. */
export function parseRelayedPool(value: string | readonly string[] | undefined): ConnectionPool {
  const sendNumber = Number(SEND_POOL.exec(String(value))?.[1]);
  return Number.isInteger(sendNumber) ? poolOfSend(sendNumber) : 'single';
}

/** Returns the path at which a daemon tells whether it reaches a service's backends. */
export function encodeReachabilityTarget(service: string): string {
  return REACHABILITY_PATH + encodePathSegment(service);
}

/** Parses the path of {@link encodeReachabilityTarget} into the name of the service; undefined for any other target. */
export function parseReachabilityTarget(target: string): string | undefined {
  if (!target.startsWith(REACHABILITY_PATH)) return undefined;
  return decodeName(target.slice(REACHABILITY_PATH.length));
}

/** Decodes a percent-encoded name; undefined if it is malformed. */
function decodeName(encoded: string): string | undefined {
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
}

/** Parses the failure header of a relay's answer; undefined if the answer is the backend's. */
export function parseRelayFailure(
  value: string | readonly string[] | undefined,
): RelayFailure | undefined {
  if (value === undefined) return undefined;
  // A reason that a later build has added: nothing is known about the request.
  if (typeof value !== 'string' || !FAILURES.has(value)) return 'connection_lost';
  return value as RelayFailure;
}

/** Whether the request may have reached the backend although the relay has no answer. */
export function mayHaveReachedBackend(failure: RelayFailure): boolean {
  return SENT_FAILURES.has(failure);
}

/** The refusal that a failure stands for; undefined if the relay did send the request. */
export function refusalOf(failure: RelayFailure): RelayRefusal | undefined {
  return mayHaveReachedBackend(failure) ? undefined : (failure as RelayRefusal);
}
