/** The daemons through which one request was sent, and why they did not relay it. */
import type { RelayRefusal } from '../core/relay-selection.js';
import type { BackendPath } from './backend-paths.js';
import type { GatewayContext } from './gateway-context.js';
import { refusalOf, type RelayFailure } from './relay-protocol.js';

/** Number of daemons that may refuse to relay one request before it is refused. */
const MAX_REFUSALS = 8;
/** Refusals that say nothing about the backend: the request may go to it through another daemon at once. */
const RELAY_REFUSALS: ReadonlySet<RelayRefusal> = new Set([
  'partitioned',
  'busy',
  'draining',
  'rejected',
  'no_relay',
]);

/** Chooses the path of each attempt of one request. */
export class RequestRelays {
  private readonly refused = new Set<string>();

  constructor(private readonly context: Pick<GatewayContext, 'paths' | 'metrics'>) {}

  /** Returns the path for the next attempt at a backend's address; undefined if there is none. */
  pathTo(address: string): BackendPath | undefined {
    if (this.refused.size >= MAX_REFUSALS) return undefined;
    return this.context.paths.pathTo(address, this.refused);
  }

  /** Records that an attempt is sent on a path. */
  begin(path: BackendPath): void {
    if (path.type === 'relay') this.context.paths.recordSent(path.peer);
  }

  /**
   * Records the end of an attempt through a daemon. Returns true if that daemon refused for a reason of its own, so that the attempt
   * does not count.
   */
  end(peer: string, failure: RelayFailure | undefined): boolean {
    const { paths, metrics } = this.context;
    paths.recordEnded(peer);
    metrics.relayedRequests.inc({ end: failure ?? 'answered' });
    const refusal = failure && refusalOf(failure);
    if (refusal === undefined) {
      paths.recordRelayed(peer);
      return false;
    }
    this.refused.add(peer);
    paths.recordRefusal(peer, refusal);
    return RELAY_REFUSALS.has(refusal);
  }
}
