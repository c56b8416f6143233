/**
 * Ends connections of callers that send no valid request, or none in time. An answer that is being written stays undisturbed.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { CallerConnections } from './caller-connections.js';

/** Node's code for a request that did not arrive within the configured time. */
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Time for a caller to read an error and close its connection, in milliseconds. */
const MAX_CLOSING_MS = 2_000;

/** Handles the faults of one server's connections. */
export class CallerConnectionFaults {
  private readonly ending = new WeakSet<Socket>();

  constructor(
    server: http.Server,
    private readonly connections: CallerConnections,
  ) {
    server.on('clientError', (fault: NodeJS.ErrnoException, socket: Socket) => {
      // Its callers may send a request again that did not arrive in time: it has not begun.
      if (fault.code === REQUEST_TIMEOUT_CODE) this.refuse(socket, '408 Request Timeout');
      else this.refuse(socket, '400 Bad Request');
    });
  }

  private refuse(socket: Socket, status: string): void {
    // Each further part of what is no request is reported again.
    if (!socket.writable || this.ending.has(socket)) return;
    this.ending.add(socket);
    const lastAnswer = this.connections.expectedAnswers(socket).at(-1);
    if (lastAnswer !== undefined) {
      lastAnswer.once('close', () => socket.destroySoon());
      return;
    }
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    setTimeout(() => socket.destroy(), MAX_CLOSING_MS).unref();
  }
}
