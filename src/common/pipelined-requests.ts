/**
 * Limits how many requests a caller may send on one connection before the first of them is answered. A connection over the limit is
 * not read on: the requests that were read are answered, and the last answer announces that the connection is closed.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { discardRest } from './discarded-input.js';

/** Most requests of one connection that are not answered. Callers that wait for an answer before the next request have one. */
export const MAX_PIPELINED_REQUESTS = 64;

/** Responses that have not been written in full, oldest first, by connection. */
const unanswered = new WeakMap<Socket, Set<http.ServerResponse>>();

/**
 * A request that Node takes for one that upgrades its connection if too many are not answered. Node then stops to parse what has come
 * on the connection, however much that is, and emits `upgrade`; no other event lets a server stop within what it has read.
 */
class LimitedRequest extends http.IncomingMessage {
  private isUpgrade = false;

  get upgrade(): boolean {
    const isTunnel = this.isUpgrade && this.method === 'CONNECT';
    return isTunnel || (unanswered.get(this.socket)?.size ?? 0) >= MAX_PIPELINED_REQUESTS;
  }

  set upgrade(isUpgrade: boolean) {
    this.isUpgrade = isUpgrade;
  }
}

/** Options for `http.createServer`; required by {@link limitPipelinedRequests}. */
export const LIMITED_REQUEST_OPTIONS = { IncomingMessage: LimitedRequest };

/**
 * Limits the pipelined requests of a server that was created with {@link LIMITED_REQUEST_OPTIONS}.
 *
 * @param onLimit - Called when a connection is not read on.
 */
export function limitPipelinedRequests(server: http.Server, onLimit: () => void): void {
  server.prependListener('request', ({ socket }, response) => {
    const responses = unanswered.get(socket) ?? new Set();
    unanswered.set(socket, responses);
    responses.add(response);
    response.once('close', () => responses.delete(response));
  });
  server.on('upgrade', ({ socket }) => {
    onLimit();
    closeAfterAnswers(socket, [...(unanswered.get(socket) ?? [])]);
  });
}

/** Closes a connection after the answers to what was read. Node has removed its own listeners from it. */
function closeAfterAnswers(socket: Socket, responses: readonly http.ServerResponse[]): void {
  socket.on('error', () => socket.destroy());
  socket.on('drain', () => responses.find((response) => response.socket === socket)?.emit('drain'));
  discardRest(socket);
  const last = responses.at(-1);
  if (last === undefined || last.headersSent) return socket.destroySoon();
  last.shouldKeepAlive = false;
}
