/**
 * The connections of a server for callers, and the requests on them, each from its first byte to the last byte of its answer. A stop
 * waits for them and closes the connections that have none.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import { inputRead } from '../common/process.js';
import { UnreadConnections } from './unread-connections.js';

/** Node closes an idle connection this much later than its answers announce. */
const IDLE_MARGIN_MS = 1_000;

/** Responses on whose connection another request was read before they were written. */
const followed = new WeakSet<http.ServerResponse>();

/** Whether another request on the same connection still needs it after this response. */
export function isFollowed(response: http.ServerResponse): boolean {
  return followed.has(response);
}

/** Connections and requests of one server. */
export class CallerConnections {
  /** The answers that have not been written in full, by the connection that their requests came on, in the order of the requests. */
  private readonly connections = new Map<Socket, Set<http.ServerResponse>>();
  /** The last request whose head was read, by connection. */
  private readonly lastRequests = new WeakMap<Socket, http.IncomingMessage>();
  /** Answers whose request has an exchange. */
  private readonly begun = new WeakSet<http.ServerResponse>();
  private readonly unread: UnreadConnections;

  constructor(private readonly server: http.Server) {
    server.on('connection', (socket) => {
      this.connections.set(socket, new Set());
      socket.once('close', () => this.closed(socket));
    });
    this.unread = new UnreadConnections(server);
    // With a listener, Node leaves it to close a connection whose idle time has passed.
    server.on('timeout', (socket: Socket) => void closeIfIdle(socket));
  }

  /**
   * Records a request whose head was read, until its answer was written or its connection is closed. Returns false for a request that
   * comes after an answer has announced the end of its connection: it can't be answered, so it must not begin.
   */
  add(request: http.IncomingMessage, response: http.ServerResponse): boolean {
    const answers = this.connections.get(request.socket);
    if (answers === undefined || [...answers].some(hasAnnouncedEnd)) return false;
    // After the last answer, Node still reads what has come until the end is written.
    if (!request.socket.writable) return false;
    for (const answer of answers) followed.add(answer);
    this.lastRequests.set(request.socket, request);
    answers.add(response);
    response.once('close', () => answers.delete(response));
    // The answer announces the idle time that is in force now.
    const idleMs = this.server.keepAliveTimeout;
    response.once('finish', () => keepOpen(request.socket, idleMs));
    return true;
  }

  /** The last request whose head was read on a connection. */
  lastRequest(socket: Socket): http.IncomingMessage | undefined {
    return this.lastRequests.get(socket);
  }

  /** The answers on a connection that have not been written in full, oldest first. */
  responsesOn(socket: Socket): http.ServerResponse[] {
    return [...(this.connections.get(socket) ?? [])];
  }

  /** Records that a request has an exchange. */
  begin(response: http.ServerResponse): void {
    this.begun.add(response);
  }

  /** Responses to requests whose head was read and that have neither an exchange nor an answer yet. */
  get receiving(): http.ServerResponse[] {
    const waiting = this.answers.filter((response) => !response.headersSent);
    return waiting.filter((response) => !this.begun.has(response));
  }

  /** Closes the connections without a request. Returns whether no request is left, not even a part of a head. */
  closeIdle(): boolean {
    const { answers } = this;
    if (this.unread.count > 0) return false;
    // Node treats a connection as idle once its answer has ended, although the caller has not read it yet.
    if (answers.some(({ writableEnded }) => writableEnded)) return false;
    this.server.closeIdleConnections();
    return answers.length === 0 && !this.isReceivingHead();
  }

  private get answers(): http.ServerResponse[] {
    return [...this.connections.values()].flatMap((answers) => [...answers]);
  }

  private closed(socket: Socket): void {
    const answers = this.connections.get(socket) ?? [];
    this.connections.delete(socket);
    for (const answer of answers) {
      // Node closes only the first answer; those queued behind it have no socket yet.
      if (answer.socket !== null) continue;
      answer.destroy();
      answer.emit('close');
    }
  }

  /** Whether a connection that is not idle has no request: it has received a part of a head. */
  private isReceivingHead(): boolean {
    return [...this.connections].some(
      ([socket, answers]) => answers.size === 0 && socket.bytesRead > 0 && isAnswerable(socket),
    );
  }
}

function hasAnnouncedEnd(answer: http.ServerResponse): boolean {
  return answer.headersSent && !answer.shouldKeepAlive;
}

/** Whether something can still be written to a connection. */
function isAnswerable({ destroyed, writableFinished }: Socket): boolean {
  return !destroyed && !writableFinished;
}

/** Keeps an idle connection open as long as its last answer announced, although the idle time was made shorter in the meantime. */
function keepOpen(socket: Socket, idleMs: number): void {
  // Without a timeout, another request on the connection is not answered yet.
  const { timeout = 0 } = socket;
  if (timeout > 0 && timeout < idleMs + IDLE_MARGIN_MS) socket.setTimeout(idleMs + IDLE_MARGIN_MS);
}

/** Closes a connection whose idle time has passed, unless a request had come by then, during a pause of this process. */
async function closeIfIdle(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await inputRead();
  if (socket.bytesRead === bytesRead) socket.destroy();
}
