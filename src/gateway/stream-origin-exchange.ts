/**
 * Replicates the origins of streams to a few other daemons. A daemon notifies them before it forwards the first event of a stream,
 * without waiting for an acknowledgement; a daemon at which a caller resumes the stream requests the origin from them. A lost
 * notification makes the origin unknown, never wrong.
 */
import { randomBytes } from 'node:crypto';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import { lookupTargets, holdersOf } from '../core/stream-origin-holders.js';
import { StreamOrigins, type StreamOrigin } from '../core/stream-origins.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import type { StreamOriginRequest, StreamOriginResponse } from '../proto/gen/internal_pb.js';
import type { PeerGroup } from './peer-group.js';
import { steadyNow } from './steady-clock.js';
import {
  decodeResponse,
  decodeNotice,
  encodeResponse,
  encodeNotice,
  encodeRequest,
  hexOf,
  type StreamTarget,
} from './stream-origin-codec.js';

/** Time after which a request is repeated to the daemons that have not responded, because datagrams may be lost. */
const REPEAT_MS = 80;
/** Timeout for responses. */
const TIMEOUT_MS = 250;

/** Bytes of the number of a request for the origin of an unnamed stream. */
const REQUEST_NUMBER_BYTES = 16;
/** Number of daemons that are requested to infer the origin of an unnamed stream. */
const MAX_INFERRING_PEERS = 4;
/** Maximum length of a host and path in a datagram, in characters. */
const MAX_TARGET_LENGTH = 800;

/** What a daemon can infer of the origin of a stream that its caller has not named. */
export type Inference =
  | { readonly type: 'sole'; readonly origin: StreamOrigin }
  /** The daemon has seen one version, but has not observed for as long as the stream may have run. */
  | { readonly type: 'observed_too_briefly' }
  /** There may have been several versions or services. */
  | { readonly type: 'unknown' };

/** Infers at which service and version a stream has begun. */
export type InferOrigin = (target: StreamTarget) => Inference;

/** The other daemons. */
export type OriginPeers = Pick<PeerGroup, 'address' | 'live' | 'reachableOthers' | 'sendDatagram'>;

/** The origin of a stream, and the source of this knowledge. */
export interface LocatedOrigin {
  readonly origin: StreamOrigin;
  /** Address of the daemon that reported it; undefined if this daemon has a record of its own. */
  readonly from: string | undefined;
  readonly ageMs: number;
}

/** Result of a lookup of a stream's origin. */
export interface OriginLookup {
  /** Undefined if no daemon that responded has a record of it. */
  readonly located: LocatedOrigin | undefined;
  readonly asked: number;
  readonly answered: number;
  /** Number of daemons that responded and cannot infer the origin only because they have not observed for long enough. */
  readonly observedTooBriefly: number;
}

/** A lookup that waits for responses. */
interface PendingLookup {
  readonly asked: readonly string[];
  /** Undefined for a stream that its caller has named. */
  readonly target: StreamTarget | undefined;
  readonly pendingTargets: Set<string>;
  observedTooBriefly: number;
  readonly timeouts: readonly ReplyTimeout[];
  readonly result: Promise<OriginLookup>;
  readonly resolve: (result: OriginLookup) => void;
}

/** The origins of streams that one daemon has recorded. */
export class StreamOriginExchange {
  private readonly origins = new StreamOrigins();
  /** By key of the stream. */
  private readonly pending = new Map<string, PendingLookup>();

  /** @param infer - Infers the origin of a stream that another daemon's caller has not named. */
  constructor(
    private readonly peers: OriginPeers,
    private readonly infer: InferOrigin,
  ) {}

  /** Number of recorded streams. */
  get size(): number {
    return this.origins.size;
  }

  /** Records the origin of a stream, and notifies a few other daemons. */
  record(stream: string, origin: StreamOrigin, lifetimeMs: number): void {
    this.origins.record(stream, origin, lifetimeMs, steadyNow());
    const notice = encodeNotice({ stream, origin, lifetimeMs });
    const { address: own } = this.peers;
    const others = this.peers.live().flatMap(({ address }) => (address === own ? [] : [address]));
    for (const holder of holdersOf(stream, others)) {
      this.peers.sendDatagram(holder, notice);
    }
  }

  /** Looks up the origin of a stream in this daemon's records, and otherwise at other daemons. */
  async locate(stream: string): Promise<OriginLookup> {
    const known = this.origins.find(stream, steadyNow());
    if (known !== undefined) {
      const located = { origin: known.origin, from: undefined, ageMs: known.ageMs };
      return { located, asked: 0, answered: 0, observedTooBriefly: 0 };
    }
    const targets = lookupTargets(stream, this.peers.reachableOthers());
    return (this.pending.get(stream) ?? this.startLookup(stream, targets, undefined)).result;
  }

  /**
   * Requests other daemons to infer the origin of a stream that its caller has not named, because this daemon has not observed its
   * backends for long enough.
   */
  async inferAtPeers(target: StreamTarget): Promise<OriginLookup> {
    const isTooLong = target.host.length + target.path.length > MAX_TARGET_LENGTH;
    if (isTooLong) return { located: undefined, asked: 0, answered: 0, observedTooBriefly: 0 };
    const stream = randomBytes(REQUEST_NUMBER_BYTES).toString('hex');
    const targets = lookupTargets(stream, this.peers.reachableOthers());
    return this.startLookup(stream, targets.slice(0, MAX_INFERRING_PEERS), target).result;
  }

  /** Deletes expired records. Call it a few times per second. */
  tick(): void {
    this.origins.deleteExpired(steadyNow());
  }

  /** Handles a message of another daemon. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    switch (body.case) {
      case 'streamOriginNotice': {
        const { stream, origin, lifetimeMs } = decodeNotice(body.value);
        this.origins.record(stream, origin, lifetimeMs, steadyNow());
        return true;
      }
      case 'streamOriginRequest': {
        this.peers.sendDatagram(from, this.responseTo(body.value));
        return true;
      }
      case 'streamOriginResponse':
        this.receiveResponse(from, body.value);
        return true;
      default:
        return false;
    }
  }

  private responseTo({ stream, host, path }: StreamOriginRequest): PeerBody {
    const key = hexOf(stream);
    if (path === '') return encodeResponse(key, this.origins.find(key, steadyNow()));
    const inference = this.infer({ host, path });
    if (inference.type !== 'sole')
      return encodeResponse(key, undefined, inference.type === 'observed_too_briefly');
    return encodeResponse(key, { origin: inference.origin, ageMs: 0, remainingMs: 0 });
  }

  private startLookup(
    stream: string,
    asked: readonly string[],
    target: StreamTarget | undefined,
  ): PendingLookup {
    let resolve: (result: OriginLookup) => void = () => {};
    const result = new Promise<OriginLookup>((settle) => (resolve = settle));
    const lookup: PendingLookup = {
      asked,
      target,
      pendingTargets: new Set(asked),
      observedTooBriefly: 0,
      timeouts: [
        startReplyTimeout(REPEAT_MS, () => this.sendRequests(stream, lookup)),
        startReplyTimeout(TIMEOUT_MS, () => this.settle(stream, lookup, undefined)),
      ],
      result,
      resolve,
    };
    this.pending.set(stream, lookup);
    this.sendRequests(stream, lookup);
    if (asked.length === 0) this.settle(stream, lookup, undefined);
    return lookup;
  }

  private sendRequests(stream: string, { pendingTargets, target }: PendingLookup): void {
    const body = encodeRequest(stream, target);
    for (const address of pendingTargets) this.peers.sendDatagram(address, body);
  }

  private receiveResponse(from: string, message: StreamOriginResponse): void {
    const { stream, notice, ageMs, observedTooBriefly } = decodeResponse(message);
    const lookup = this.pending.get(stream);
    if (lookup?.pendingTargets.delete(from) !== true) return;
    if (notice !== undefined) {
      if (lookup.target === undefined)
        this.origins.record(stream, notice.origin, notice.lifetimeMs, steadyNow());
      return this.settle(stream, lookup, { origin: notice.origin, from, ageMs });
    }
    if (observedTooBriefly) lookup.observedTooBriefly += 1;
    if (lookup.pendingTargets.size === 0) this.settle(stream, lookup, undefined);
  }

  private settle(stream: string, lookup: PendingLookup, located: LocatedOrigin | undefined): void {
    for (const timeout of lookup.timeouts) timeout.cancel();
    this.pending.delete(stream);
    const { asked, pendingTargets } = lookup;
    lookup.resolve({
      located,
      asked: asked.length,
      answered: asked.length - pendingTargets.size,
      observedTooBriefly: lookup.observedTooBriefly,
    });
  }
}
