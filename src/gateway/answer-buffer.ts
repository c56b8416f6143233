/**
 * Accounts for answer bytes that backends have sent and callers have not read yet. The bytes are in the write
 * buffers of the callers' responses; this module counts them and disconnects the callers that read too slowly.
 */
import type http from 'node:http';
import type { Logger } from '../common/logger.js';
import { AnswerBudget, type AnswerMemoryLimits, type SlowCaller } from '../core/answer-budget.js';
import { IncompleteAnswers } from '../core/incomplete-answers.js';
import type { RunningClock } from '../common/running-clock.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Interval between checks for callers that read too slowly. */
const CHECK_INTERVAL_MS = 200;

/** Options of {@link AnswerBuffer}. */
export interface AnswerBufferOptions {
  readonly limits: AnswerMemoryLimits;
  /** Measures how slowly callers read: while this process is paused, it writes nothing. */
  readonly runningClock: Pick<RunningClock, 'now'>;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** Account of the buffered bytes of one answer. */
export interface AnswerAccount {
  /**
   * Records bytes written to the caller. Returns false if reading from the backend should pause until the
   * caller has read.
   */
  written(bytes: number): boolean;
}

/** Account of the memory of one answer, or of one event, until it is complete. */
export interface IncompleteAccount {
  /** Records the memory that it takes now; 0 once it is complete or dropped. */
  record(bytes: number): void;
}

interface OpenAnswer {
  readonly response: http.ServerResponse;
  readonly request: string | undefined;
  readonly isStream: boolean;
  writtenBytes: number;
}

/** Tracks all answers that one daemon is writing. */
export class AnswerBuffer {
  private readonly budget: AnswerBudget;
  private readonly answers = new Map<number, OpenAnswer>();
  private readonly incomplete: IncompleteAnswers;
  /** Ends the attempts whose answers are incomplete; called with the memory that is released. */
  private readonly incompleteEnds = new Map<number, (bytes: number) => void>();
  private lastId = 0;
  private nextCheck: ReplyTimeout | undefined;

  constructor(private readonly options: AnswerBufferOptions) {
    this.budget = new AnswerBudget(options.limits);
    this.incomplete = new IncompleteAnswers(options.limits.daemonBytes);
  }

  /** Buffered bytes of answers. */
  get heldBytes(): number {
    return this.budget.heldBytes;
  }

  /** Number of callers that have not read all bytes written to them. */
  get unreadCallers(): number {
    this.updateAllProgress(this.now());
    return this.budget.unreadCallers;
  }

  /** Most bytes of an answer, or of an event of a stream, that is kept until it is complete. */
  get maxIncompleteBytes(): number {
    return this.options.limits.answerBytes;
  }

  /** Opens the account of an answer. `end` is called if it takes the most memory while all together take too much. */
  openIncomplete(end: (bytes: number) => void): IncompleteAccount {
    this.lastId += 1;
    const id = this.lastId;
    let recorded = 0;
    return {
      record: (bytes) => {
        if (bytes === recorded) return;
        this.budget.addBuffered(bytes - recorded);
        recorded = bytes;
        this.recordIncomplete(id, bytes, end);
      },
    };
  }

  private recordIncomplete(id: number, bytes: number, end: (bytes: number) => void): void {
    this.incomplete.record(id, bytes);
    if (bytes > 0) this.incompleteEnds.set(id, end);
    else this.incompleteEnds.delete(id);
    const largest = this.incomplete.toEnd;
    if (largest === undefined) return;
    // Its account is closed by the attempt that ends.
    this.incompleteEnds.get(largest.id)?.(largest.bytes);
  }

  /** Starts to count the bytes written to a caller, until the response closes. */
  open(
    response: http.ServerResponse,
    request: string | undefined,
    isStream: boolean,
  ): AnswerAccount {
    this.lastId += 1;
    const id = this.lastId;
    this.answers.set(id, { response, request, isStream, writtenBytes: 0 });
    response.once('close', () => this.release(id));
    return { written: (bytes) => this.written(id, bytes) };
  }

  private written(id: number, bytes: number): boolean {
    const answer = this.answers.get(id);
    if (answer === undefined) return true;
    answer.writtenBytes += bytes;
    if (answer.response.writableLength > 0) this.scheduleCheck();
    return this.updateProgress(id, answer, this.now());
  }

  private updateProgress(id: number, answer: OpenAnswer, now: number): boolean {
    const { response, writtenBytes, isStream } = answer;
    // writableLength also counts the head and the chunk framing, which are not bytes of the answer.
    const unreadBytes = Math.min(response.writableLength, writtenBytes);
    return this.budget.recordProgress(id, { writtenBytes, unreadBytes, isStream }, now);
  }

  private updateAllProgress(now: number): void {
    for (const [id, answer] of this.answers) this.updateProgress(id, answer, now);
  }

  private now(): number {
    return this.options.runningClock.now();
  }

  private release(id: number): void {
    this.answers.delete(id);
    this.budget.release(id);
  }

  private scheduleCheck(): void {
    this.nextCheck ??= startReplyTimeout(CHECK_INTERVAL_MS, () => this.checkCallers());
  }

  private checkCallers(): void {
    this.nextCheck = undefined;
    const now = this.now();
    this.updateAllProgress(now);
    const { daemonBytes } = this.options.limits;
    const heldBytes = this.budget.heldBytes;
    for (const caller of this.budget.removeSlowCallers(now))
      this.disconnect(caller, heldBytes, daemonBytes);
    if (this.budget.unreadCallers > 0) this.scheduleCheck();
  }

  private disconnect(caller: SlowCaller, heldBytes: number, limitBytes: number): void {
    const { id, reason, unreadBytes, behindMs, readBytes } = caller;
    const answer = this.answers.get(id);
    if (answer === undefined) return;
    this.answers.delete(id);
    this.options.metrics.slowCallers.inc({ reason });
    this.options.logger.warn('caller_too_slow', {
      request: answer.request,
      reason,
      unreadBytes,
      behindMs: Math.round(behindMs),
      readBytes,
      heldBytes,
      roomBytes: limitBytes,
    });
    answer.response.destroy();
  }
}
