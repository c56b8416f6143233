/**
 * The connections of a server for callers, and the requests on them, each from its first byte to the last byte of its answer. A stop
 * waits for them and closes the connections that have none.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';

/** Connections and requests of one server. */
export class CallerConnections {
  private readonly sockets = new Set<Socket>();
  /** Answers that have not been written in full, by the connection that their request came on. */
  private readonly answers = new Map<http.ServerResponse, Socket>();
  /** Answers whose request has an exchange. */
  private readonly begun = new WeakSet<http.ServerResponse>();

  constructor(private readonly server: http.Server) {
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** Records a request whose head was read, until its answer was written or its connection is closed. */
  add(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.answers.set(response, request.socket);
    response.once('close', () => this.answers.delete(response));
  }

  /** Records that a request has an exchange. */
  begin(response: http.ServerResponse): void {
    this.begun.add(response);
  }

  /** Number of requests whose head was read and that have neither an exchange nor an answer yet. */
  get receiving(): number {
    const waiting = [...this.answers.keys()].filter((response) => !response.headersSent);
    return waiting.filter((response) => !this.begun.has(response)).length;
  }

  /** Closes the connections without a request. Returns whether no request is left, not even a part of a head. */
  closeIdle(): boolean {
    // Node treats a connection as idle once its answer has ended, although the caller has not read it yet.
    if (this.hasUnwrittenAnswer()) return false;
    this.server.closeIdleConnections();
    return this.answers.size === 0 && !this.isReceivingHead();
  }

  private hasUnwrittenAnswer(): boolean {
    for (const { writableEnded } of this.answers.keys()) if (writableEnded) return true;
    return false;
  }

  /** Whether a connection that is not idle has no request: it has received a part of a head. */
  private isReceivingHead(): boolean {
    const answering = new Set(this.answers.values());
    return [...this.sockets].some(
      (socket) => !socket.destroyed && socket.bytesRead > 0 && !answering.has(socket),
    );
  }
}
