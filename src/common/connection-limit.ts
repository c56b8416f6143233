/**
 * Limits the connections of a server and the requests on each of them. At the limit the connection is closed that has had no request to
 * answer for the longest time, so that connections that send nothing, or a part of a head, do not keep others out.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { LIMITED_REQUEST_OPTIONS, limitPipelinedRequests } from './pipelined-requests.js';

/** Options that `http.createServer` needs for {@link ConnectionLimit}. */
export const LIMITED_SERVER_OPTIONS = LIMITED_REQUEST_OPTIONS;

/** Why a connection is closed. */
export type ConnectionClosure =
  /** There are too many connections. */
  | 'connections'
  /** Too many connections have no request to answer: each may hold a part of a head. */
  | 'heads'
  /** Too many requests of the connection are not answered. */
  | 'pipelined';

/** Options of {@link ConnectionLimit}. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Most connections that have no request to answer. */
  readonly maxWaiting: () => number;
  /** Refuses a request that has not been received in full. Returns false if there is none. */
  readonly refuseRequest: () => boolean;
  /** Answers on a connection that is closed within a head, as far as bytes of one have come. */
  readonly answerHead: (socket: Socket) => void;
  /** Called for each connection that is closed. */
  readonly onClosed: (closure: ConnectionClosure, connections: number) => void;
}

/** The connections of one server, which must be created with {@link LIMITED_SERVER_OPTIONS}. */
export class ConnectionLimit {
  private connections = 0;
  /** Connections without a request to answer, longest first, and beyond how many read bytes each has a part of a head. */
  private readonly waiting = new Map<Socket, number>();
  /** Number of requests that are not answered, by connection. */
  private readonly unanswered = new Map<Socket, number>();

  constructor(
    server: http.Server,
    private readonly options: ConnectionLimitOptions,
  ) {
    server.on('connection', (socket) => this.add(socket));
    limitPipelinedRequests(server, () => options.onClosed('pipelined', this.connections));
    // A request may be refused by the listener that answers it.
    server.prependListener('request', (_request, response) => this.begin(response));
  }

  /** Records that a connection is only read on to discard what comes: its request was answered. */
  release(socket: Socket): void {
    if (this.unanswered.delete(socket)) this.waiting.set(socket, Infinity);
  }

  private add(socket: Socket): void {
    this.connections += 1;
    socket.once('close', () => {
      this.connections -= 1;
      this.waiting.delete(socket);
      this.unanswered.delete(socket);
    });
    const { maxConnections, maxWaiting, refuseRequest } = this.options;
    if (this.connections > maxConnections) {
      if (this.waiting.size === 0) refuseRequest();
      // Without a connection that waits or a request that may be refused, the new connection is closed.
      if (this.waiting.size === 0) this.wait(socket);
      this.closeLongestWaiting('connections');
      if (socket.destroyed) return;
    }
    this.wait(socket);
    if (this.waiting.size > maxWaiting()) this.closeLongestWaiting('heads');
  }

  private begin(response: http.ServerResponse): void {
    const { socket } = response.req;
    this.waiting.delete(socket);
    this.unanswered.set(socket, (this.unanswered.get(socket) ?? 0) + 1);
    response.once('close', () => this.end(socket));
  }

  private end(socket: Socket): void {
    const left = (this.unanswered.get(socket) ?? 0) - 1;
    if (left > 0) return void this.unanswered.set(socket, left);
    if (this.unanswered.delete(socket) && !socket.destroyed) this.wait(socket);
  }

  private wait(socket: Socket): void {
    this.waiting.set(socket, socket.bytesRead);
  }

  private closeLongestWaiting(closure: ConnectionClosure): void {
    const [longest] = this.waiting;
    if (longest === undefined) return;
    const [socket, bytesRead] = longest;
    this.waiting.delete(socket);
    this.options.onClosed(closure, this.connections);
    if (socket.bytesRead > bytesRead) this.options.answerHead(socket);
    if (socket.writableLength > 0) socket.destroySoon();
    else socket.destroy();
  }
}
