/**
 * Accounts for answer bytes that backends have sent and callers have not read yet. The bytes are in the write
 * buffers of the callers' responses; this module counts them and disconnects the callers that read too slowly.
 */
import type http from 'node:http';
import type { Logger } from '../common/logger.js';
import { AnswerBudget, type AnswerMemoryLimits, type SlowCaller } from '../core/answer-budget.js';
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
  private lastId = 0;
  private nextCheck: ReplyTimeout | undefined;

  constructor(private readonly options: AnswerBufferOptions) {
    this.budget = new AnswerBudget(options.limits);
  }

  /** Buffered bytes of answers and request bodies. */
  get heldBytes(): number {
    return this.budget.heldBytes;
  }

  /** Number of callers that have not read all bytes written to them. */
  get unreadCallers(): number {
    this.updateAllProgress(this.now());
    return this.budget.unreadCallers;
  }

  /** Adds to the buffered bytes of request bodies and incomplete answers; a negative value subtracts. */
  addBuffered(bytes: number): void {
    this.budget.addBuffered(bytes);
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
