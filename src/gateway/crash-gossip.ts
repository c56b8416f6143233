/**
 * Tells the other daemons which requests met crashes, and asks them for what this one lacks: news may be lost with a
 * connection, and a daemon that starts has heard none (`spec/crashes.pml`).
 */
import type { CrashRecord, CrashRecords } from '../core/crash-records.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import type { CrashNews } from '../proto/gen/internal_pb.js';
import { decodeCrashes, encodeCrashes, encodeCrashQuestion } from './crash-codec.js';
import { steadyNow } from './steady-clock.js';

/** Between two questions. Within 3 s a daemon has asked several others, of which one that is in touch knows what it lacks. */
const QUESTION_PERIOD_MS = 400;
/**
 * The same answer to the same question is not given again for so long: daemons that had to leave out different requests
 * would send each other all the rest again and again.
 */
const ANSWER_REPEAT_MS = 2_000;

interface GivenAnswer {
  readonly question: number;
  readonly answer: number;
  readonly at: number;
}

/** Options of {@link CrashGossip}. */
export interface CrashGossipOptions {
  readonly records: CrashRecords;
  /** Addresses of the other daemons that answer, in an order that stays. */
  readonly others: () => readonly string[];
  readonly send: (to: string, body: PeerBody) => void;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
  /** Something was heard that was not known here. */
  readonly onNews: (records: readonly CrashRecord[], from: string) => void;
}

/** This daemon's part in what all know. */
export class CrashGossip {
  private unsent: CrashRecord[] = [];
  private turn = 0;
  private askAt = -Infinity;
  /** The last answers, by who asked. */
  private readonly given = new Map<string, GivenAnswer>();

  constructor(private readonly options: CrashGossipOptions) {}

  /** Tells all others; what is noted in one turn goes as one message: a crash breaks many requests off at once. */
  tell(record: CrashRecord): void {
    this.unsent.push(record);
    if (this.unsent.length > 1) return;
    setImmediate(() => {
      const records = this.unsent;
      this.unsent = [];
      this.options.broadcast(encodeCrashes(records));
    });
  }

  /** Looks at the clock; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    if (now < this.askAt) return;
    this.askAt = now + QUESTION_PERIOD_MS;
    const others = this.options.others();
    this.keepOnly(new Set(others));
    this.turn += 1;
    const asked = others[this.turn % Math.max(1, others.length)];
    if (asked === undefined) return;
    this.options.sendDatagram(asked, encodeCrashQuestion(this.options.records.stateDigest()));
  }

  receive(from: string, message: CrashNews): void {
    if (message.knownDigest !== undefined) return this.answer(from, message.knownDigest);
    const news = this.options.records.hear(decodeCrashes(message), steadyNow());
    if (news.length > 0) this.options.onNews(news, from);
  }

  private answer(asker: string, question: number): void {
    const { records, send } = this.options;
    const now = steadyNow();
    const answer = records.stateDigest();
    if (question === answer || records.isEmpty) return;
    const last = this.given.get(asker);
    const isSame = last?.question === question && last.answer === answer;
    if (isSame && now - last.at < ANSWER_REPEAT_MS) return;
    this.given.set(asker, { question, answer, at: now });
    send(asker, encodeCrashes(records.all(now)));
  }

  /** Drops what was answered to daemons that are gone. */
  private keepOnly(others: ReadonlySet<string>): void {
    for (const asker of this.given.keys()) {
      if (!others.has(asker)) this.given.delete(asker);
    }
  }
}
