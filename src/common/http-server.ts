/** Helpers for Node's `http` server: size-limited bodies, JSON responses, and listening with a promise. */
import http from 'node:http';
import { Result } from 'true-myth';
import { discardRest } from './discarded-input.js';
import {
  responseFor,
  errorBody,
  retryAfterOf,
  serviceError,
  type ErrorKind,
  type ServiceError,
} from './errors.js';
import { parseJson } from './http-client.js';
import { RequestBody, type BodyReservation } from './request-body.js';
import { wasRefusedUnread } from './unreadable-requests.js';

/** For servers whose callers are trusted. */
const UNLIMITED: BodyReservation = {
  beginBody: () => {},
  beginFragmented: () => true,
  record: () => true,
  complete: () => {},
};

/**
 * Reads a body of at most `limit` bytes. Fails with `body_too_large`, `overloaded`, `request_timeout` or `malformed_request`.
 *
 * @param reservation - The memory of the request; without it, each body has room.
 */
export async function readBody(
  request: http.IncomingMessage,
  limit: number,
  reservation: BodyReservation = UNLIMITED,
): Promise<Result<string, ServiceError>> {
  return new Promise((resolve) => {
    const fail = (kind: ErrorKind, message: string): void => {
      resolve(Result.err(serviceError(kind, message)));
    };
    new RequestBody(request, {
      limitBytes: limit,
      reservation,
      onComplete: (body) => {
        if (wasRefusedUnread(request)) {
          return fail('request_timeout', 'the request was answered before');
        }
        resolve(Result.ok(body.toString('utf8')));
      },
      onRefused: (kind) => {
        const isTooLarge = kind === 'body_too_large';
        fail(kind, isTooLarge ? `the body is over ${limit} bytes` : 'no memory for the body');
      },
    });
    request.on('error', () => {
      fail('malformed_request', 'the connection failed before the end of the request body');
    });
  });
}

/** Reads a JSON body; see {@link readBody}. */
export async function readJson(
  request: http.IncomingMessage,
  limit: number,
  reservation: BodyReservation = UNLIMITED,
): Promise<Result<unknown, ServiceError>> {
  const body = await readBody(request, limit, reservation);
  if (body.isErr) return Result.err(body.error);
  return parseJson(body.value === '' ? '{}' : body.value).mapErr((reason) =>
    serviceError('malformed_request', `the body is not JSON: ${reason}`),
  );
}

/** Sends a JSON response unless one was already started. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': text.length,
    ...headers,
  });
  endAfterRequest(response, text);
}

/** Longest time for which the rest of a refused request is read. */
const MAX_DISCARD_MS = 2_000;

/**
 * Ends a response whose last bytes are `body`, and discards the rest of its request before the connection may be closed. Closing with
 * unread bytes would reset the connection, and the reset may reach the peer before it has read the response. If the request does not
 * end within a limit in bytes and time, the connection is closed after the response.
 */
export function endAfterRequest(response: http.ServerResponse, body: Buffer | string = ''): void {
  const { req: request } = response;
  if (request.complete || request.destroyed || !hasBody(request)) return void response.end(body);
  // With the whole body written, the peer has the response before it has ended.
  if (body.length > 0) response.write(body);
  else response.flushHeaders();
  const end = (): void => {
    clearTimeout(timer);
    if (!response.writableEnded) response.end();
  };
  const endUnread = (): void => {
    response.once('finish', () => request.socket.destroySoon());
    end();
  };
  const timer = setTimeout(endUnread, MAX_DISCARD_MS);
  request.once('end', end);
  request.once('close', end);
  discardRest(request, endUnread);
}

/** Returns the size of header fields in bytes, with two bytes of separators for each name and value. */
export function headerBytesOf(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}

/** Returns the size of a request's target and header fields in bytes. */
export function headBytesOf({ url = '', rawHeaders }: http.IncomingMessage): number {
  return url.length + headerBytesOf(rawHeaders);
}

/** Whether trailers may follow the body of a request: it comes in chunks. */
export function mayHaveTrailers({ headers }: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}

/** Whether a request announces a body. */
function hasBody(request: http.IncomingMessage): boolean {
  return mayHaveTrailers(request) || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Sends an error response. */
export function sendError(
  response: http.ServerResponse,
  error: ServiceError,
  headers: Readonly<Record<string, string>> = {},
): void {
  const retryAfter = retryAfterOf(error);
  const answer = responseFor(error.kind);
  const allHeaders: Record<string, string> = { ...headers };
  allHeaders['x-ran'] = answer.ran;
  allHeaders['x-error-kind'] = error.kind;
  if (retryAfter > 0) allHeaders['retry-after'] = String(retryAfter);
  sendJson(response, answer.status, errorBody(error), allHeaders);
}

/** Listens on an IP address; port 0 selects a free port. Resolves with the port. */
export function listen(server: http.Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}
