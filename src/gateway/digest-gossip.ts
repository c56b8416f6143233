/**
 * Anti-entropy gossip that replicates a set of entries to all daemons. A new entry is broadcast at once. In addition, each daemon
 * sends a digest of its entries to one other daemon after another, which replies with its entries if its digest differs. This
 * covers updates that were lost with a connection, and daemons that have just started.
 */
import type { PeerBody } from '../daemon/peer-transport.js';
import { steadyNow } from './steady-clock.js';

/**
 * Period of the digest requests. Within 3 s a daemon queries several others, of which one that is connected to the
 * rest has the missing entries.
 */
const REQUEST_PERIOD_MS = 400;
/**
 * Time for which the same reply to the same request is not repeated. Otherwise daemons that had to omit different entries
 * would keep sending each other all the others.
 */
const MIN_REPEAT_MS = 2_000;

/** Daemons that are sent a digest as soon as they are met. One may have just started as well, or lose the request. */
const FIRST_REQUESTS = 4;
/** Range of the random number at which a daemon starts its turns, larger than any number of daemons. */
const TURN_RANGE = 2 ** 20;

interface SentReply {
  readonly requestDigest: number;
  readonly replyDigest: number;
  readonly at: number;
}

/** The transport between the daemons. */
export interface GossipLinks {
  /** Addresses of the other reachable daemons, in a stable order. */
  readonly others: () => readonly string[];
  readonly send: (to: string, body: PeerBody) => void;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

/** Options of {@link DigestGossip}. */
export interface DigestGossipOptions<Entry> extends GossipLinks {
  /** Digest of all entries of this daemon: equal on daemons with equal entries, 0 without entries. */
  readonly digest: () => number;
  /** All entries of this daemon; `now` is a steady time. */
  readonly allEntries: (now: number) => readonly Entry[];
  readonly encode: (entries: readonly Entry[]) => PeerBody;
  readonly encodeRequest: (digest: number) => PeerBody;
}

/** Gossips the entries of one daemon. */
export class DigestGossip<Entry> {
  private unsent: Entry[] = [];
  /** Daemons that start together know the others in the same order; a random start spreads their requests. */
  private turn = Math.floor(Math.random() * TURN_RANGE);
  private nextRequestAt = -Infinity;
  /** The first daemons that were met. */
  private readonly firstMet = new Set<string>();
  /** The last reply to each daemon, by its address. */
  private readonly lastReplies = new Map<string, SentReply>();

  constructor(private readonly options: DigestGossipOptions<Entry>) {}

  /** Broadcasts the entry to all others. Entries of one turn of the event loop are sent as one message. */
  publish(entry: Entry): void {
    this.unsent.push(entry);
    if (this.unsent.length > 1) return;
    setImmediate(() => {
      const entries = this.unsent;
      this.unsent = [];
      this.options.broadcast(this.options.encode(entries));
    });
  }

  /** Sends a digest at once to the first daemons that this one meets: it has just started, and lacks the entries of the others. */
  groupChanged(): void {
    if (this.firstMet.size >= FIRST_REQUESTS) return;
    const { others, sendDatagram, encodeRequest, digest } = this.options;
    const candidates = others();
    const start = this.turn % Math.max(1, candidates.length);
    for (const daemon of [...candidates.slice(start), ...candidates.slice(0, start)]) {
      if (this.firstMet.size >= FIRST_REQUESTS) return;
      if (this.firstMet.has(daemon)) continue;
      this.firstMet.add(daemon);
      this.turn += 1;
      sendDatagram(daemon, encodeRequest(digest()));
    }
  }

  /** Sends a digest if one is due. Call it a few times per second. */
  tick(): void {
    this.groupChanged();
    const now = steadyNow();
    if (now < this.nextRequestAt) return;
    this.nextRequestAt = now + REQUEST_PERIOD_MS;
    const { others, sendDatagram, encodeRequest, digest } = this.options;
    const candidates = others();
    this.deleteUnreachable(new Set(candidates));
    this.turn += 1;
    const target = candidates[this.turn % Math.max(1, candidates.length)];
    if (target !== undefined) sendDatagram(target, encodeRequest(digest()));
  }

  /** Replies to a digest request with all entries if `requestDigest` differs from this daemon's. */
  reply(requester: string, requestDigest: number): void {
    const { digest, allEntries: all, encode, send } = this.options;
    const now = steadyNow();
    const replyDigest = digest();
    if (requestDigest === replyDigest) return;
    const last = this.lastReplies.get(requester);
    const isSame = last?.requestDigest === requestDigest && last.replyDigest === replyDigest;
    if (isSame && now - last.at < MIN_REPEAT_MS) return;
    const entries = all(now);
    if (entries.length === 0) return;
    this.lastReplies.set(requester, { requestDigest, replyDigest, at: now });
    send(requester, encode(entries));
  }

  /** Deletes the last replies to daemons that are no longer reachable. */
  private deleteUnreachable(reachable: ReadonlySet<string>): void {
    for (const requester of this.lastReplies.keys()) {
      if (!reachable.has(requester)) this.lastReplies.delete(requester);
    }
  }
}
