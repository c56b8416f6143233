/**
 * Answers requests that Node's HTTP server cannot read: bytes that are no request, and heads or bodies that come too late. Such an
 * answer belongs to the request that could not be read. It is never written into, or in place of, the answer to another one.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { CallerConnections } from './caller-connections.js';
import { errorBody, responseFor, serviceError, type ErrorKind } from './errors.js';
import { inputRead } from './process.js';

/** Why a request was not read. */
export type UnreadableKind = Extract<
  ErrorKind,
  'request_timeout' | 'header_too_large' | 'malformed_request'
>;

/** Longest time for which the rest of a connection is read after its last answer. */
const MAX_DISCARD_MS = 2_000;
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';
/** The caller has closed its side within a request. */
const CUT_SHORT_CODE = 'HPE_INVALID_EOF_STATE';
const PARSER_CODE_PREFIX = 'HPE_';

const refused = new WeakSet<http.IncomingMessage>();

/** Whether a request was answered before its body was read. It must not run, even if the rest of its body comes. */
export function wasRefusedUnread(request: http.IncomingMessage): boolean {
  return refused.has(request);
}

/** Options of {@link UnreadableRequests}. */
export interface UnreadableRequestOptions {
  readonly connections: Pick<CallerConnections, 'responsesOn' | 'lastRequest'>;
  /** Answers a request whose head was read. The request must not run afterwards. */
  readonly refuse: (response: http.ServerResponse, kind: UnreadableKind) => void;
  /** Called with the reason for which a connection is not read on. */
  readonly onUnreadable: (code: string, kind: UnreadableKind | undefined) => void;
}

/** The connections of one server that are not read on. */
export class UnreadableRequests {
  private readonly closing = new WeakSet<Duplex>();

  constructor(
    private readonly server: http.Server,
    private readonly options: UnreadableRequestOptions,
  ) {
    server.on('clientError', ({ code = '' }: NodeJS.ErrnoException, socket) => {
      if (code === TIMEOUT_CODE) void this.endIfLate(code, socket as Socket);
      else this.end(code, socket);
    });
  }

  /** Whether a request comes from a connection that is not read on: its caller may have been told that it does not run. */
  isRefused(request: http.IncomingMessage): boolean {
    return this.closing.has(request.socket);
  }

  /** Ends a connection whose request has not come in full, unless more of it came during a pause of this process. */
  private async endIfLate(code: string, socket: Socket): Promise<void> {
    const { connections } = this.options;
    const late = connections.lastRequest(socket);
    const wasComplete = late?.complete;
    await arrivedBytesRead(socket);
    const latest = connections.lastRequest(socket);
    if (latest === late && latest?.complete === wasComplete) return this.end(code, socket);
    if (latest !== undefined && !latest.complete) this.checkAgain(code, socket, latest);
  }

  /** Limits the time for the rest of a request: Node reports each request that is late only once. */
  private checkAgain(code: string, socket: Socket, request: http.IncomingMessage): void {
    const timer = setTimeout(() => {
      const isSame = this.options.connections.lastRequest(socket) === request;
      if (isSame && !request.complete) void this.endIfLate(code, socket);
    }, this.server.requestTimeout);
    socket.once('close', () => clearTimeout(timer));
  }

  private end(code: string, socket: Duplex): void {
    if (this.closing.has(socket)) return;
    this.closing.add(socket);
    const kind = kindOf(code);
    this.options.onUnreadable(code, kind);
    if (kind === undefined || !socket.writable) return void socket.destroy();
    const last = this.options.connections.responsesOn(socket as Socket).at(-1);
    if (last === undefined) return answerHead(socket, kind);
    // Node sends it after the answers to the requests before it.
    if (!last.req.complete && !last.headersSent) return this.refuse(last, kind);
    last.once('close', () => endConnection(socket));
  }

  private refuse(response: http.ServerResponse, kind: UnreadableKind): void {
    refused.add(response.req);
    response.shouldKeepAlive = false;
    this.options.refuse(response, kind);
  }
}

/** Returns undefined if the connection is closed without an answer. */
function kindOf(code: string): UnreadableKind | undefined {
  if (code === TIMEOUT_CODE) return 'request_timeout';
  if (code === HEADER_OVERFLOW_CODE) return 'header_too_large';
  if (code === CUT_SHORT_CODE || !code.startsWith(PARSER_CODE_PREFIX)) return undefined;
  return 'malformed_request';
}

/** Answers a request whose head was not read. Without a byte of one there is nothing to answer. */
export function answerHead(socket: Duplex, kind: UnreadableKind | 'overloaded'): void {
  const { bytesRead } = socket as Duplex & { readonly bytesRead?: number };
  if (bytesRead === 0) return void socket.destroy();
  const { status, ran, retryAfterSeconds } = responseFor(kind);
  const body = JSON.stringify(errorBody(serviceError(kind, kind.replaceAll('_', ' '))));
  const head = [
    `HTTP/1.1 ${status} ${kind.replaceAll('_', ' ')}`,
    'Content-Type: application/json',
    `X-Error-Kind: ${kind}`,
    `X-Ran: ${ran}`,
    `Content-Length: ${body.length}`,
    'Connection: close',
    ...(retryAfterSeconds > 0 ? [`Retry-After: ${retryAfterSeconds}`] : []),
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  endConnection(socket);
}

/** Ends a connection after what was written. Unread bytes would reset it, so that the rest is read for a while. */
function endConnection(socket: Duplex): void {
  if (socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), MAX_DISCARD_MS);
  socket.once('close', () => clearTimeout(timer));
}

/** Resolves once all bytes that have arrived on a connection were read; one turn of the event loop reads a limited number of them. */
async function arrivedBytesRead(socket: Socket): Promise<void> {
  let bytesRead: number;
  do {
    ({ bytesRead } = socket);
    await inputRead();
  } while (socket.bytesRead > bytesRead);
}
