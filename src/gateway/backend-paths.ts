/**
 * The path on which a request reaches a backend: a connection of this daemon, or, if the backend is unreachable from here, another
 * daemon that relays the request.
 */
import { RelaySelection, type RelayCandidate, type RelayRefusal } from '../core/relay-selection.js';
import type { MemberView } from '../core/membership-messages.js';
import type { BackendWatch } from './backend-watch.js';
import { steadyNow } from './steady-clock.js';

/** Time after which a refused caller may be served: a partition that has ended is noticed within this time, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** How a request is sent to a backend. */
export type BackendPath =
  | { readonly type: 'direct' }
  /** Through the daemon with this peer address. */
  | { readonly type: 'relay'; readonly peer: string };

const DIRECT: BackendPath = { type: 'direct' };
const NOTHING_EXCLUDED: ReadonlySet<string> = new Set();

/** Options of {@link BackendPaths}. */
export interface BackendPathsOptions {
  /** Peer address of this daemon. */
  readonly self: string;
  readonly zone: string;
  readonly watch: BackendWatch;
  /** Daemons that may relay, including this one. */
  readonly live: () => readonly MemberView[];
}

/** Paths to the backends of one daemon. */
export class BackendPaths {
  private readonly relays: RelaySelection;

  constructor(private readonly options: BackendPathsOptions) {
    this.relays = new RelaySelection(options.self, options.zone);
  }

  /**
   * Returns the path to a backend's address; undefined if it can be reached on none.
   * @param excluded - Peer addresses of daemons that have refused to relay this request.
   */
  pathTo(address: string, excluded = NOTHING_EXCLUDED): BackendPath | undefined {
    const { reachability } = this.options.watch;
    if (!reachability.isUnreachable(address)) return DIRECT;
    const peer = this.relays.choose(this.candidates(), excluded, steadyNow());
    if (peer !== undefined) return { type: 'relay', peer };
    // The failure of one backend may be its own, and without relays only a connection can show that it is back.
    return reachability.isPartitioned ? undefined : DIRECT;
  }

  /** Whether requests to a backend's address go through other daemons. */
  isRelayed(address: string): boolean {
    return this.pathTo(address)?.type === 'relay';
  }

  /** Whether this daemon reaches no backend, and no other daemon relays for it. */
  isCutOff(): boolean {
    if (!this.options.watch.reachability.isPartitioned) return false;
    return !this.relays.hasCandidate(this.candidates(), steadyNow());
  }

  /** Milliseconds after which a caller that was refused without any path should retry. */
  get retryAfterMs(): number {
    return RETRY_AFTER_MS;
  }

  /** Returns up to `count` daemons that may relay, the best one first. */
  nextRelays(count: number): string[] {
    const chosen = new Set<string>();
    for (let index = 0; index < count; index++) {
      const next = this.relays.choose(this.candidates(), chosen, steadyNow());
      if (next === undefined) break;
      chosen.add(next);
    }
    return [...chosen];
  }

  /** Records that a request is sent through a daemon. */
  recordSent(peer: string): void {
    this.relays.recordSent(peer, steadyNow());
  }

  /** Records that a request sent through a daemon has ended. */
  recordEnded(peer: string): void {
    this.relays.recordEnded(peer);
  }

  /** Records that a daemon has received a request that it is to relay. */
  recordAcknowledged(peer: string): void {
    this.relays.recordAcknowledged(peer);
  }

  /** Records that a daemon has relayed an answer. */
  recordRelayed(peer: string): void {
    this.relays.recordRelayed(peer, steadyNow());
  }

  /** Records that a daemon did not relay a request. */
  recordRefusal(peer: string, refusal: RelayRefusal): void {
    this.relays.recordRefusal(peer, refusal, steadyNow());
  }

  private candidates(): readonly RelayCandidate[] {
    return this.options.live();
  }
}
