/** The answer to one caller: whole in one piece, or a stream of whole events. */
import type http from 'node:http';
import { answerFor, errorBody, serviceError, type ErrorKind } from '../common/errors.js';
import type { StreamEvent } from '../core/event-stream.js';
import type { AnswerAccount } from './answer-buffer.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** An answer of a backend, read to its end. */
export interface WholeAnswer {
  readonly status: number;
  /** Names and values by turns. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Raw headers without those that concern one connection, and without `dropped`. */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || named.has(lower) || dropped.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/** Headers that the Connection header names. */
function namedByConnection(rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      named.add(name.trim().toLowerCase());
    }
  }
  return named;
}

const LENGTH_ONLY = new Set(['content-length']);

/** Writes to one caller. */
export class CallerAnswer {
  /** Steady time at which the head of the answer was sent. */
  begunAt: number | undefined;
  /** The newest event that the caller was sent. */
  lastEventId: string | undefined;
  /** Longest time between two events of a stream, in milliseconds. */
  longestPauseMs = 0;
  private lastEventAt: number | undefined;
  private account: AnswerAccount | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly head: RequestHead,
    private readonly response: http.ServerResponse,
  ) {}

  /** Whether the caller has been sent a head. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Sends an answer that is known to be whole. */
  sendWhole(answer: WholeAnswer): void {
    const headers = forwardedHeaders(answer.rawHeaders, LENGTH_ONLY);
    headers.push('Content-Length', String(answer.body.length));
    this.writeHead(answer.status, headers);
    this.response.end(answer.body);
    this.openAccount(false).written(answer.body.length);
  }

  /** Sends the head of a stream. */
  beginStream(status: number, rawHeaders: readonly string[]): void {
    this.writeHead(status, forwardedHeaders(rawHeaders, LENGTH_ONLY));
  }

  /**
   * Sends one event. Returns false if the backend should not be read on until the caller has read; only
   * where {@link onceDrained} will call back, or the stream would rest for ever.
   */
  sendEvent(event: StreamEvent): boolean {
    if (event.id !== undefined) this.lastEventId = event.id;
    const now = steadyNow();
    if (this.lastEventAt !== undefined) {
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastEventAt);
    }
    this.lastEventAt = now;
    this.response.write(event.bytes);
    this.account ??= this.openAccount(true);
    return this.account.written(event.bytes.length) || !this.response.writableNeedDrain;
  }

  private openAccount(isStream: boolean): AnswerAccount {
    return this.context.answers.open(this.response, this.head.attemptId, isStream);
  }

  /** Calls back once the caller has read what was sent. */
  onceDrained(action: () => void): void {
    this.response.once('drain', action);
  }

  /** Ends a stream that is whole. */
  endStream(): void {
    this.response.end();
  }

  /** Closes the connection, so that the answer does not look whole. */
  breakOff(): void {
    this.response.destroy();
  }

  /** Sends an error of the closed list. */
  sendError(kind: ErrorKind, retryAfterMs: number | undefined): void {
    if (this.response.headersSent || this.response.destroyed) return;
    const { status, ran } = answerFor(kind);
    const error = serviceError(kind, kind.replaceAll('_', ' '));
    const body = Buffer.from(JSON.stringify(errorBody(error)));
    const headers = ['Content-Type', 'application/json', 'X-Error-Kind', kind, 'X-Ran', ran];
    for (const [name, value] of Object.entries(this.context.dialect.ownAnswerHeaders(this.head))) {
      headers.push(name, value);
    }
    if (kind === 'unauthorized')
      headers.push('WWW-Authenticate', this.context.dialect.keyChallenge);
    if (retryAfterMs !== undefined) headers.push('Retry-After', inSeconds(retryAfterMs));
    headers.push('Content-Length', String(body.length));
    this.writeHead(status, headers);
    this.response.end(body);
  }

  private writeHead(status: number, headers: string[]): void {
    this.begunAt = steadyNow();
    if (this.context.isDraining()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers);
  }
}

/** Seconds with a tenth, rounded up. */
function inSeconds(milliseconds: number): string {
  return (Math.ceil(milliseconds / 100) / 10).toFixed(1);
}
