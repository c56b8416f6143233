/** Writes the answer to one caller: either a complete answer at once, or a stream of complete events. */
import type http from 'node:http';
import { endAfterRequest } from '../common/http-server.js';
import { responseFor, errorBody, serviceError, type ErrorKind } from '../common/errors.js';
import type { StreamEvent } from '../core/event-stream.js';
import type { AnswerAccount } from './answer-buffer.js';
import { isFollowed } from '../common/caller-connections.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Hop-by-hop headers, which are not forwarded. */
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

/** A complete answer of a backend. */
export interface CompleteAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Whether the backend has stated where the answer ends, or has sent a body. Otherwise it may have been cut off after its head. */
  readonly isLengthKnown: boolean;
}

/** Returns raw headers without the hop-by-hop headers and without the lower-case names in `dropped`. */
export function forwardedHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const connectionNames = listedInConnection(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || connectionNames.has(lower) || dropped.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

/** Returns the lower-case names listed in the Connection header. */
function listedInConnection(rawHeaders: readonly string[]): Set<string> {
  const connectionNames = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      connectionNames.add(name.trim().toLowerCase());
    }
  }
  return connectionNames;
}

const CONTENT_LENGTH_HEADER = new Set(['content-length']);
/** Errors after which a body that has not come in full is not awaited. */
const UNREAD_BODY_ERRORS: ReadonlySet<ErrorKind> = new Set(['body_too_large', 'overloaded']);

/** Writes the answer to one caller. */
export class CallerAnswer {
  /** Steady time at which the head of the answer was sent. */
  headSentAt: number | undefined;
  /** Id of the last event sent to the caller. */
  lastEventId: string | undefined;
  /** Longest time between two events of a stream, in milliseconds. */
  longestPauseMs = 0;
  private lastEventAt: number | undefined;
  private account: AnswerAccount | undefined;
  private isWhole = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly head: RequestHead,
    private readonly response: http.ServerResponse,
  ) {}

  /** Whether the head of the answer was sent to the caller. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** Whether the whole answer was written. */
  get isComplete(): boolean {
    return this.isWhole || this.response.writableEnded;
  }

  /** Sends a complete answer. */
  sendComplete(answer: CompleteAnswer): void {
    const headers = forwardedHeaders(answer.rawHeaders, CONTENT_LENGTH_HEADER);
    if (answer.isLengthKnown || isFollowed(this.response))
      headers.push('Content-Length', String(answer.body.length));
    else this.endWithConnection();
    this.writeHead(answer.status, headers);
    this.response.end(answer.body);
    this.openAccount(false).written(answer.body.length);
  }

  /** Lets the answer end with its connection, like the backend's: a length would state more than the backend has. */
  private endWithConnection(): void {
    this.response.shouldKeepAlive = false;
    this.response.useChunkedEncodingByDefault = false;
  }

  /** Sends the head of a stream. */
  beginStream(status: number, rawHeaders: readonly string[]): void {
    this.writeHead(status, forwardedHeaders(rawHeaders, CONTENT_LENGTH_HEADER));
  }

  /**
   * Sends one event. Returns false if reading from the backend should pause until the caller has read. It
   * returns false only if {@link onceDrained} will call back; otherwise the stream would never resume.
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

  /** Calls `action` once when the response's write buffer has drained. */
  onceDrained(action: () => void): void {
    this.response.once('drain', action);
  }

  /** Ends a complete stream. */
  endStream(): void {
    this.response.end();
  }

  /** Closes the connection so that the caller can tell that the answer is incomplete. */
  disconnect(): void {
    this.response.destroy();
  }

  /** Closes the connection unless the whole answer was written. */
  disconnectIfIncomplete(): void {
    if (!this.isComplete) this.response.destroy();
  }

  /** Sends an error of the given kind, unless the answer has begun. */
  sendError(kind: ErrorKind, retryAfterMs: number | undefined): void {
    if (this.response.headersSent || this.response.destroyed) return;
    const { status, ran } = responseFor(kind);
    const isUnread = UNREAD_BODY_ERRORS.has(kind) && !this.response.req.complete;
    if (isUnread) this.response.shouldKeepAlive = false;
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
    endAfterRequest(this.response, body);
    this.isWhole = true;
  }

  private writeHead(status: number, headers: string[]): void {
    // Node then writes `Connection: close`. Requests that were read on the same connection keep it open until the last answer.
    if (this.context.isDraining() && !isFollowed(this.response))
      this.response.shouldKeepAlive = false;
    this.response.writeHead(status, headers);
    this.headSentAt = steadyNow();
  }
}

/** Formats milliseconds as seconds with one decimal, rounded up. */
function inSeconds(milliseconds: number): string {
  return (Math.ceil(milliseconds / 100) / 10).toFixed(1);
}
