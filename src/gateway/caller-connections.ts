/**
 * The connections of a server for callers, and the requests on them, each from its first byte to the last byte of its answer. A stop
 * waits for them and closes the connections that have none.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';

/** Connections and requests of one server. */
export class CallerConnections {
  /** Answers that have not been written in full, by the connection that their request came on. */
  private readonly connections = new Map<Socket, Set<http.ServerResponse>>();
  /** Answers whose request has an exchange. */
  private readonly begun = new WeakSet<http.ServerResponse>();

  constructor(private readonly server: http.Server) {
    server.on('connection', (socket) => {
      this.connections.set(socket, new Set());
      socket.once('close', () => this.closed(socket));
    });
  }

  /** Records a request whose head was read, until its answer was written or its connection is closed. */
  add(request: http.IncomingMessage, response: http.ServerResponse): void {
    const answers = this.connections.get(request.socket);
    answers?.add(response);
    response.once('close', () => answers?.delete(response));
  }

  /** Records that a request has an exchange. */
  begin(response: http.ServerResponse): void {
    this.begun.add(response);
  }

  /** Number of requests whose head was read and that have neither an exchange nor an answer yet. */
  get receiving(): number {
    const waiting = this.answers().filter((response) => !response.headersSent);
    return waiting.filter((response) => !this.begun.has(response)).length;
  }

  /** Whether the head or the body of a request on a connection has not been read in full. */
  isReceiving(socket: Socket): boolean {
    const answers = [...(this.connections.get(socket) ?? [])];
    return answers.every(({ req }) => !req.complete);
  }

  /** Closes the connections without a request. Returns whether no request is left, not even a part of a head. */
  closeIdle(): boolean {
    // Node treats a connection as idle once its answer has ended, although the caller has not read it yet.
    if (this.answers().some(({ writableEnded }) => writableEnded)) return false;
    this.server.closeIdleConnections();
    return [...this.connections].every(([socket, answers]) => {
      return answers.size === 0 && !isReceivingHead(socket);
    });
  }

  private answers(): http.ServerResponse[] {
    return [...this.connections.values()].flatMap((answers) => [...answers]);
  }

  /** Closes the answers that wait behind another one on a connection: Node reports the close to the first one alone. */
  private closed(socket: Socket): void {
    const answers = this.connections.get(socket) ?? [];
    this.connections.delete(socket);
    for (const response of answers) {
      if (response.socket !== null) continue;
      response.destroy();
      response.emit('close');
    }
  }
}

/** Whether a connection that is not idle and has no request has received a part of a head, and can still be answered. */
function isReceivingHead(socket: Socket): boolean {
  return !socket.destroyed && !socket.writableFinished && socket.bytesRead > 0;
}
