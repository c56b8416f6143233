/**
 * Remembers where streams have begun, together with the other daemons. A daemon tells a few others before it passes on the first
 * event of a stream, without waiting for them; a daemon at which a caller takes the stream up asks them. A notice that is lost
 * makes the stream unknown, never wrong.
 */
import { askedAbout, holdersOf } from '../core/stream-origin-holders.js';
import { StreamOrigins, type StreamOrigin } from '../core/stream-origins.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import type { StreamOriginAnswer } from '../proto/gen/internal_pb.js';
import type { PeerGroup } from './peer-group.js';
import { steadyNow } from './steady-clock.js';
import {
  decodeAnswer,
  decodeNotice,
  encodeAnswer,
  encodeNotice,
  encodeQuestion,
  hexOf,
} from './stream-origin-codec.js';

/** Time after which a question is repeated to the daemons that have not answered, since datagrams are lost. */
const REPEAT_MS = 80;
/** Time after which the daemons that have not answered are given up. */
const TIMEOUT_MS = 250;

/** The other daemons. */
export type OriginPeers = Pick<PeerGroup, 'address' | 'live' | 'reachableOthers' | 'sendDatagram'>;

/** Where a stream has begun, and how this daemon knows it. */
export interface LocatedOrigin {
  readonly origin: StreamOrigin;
  /** Address of the daemon that has told it; undefined if this daemon remembers it itself. */
  readonly from: string | undefined;
  readonly ageMs: number;
}

/** Result of a search for a stream's origin. */
export interface OriginSearch {
  /** Undefined if no daemon that has answered knows it. */
  readonly located: LocatedOrigin | undefined;
  readonly asked: number;
  readonly answered: number;
}

/** A question that waits for answers. */
interface PendingQuestion {
  readonly asked: readonly string[];
  readonly unanswered: Set<string>;
  readonly timers: readonly NodeJS.Timeout[];
  readonly result: Promise<OriginSearch>;
  readonly resolve: (result: OriginSearch) => void;
}

/** The streams' origins that one daemon remembers. */
export class StreamOriginExchange {
  private readonly origins = new StreamOrigins();
  /** By key of the stream. */
  private readonly pending = new Map<string, PendingQuestion>();

  constructor(private readonly peers: OriginPeers) {}

  /** Number of streams that this daemon remembers. */
  get size(): number {
    return this.origins.size;
  }

  /** Whether callers wait for the answer to a question. */
  get isAsking(): boolean {
    return this.pending.size > 0;
  }

  /** Remembers where a stream has begun, and tells a few other daemons. */
  record(stream: string, origin: StreamOrigin, lifetimeMs: number): void {
    this.origins.record(stream, origin, lifetimeMs, steadyNow());
    const notice = encodeNotice({ stream, origin, lifetimeMs });
    const { address: own } = this.peers;
    const others = this.peers.live().flatMap(({ address }) => (address === own ? [] : [address]));
    for (const holder of holdersOf(stream, others)) {
      this.peers.sendDatagram(holder, notice);
    }
  }

  /** Finds out where a stream has begun: from this daemon's memory, or else from other daemons. */
  async locate(stream: string): Promise<OriginSearch> {
    const known = this.origins.find(stream, steadyNow());
    if (known !== undefined) {
      const located = { origin: known.origin, from: undefined, ageMs: known.ageMs };
      return { located, asked: 0, answered: 0 };
    }
    return (this.pending.get(stream) ?? this.ask(stream)).result;
  }

  /** Forgets the streams whose time has passed. Call it a few times per second. */
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
      case 'streamOriginQuestion': {
        const stream = hexOf(body.value.stream);
        const known = this.origins.find(stream, steadyNow());
        this.peers.sendDatagram(from, encodeAnswer(stream, known));
        return true;
      }
      case 'streamOriginAnswer':
        this.receiveAnswer(from, body.value);
        return true;
      default:
        return false;
    }
  }

  private ask(stream: string): PendingQuestion {
    const asked = askedAbout(stream, this.peers.reachableOthers());
    let resolve: (result: OriginSearch) => void = () => {};
    const result = new Promise<OriginSearch>((settle) => (resolve = settle));
    const question: PendingQuestion = {
      asked,
      unanswered: new Set(asked),
      timers: [
        setTimeout(() => this.sendQuestion(stream, question), REPEAT_MS),
        setTimeout(() => this.settle(stream, question, undefined), TIMEOUT_MS),
      ],
      result,
      resolve,
    };
    this.pending.set(stream, question);
    this.sendQuestion(stream, question);
    if (asked.length === 0) this.settle(stream, question, undefined);
    return question;
  }

  private sendQuestion(stream: string, { unanswered }: PendingQuestion): void {
    const body = encodeQuestion(stream);
    for (const address of unanswered) this.peers.sendDatagram(address, body);
  }

  private receiveAnswer(from: string, message: StreamOriginAnswer): void {
    const { stream, noted, ageMs } = decodeAnswer(message);
    const question = this.pending.get(stream);
    if (question?.unanswered.delete(from) !== true) return;
    if (noted !== undefined) {
      this.origins.record(stream, noted.origin, noted.lifetimeMs, steadyNow());
      return this.settle(stream, question, { origin: noted.origin, from, ageMs });
    }
    if (question.unanswered.size === 0) this.settle(stream, question, undefined);
  }

  private settle(
    stream: string,
    question: PendingQuestion,
    located: LocatedOrigin | undefined,
  ): void {
    for (const timer of question.timers) clearTimeout(timer);
    this.pending.delete(stream);
    const { asked, unanswered } = question;
    question.resolve({
      located,
      asked: asked.length,
      answered: asked.length - unanswered.size,
    });
  }
}
