/**
 * Keeps what daemons know of one matter alike: tells news to all at once, and asks one daemon after another, with a digest
 * of what is known here, for what is lacking. News may be lost with a connection, and a daemon that starts has heard none.
 */
import type { PeerBody } from '../daemon/peer-transport.js';
import { steadyNow } from './steady-clock.js';

/** Between two questions. Within 3 s a daemon has asked several others, of which one that is in touch knows what it lacks. */
const QUESTION_PERIOD_MS = 400;
/**
 * The same answer to the same question is not given again for so long: daemons that had to leave out different entries
 * would send each other all the rest again and again.
 */
const ANSWER_REPEAT_MS = 2_000;

interface GivenAnswer {
  readonly question: number;
  readonly answer: number;
  readonly at: number;
}

/** How daemons talk to each other. */
export interface GossipLinks {
  /** Addresses of the other daemons that answer, in an order that stays. */
  readonly others: () => readonly string[];
  readonly send: (to: string, body: PeerBody) => void;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

/** Options of {@link DigestGossip}. */
export interface DigestGossipOptions<Entry> extends GossipLinks {
  /** A digest of all that is known: the same at daemons that know the same, 0 if nothing is known. */
  readonly digest: () => number;
  /** All that is known. */
  readonly all: (now: number) => readonly Entry[];
  readonly encode: (entries: readonly Entry[]) => PeerBody;
  readonly encodeQuestion: (digest: number) => PeerBody;
}

/** One daemon's part. */
export class DigestGossip<Entry> {
  private unsent: Entry[] = [];
  private turn = 0;
  private askAt = -Infinity;
  /** The last answers, by who asked. */
  private readonly given = new Map<string, GivenAnswer>();

  constructor(private readonly options: DigestGossipOptions<Entry>) {}

  /** Tells all others; what is noted in one turn goes as one message. */
  tell(entry: Entry): void {
    this.unsent.push(entry);
    if (this.unsent.length > 1) return;
    setImmediate(() => {
      const entries = this.unsent;
      this.unsent = [];
      this.options.broadcast(this.options.encode(entries));
    });
  }

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    if (now < this.askAt) return;
    this.askAt = now + QUESTION_PERIOD_MS;
    const { others, sendDatagram, encodeQuestion, digest } = this.options;
    const candidates = others();
    this.keepOnly(new Set(candidates));
    this.turn += 1;
    const asked = candidates[this.turn % Math.max(1, candidates.length)];
    if (asked !== undefined) sendDatagram(asked, encodeQuestion(digest()));
  }

  /** Sends all that is known to who knows something else. */
  answer(asker: string, question: number): void {
    const { digest, all, encode, send } = this.options;
    const now = steadyNow();
    const answer = digest();
    if (question === answer) return;
    const last = this.given.get(asker);
    const isSame = last?.question === question && last.answer === answer;
    if (isSame && now - last.at < ANSWER_REPEAT_MS) return;
    const entries = all(now);
    if (entries.length === 0) return;
    this.given.set(asker, { question, answer, at: now });
    send(asker, encode(entries));
  }

  /** Drops what was answered to daemons that are gone. */
  private keepOnly(others: ReadonlySet<string>): void {
    for (const asker of this.given.keys()) {
      if (!others.has(asker)) this.given.delete(asker);
    }
  }
}
