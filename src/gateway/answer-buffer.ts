/**
 * Answers between backends and callers that read more slowly than these send. What a caller has not read lies in
 * the writer's own buffer; here it is counted, and the callers that must be ended for it are broken off.
 */
import type http from 'node:http';
import type { Logger } from '../common/logger.js';
import { AnswerBudget, type AnswerMemoryLimits, type SlowCaller } from '../core/answer-budget.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { steadyNow } from './steady-clock.js';

/** Between two looks for callers that are too slow. */
const LOOK_MS = 200;

/** Options of {@link AnswerBuffer}. */
export interface AnswerBufferOptions {
  readonly room: AnswerMemoryLimits;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}

/** One answer's part. */
export interface AnswerAccount {
  /** So many bytes were written. Returns false if the backend should not be read on until the caller has read. */
  written(bytes: number): boolean;
}

interface OpenAnswer {
  readonly response: http.ServerResponse;
  readonly request: string | undefined;
  readonly isStream: boolean;
  writtenBytes: number;
}

/** All answers of one daemon that are being written. */
export class AnswerBuffer {
  private readonly budget: AnswerBudget;
  private readonly answers = new Map<number, OpenAnswer>();
  private lastId = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AnswerBufferOptions) {
    this.budget = new AnswerBudget(options.room);
  }

  /** Bytes that are held: of answers, and of requests' bodies. */
  get heldBytes(): number {
    return this.budget.heldBytes;
  }

  /** Callers that have not read all that was written for them. */
  get unreadCallers(): number {
    this.noteAll(steadyNow());
    return this.budget.unreadCallers;
  }

  /** Holds further bytes of a body or of an answer that is not whole yet; fewer if negative. */
  hold(bytes: number): void {
    this.budget.addBuffered(bytes);
  }

  /** Begins to count what is written for a caller, until it has read it or has gone. */
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
    if (answer.response.writableLength > 0) this.lookSoon();
    return this.note(id, answer, steadyNow());
  }

  private note(id: number, answer: OpenAnswer, now: number): boolean {
    const { response, writtenBytes, isStream } = answer;
    // The head and the frames of chunks are held with the answer's own bytes.
    const unreadBytes = Math.min(response.writableLength, writtenBytes);
    return this.budget.recordProgress(id, { writtenBytes, unreadBytes, isStream }, now);
  }

  private noteAll(now: number): void {
    for (const [id, answer] of this.answers) this.note(id, answer, now);
  }

  private release(id: number): void {
    this.answers.delete(id);
    this.budget.release(id);
  }

  private lookSoon(): void {
    if (this.timer !== undefined) return;
    this.timer = setTimeout(() => this.look(), LOOK_MS);
    this.timer.unref();
  }

  private look(): void {
    this.timer = undefined;
    const now = steadyNow();
    this.noteAll(now);
    const { daemonBytes } = this.options.room;
    const heldBytes = this.budget.heldBytes;
    for (const caller of this.budget.removeSlowCallers(now))
      this.end(caller, heldBytes, daemonBytes);
    if (this.budget.unreadCallers > 0) this.lookSoon();
  }

  private end(caller: SlowCaller, heldBytes: number, roomBytes: number): void {
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
      roomBytes,
    });
    answer.response.destroy();
  }
}
