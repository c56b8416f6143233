/**
 * Faults in the answers of one replica: statuses that HTTP does not allow, and second answers that come where the next answer
 * on a connection should come.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { sendEndless } from './endless-answers.js';
import type { RunLog } from './run-log.js';
import type { SeededRandom } from './seeded-random.js';

/** Share of the answers whose status is spoiled. */
const SPOILED_SHARE = 0.1;
/** Share of the answers that do not end. */
const ENDLESS_SHARE = 0.1;
/** Share of the answers that are cut off within their head or, in streams, right after it. */
const CUT_SHARE = 0.15;
/** The same for answers that go on with a stream. */
const CUT_RESUMED_SHARE = 0.6;
/** Share of the cut streams that are cut after their head. */
const HEAD_ONLY_SHARE = 0.5;
/** While second answers come, all replicas concerned are full at the same moments: for this part of each period. */
const FULL_MS = 150;
const FULL_PERIOD_MS = 450;
/** Share of the whole answers that are followed by a second one. All rejections are. */
const REPEATED_SHARE = 0.05;
/** Three-digit statuses that are no final response, as a spoiled digit makes them. */
const INVALID_STATUSES = ['000', '001', '020', '099', '600', '900', '999'];

/** What a replica needs of the shared log. */
type AnswerLog = Pick<
  RunLog,
  'spoiledStatuses' | 'secondAnswers' | 'sendsAfterSecondAnswers' | 'endlessAnswers' | 'cutHeads'
>;

/** Faults of one replica, each for a time. */
export class AnswerFaults {
  /** Unix milliseconds. */
  private spoilsUntil = 0;
  private repeatsUntil = 0;
  private endlessUntil = 0;
  private cutsHeadsUntil = 0;
  /** Bytes of the second answer that waits on a connection. */
  private readonly copies = new WeakMap<Socket, string>();
  /** Requests that are rejected with a second answer to follow. */
  private readonly repeated = new Set<string>();

  constructor(
    private readonly random: SeededRandom,
    private readonly log: AnswerLog,
  ) {}

  /** Spoils the status of some answers for a time. */
  spoilStatuses(milliseconds: number): void {
    this.spoilsUntil = Date.now() + milliseconds;
  }

  /** Sends some answers that do not end for a time. */
  sendEndless(milliseconds: number): void {
    this.endlessUntil = Date.now() + milliseconds;
  }

  /** Closes the connections of some answers within their head or right after it for a time. */
  cutHeads(milliseconds: number): void {
    this.cutsHeadsUntil = Date.now() + milliseconds;
  }

  /** Rejects some requests and sends some answers twice for a time. */
  repeatAnswers(milliseconds: number): void {
    this.repeatsUntil = Date.now() + milliseconds;
  }

  /** Sends the second answer that waits on the connection of a request that has arrived. */
  sendCopy({ socket }: http.IncomingMessage, attemptId: string): void {
    if (this.repeated.has(attemptId)) this.log.sendsAfterSecondAnswers += 1;
    const copy = this.copies.get(socket);
    if (copy === undefined) return;
    this.copies.delete(socket);
    this.log.secondAnswers += 1;
    socket.write(copy);
  }

  /** Whether requests are rejected now for lack of room. */
  rejects(): boolean {
    const now = Date.now();
    return now < this.repeatsUntil && now % FULL_PERIOD_MS < FULL_MS;
  }

  /** Lets a second answer follow a rejection. */
  repeatRejection(socket: Socket, attemptId: string): void {
    if (Date.now() >= this.repeatsUntil) return;
    const headers = { 'x-attempt-id': attemptId, 'x-not-executed': '1' };
    this.copies.set(socket, answerBytes('503', headers, '{}'));
    this.repeated.add(attemptId);
  }

  /** Lets a second answer follow a whole one. */
  repeatWhole(socket: Socket, headers: Headers, body: string): void {
    if (Date.now() >= this.repeatsUntil || !this.random.chance(REPEATED_SHARE)) return;
    this.copies.set(socket, answerBytes('200', headers, body));
  }

  /**
   * Answers with an invalid status, without an end or only in part, if such an answer is due. Returns whether it has answered.
   *
   * @param isStream - Whether the answer would be a stream. Others may be empty, so that their head alone could be a whole answer.
   */
  spoil(request: http.IncomingMessage, headers: Headers, isStream: boolean): boolean {
    const { socket } = request;
    const isResumed = request.headers['last-event-id'] !== undefined;
    const cutShare = isResumed ? CUT_RESUMED_SHARE : CUT_SHARE;
    if (Date.now() < this.cutsHeadsUntil && this.random.chance(cutShare)) {
      this.log.cutHeads += 1;
      const head = headBytes('200', headers);
      const isWhole = isStream && this.random.chance(HEAD_ONLY_SHARE);
      const length = isWhole ? head.length : Math.floor(this.random.between(0, head.length));
      socket.end(head.slice(0, length));
      return true;
    }
    if (Date.now() < this.endlessUntil && this.random.chance(ENDLESS_SHARE)) {
      this.log.endlessAnswers.push(sendEndless(socket, headers, this.random));
      return true;
    }
    if (Date.now() >= this.spoilsUntil || !this.random.chance(SPOILED_SHARE)) return false;
    const status = this.random.pick(INVALID_STATUSES) ?? '000';
    this.log.spoiledStatuses += 1;
    socket.write(answerBytes(status, headers, 'spoiled'));
    return true;
  }
}

type Headers = Readonly<Record<string, string>>;

function answerBytes(status: string, headers: Headers, body: string): string {
  return headBytes(status, { ...headers, 'content-length': String(body.length) }) + body;
}

function headBytes(status: string, headers: Headers): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${status} X`, ...lines, '', ''].join('\r\n');
}
