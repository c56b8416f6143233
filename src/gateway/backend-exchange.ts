/** One request sent to one backend, on Node's `http`. */
import http from 'node:http';
import type { Socket } from 'node:net';
import { splitAddress } from '../common/http-client.js';
import type { BackendAgent } from './backend-agent.js';
import { BodySender } from './body-sender.js';

/** A connection that is not up by then is given up: nothing of the request has been sent. */
const CONNECT_TIMEOUT_MS = 350;
/** A connection that is doubted is probed after so long without bytes; the kernel takes whole seconds. */
const PROBE_AFTER_MS = 1_000;

/** What is sent. */
export interface BackendRequest {
  /** "ip:port". */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns, as Node gives raw headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Why no whole answer came. */
export interface ExchangeFailure {
  /** Whether any byte of the request may have reached the backend. */
  readonly reached: boolean;
  readonly reason: string;
}

/** Hears the answer. After `onEnd` or `onFailure` nothing more is called. */
export interface ExchangeHandler {
  onHead(answer: http.IncomingMessage): void;
  onData(chunk: Buffer): void;
  /** The answer is whole. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** A request under way. */
export class BackendExchange {
  private readonly outgoing: http.ClientRequest;
  private readonly sender: BodySender;
  private incoming: http.IncomingMessage | undefined;
  private connected = false;
  private ended = false;

  constructor(
    request: BackendRequest,
    agent: BackendAgent,
    private readonly handler: ExchangeHandler,
  ) {
    const [host, port] = splitAddress(request.address);
    this.outgoing = http.request({
      host,
      port,
      method: request.method,
      path: request.path,
      headers: request.headers as unknown as http.OutgoingHttpHeaders,
      setHost: false,
      agent,
    });
    this.outgoing.on('socket', (socket) => this.watchConnect(socket));
    this.outgoing.on('response', (answer) => this.receive(answer));
    this.outgoing.on('error', (fault) => this.fail(fault.message));
    this.outgoing.on('information', () => {});
    this.sender = new BodySender(this.outgoing, request.body);
  }

  /** Steady time up to which the backend takes a long body; -Infinity if the body is short. */
  get bodyTakenUntil(): number {
    return this.sender.takenUntil;
  }

  /** Drops the connection; nothing more is called. */
  abort(): void {
    this.ended = true;
    this.outgoing.destroy();
  }

  /** Ends the exchange as failed: the backend's process is known to have ended. */
  giveUp(reason: string): void {
    this.fail(reason);
  }

  /**
   * Has the connection probed when nothing passes for a second: one whose other end has started anew is reset,
   * though nothing was heard when the earlier process ended; one to the process of now is left as it is.
   */
  probe(): void {
    this.outgoing.socket?.setKeepAlive(true, PROBE_AFTER_MS);
  }

  /** Stops and resumes reading. */
  setPaused(paused: boolean): void {
    if (paused) this.incoming?.pause();
    else this.incoming?.resume();
  }

  private watchConnect(socket: Socket): void {
    if (!socket.connecting) {
      this.connected = true;
      return;
    }
    const timer = setTimeout(() => {
      if (!this.connected) this.outgoing.destroy(new Error('no connection in time'));
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      this.connected = true;
      clearTimeout(timer);
    });
    socket.once('close', () => clearTimeout(timer));
  }

  private receive(answer: http.IncomingMessage): void {
    if (this.ended) return;
    this.incoming = answer;
    if (isUnframed(answer)) this.watchReset(answer.socket);
    this.handler.onHead(answer);
    answer.on('data', (chunk: Buffer) => {
      if (!this.ended) this.handler.onData(chunk);
    });
    answer.on('error', (fault) => this.fail(fault.message));
    answer.on('end', () => {
      if (!answer.complete) return this.fail('the answer was cut off');
      if (this.ended) return;
      this.ended = true;
      this.handler.onEnd();
    });
  }

  /**
   * The end of an answer without a length is the end of its connection. A reset
   * that comes right behind the last bytes looks like an orderly end to Node, but
   * a connection that was reset has no peer any more.
   */
  private watchReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) this.fail('the connection was reset');
    });
  }

  private fail(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.outgoing.destroy();
    this.handler.onFailure({ reached: this.connected, reason });
  }
}

/** Whether only the end of the connection tells the end of the answer. */
function isUnframed(answer: http.IncomingMessage): boolean {
  const { headers } = answer;
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
