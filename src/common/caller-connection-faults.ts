/**
 * Ends connections of callers that send no valid request, or none in time. After a pause of this process, timeouts expire before the
 * sockets are read, so a timeout counts only if nothing has arrived by then. An answer that is being written stays undisturbed.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { inputRead } from './process.js';
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
      if (fault.code === REQUEST_TIMEOUT_CODE) void this.requestLate(socket);
      else this.refuse(socket, '400 Bad Request');
    });
    // With a listener, Node does not close idle connections itself.
    server.on('timeout', (socket: Socket) => void this.idleTooLong(socket));
  }

  private async requestLate(socket: Socket): Promise<void> {
    const request = this.connections.lastRequest(socket);
    const wasComplete = request?.complete;
    await arrivedBytesRead(socket);
    const latest = this.connections.lastRequest(socket);
    if (latest !== request || latest?.complete !== wasComplete) return;
    // Its callers may send it again: it has not begun.
    this.refuse(socket, '408 Request Timeout');
  }

  private async idleTooLong(socket: Socket): Promise<void> {
    const { bytesRead } = socket;
    await inputRead();
    if (socket.bytesRead === bytesRead) socket.destroy();
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

/** Resolves once all bytes that have arrived on a connection were read; one reading takes a limited number of them. */
async function arrivedBytesRead(socket: Socket): Promise<void> {
  let bytesRead: number;
  do {
    ({ bytesRead } = socket);
    await inputRead();
  } while (socket.bytesRead > bytesRead);
}
