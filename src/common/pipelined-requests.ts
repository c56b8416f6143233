/**
 * Limits how many requests a caller may send on one connection before the first of them is answered. A connection over the limit is
 * not read on: the requests that were read are answered, and the last answer announces that the connection is closed.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { discardRest } from './discarded-input.js';
import { LimitedRequest, unansweredOn } from './limited-request.js';

/** Options for `http.createServer`; required by {@link limitPipelinedRequests}. */
export const LIMITED_REQUEST_OPTIONS = { IncomingMessage: LimitedRequest };

/**
 * Limits the pipelined requests of a server that was created with {@link LIMITED_REQUEST_OPTIONS}.
 *
 * @param onLimit - Called when a connection is not read on.
 */
export function limitPipelinedRequests(server: http.Server, onLimit: () => void): void {
  server.prependListener('request', ({ socket }, response) => {
    const responses = unansweredOn(socket);
    responses.add(response);
    response.once('close', () => responses.delete(response));
  });
  server.on('upgrade', ({ socket }) => {
    onLimit();
    closeAfterAnswers(socket, [...unansweredOn(socket)]);
  });
}

/** Closes a connection after the answers to what was read. Node has removed its own listeners from it. */
function closeAfterAnswers(socket: Socket, responses: readonly http.ServerResponse[]): void {
  socket.on('error', () => socket.destroy());
  socket.on('drain', () => responses.find((response) => response.socket === socket)?.emit('drain'));
  discardRest(socket);
  const last = responses.at(-1);
  if (last === undefined) return socket.destroySoon();
  // An answer whose head was written announces nothing any more.
  if (last.headersSent) last.once('close', () => socket.destroySoon());
  else last.shouldKeepAlive = false;
}
