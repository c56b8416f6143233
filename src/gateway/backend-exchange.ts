/** Sends one HTTP request to one backend with Node's `http`. */
import http from 'node:http';
import type { Socket } from 'node:net';
import { splitAddress } from '../common/http-client.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import {
  limitInformationalHeads,
  MAX_HEAD_BYTES,
  ResponseMeter,
} from '../common/response-limits.js';
import { invalidHeadReason } from './answer-head-check.js';
import type { BackendAgent, ConnectionPool, PooledRequestOptions } from './backend-agent.js';
import type { ExchangeObserver } from './backend-watch.js';
import { BodySender } from './body-sender.js';
import {
  encodeRelayTarget,
  mayHaveReachedBackend,
  parseRelayFailure,
  relayAddressOf,
  RELAY_FAILURE_HEADER,
  withRelayedPool,
  type RelayFailure,
} from './relay-protocol.js';

/** Timeout for opening a connection. Nothing of the request has been sent when it passes. */
const CONNECT_TIMEOUT_MS = 350;
/**
 * Idle time before TCP keep-alive probes a connection that may be dead. The kernel accepts whole seconds only.
 */
const PROBE_AFTER_MS = 1_000;

/** Most bytes and milliseconds for the rest of an answer that nobody uses; after them its connection is closed. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const MAX_DISCARD_MS = 1_000;

/** The request to send. */
export interface BackendRequest {
  /** "ip:port". */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, in the format of Node's raw headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The backend connections that the request may use, here or at the relay. */
  readonly pool: ConnectionPool;
  /**
   * Most bytes of the answer, or of the part of it since {@link BackendExchange.partForwarded}; undefined for one that is forwarded as
   * it arrives.
   */
  readonly maxAnswerBytes?: number;
  /** The daemon that relays the request; undefined to send it to `address`. */
  readonly relay?: { readonly peer: string; readonly backend: string };
}

/** Why no complete answer was received. */
export interface ExchangeFailure {
  /** Whether the backend may have received any byte of the request. */
  readonly reached: boolean;
  readonly reason: string;
  /** The backend's answer is not one that HTTP allows; undefined if no answer was received. */
  readonly isInvalidAnswer?: boolean;
  /** Why the relay has no answer of the backend; undefined for a direct request, or if the relay gave no reason. */
  readonly relayFailure?: RelayFailure;
}

/** Callbacks for the answer. No callback follows `onEnd` or `onFailure`. */
export interface ExchangeHandler {
  /** Called when the connection is open, so that the request is sent now. */
  onOpened?(): void;
  onHead(answer: http.IncomingMessage): void;
  onData(chunk: Buffer): void;
  /** Called when the answer is complete. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
  /** Called when the relay has received the request. */
  onRelayAcknowledged?(): void;
}

/** A running exchange with a backend. */
export class BackendExchange {
  private readonly outgoing: http.ClientRequest;
  private readonly sender: BodySender;
  private incoming: http.IncomingMessage | undefined;
  private readonly isRelayed: boolean;
  private meter: ResponseMeter | undefined;
  private discardTimeout: ReplyTimeout | undefined;
  private readonly maxAnswerBytes: number;
  private connected = false;
  private ended = false;
  private openedPort: number | undefined;
  private hasBody = false;

  constructor(
    request: BackendRequest,
    agent: BackendAgent,
    private readonly handler: ExchangeHandler,
    private readonly observer: ExchangeObserver,
    /** Clock for {@link bodyReadUntil}, in milliseconds. */
    now: () => number,
  ) {
    const { relay, path, pool } = request;
    this.isRelayed = relay !== undefined;
    this.maxAnswerBytes = request.maxAnswerBytes ?? Infinity;
    const [host, port] = splitAddress(relay ? relayAddressOf(relay.peer) : request.address);
    const headers = relay ? withRelayedPool(request.headers, pool) : request.headers;
    const options: http.RequestOptions & PooledRequestOptions = {
      host,
      port,
      method: request.method,
      path: relay ? encodeRelayTarget({ backend: relay.backend, path }) : path,
      headers,
      setHost: false,
      maxHeaderSize: MAX_HEAD_BYTES,
      // A new connection shows that the relay is reached before anything is sent to it.
      agent: relay ? false : agent,
      pool,
    };
    this.outgoing = http.request(options);
    this.outgoing.on('socket', (socket) => this.watchConnect(socket));
    this.outgoing.on('response', (answer) => this.receive(answer));
    this.outgoing.on('error', (fault) => this.fail(fault.message));
    this.outgoing.on('information', () => {
      if (this.isRelayed && !this.ended) this.handler.onRelayAcknowledged?.();
    });
    limitInformationalHeads(this.outgoing, (reason) =>
      this.rejectAnswer(`the answer has ${reason}`),
    );
    this.sender = new BodySender(this.outgoing, request.body, now);
  }

  /**
   * Time of the clock until which the backend is known or expected to read a long body; -Infinity if the body is
   * short.
   */
  get bodyReadUntil(): number {
    return this.sender.readUntil;
  }

  /** Whether the backend has read the whole body, as far as this process can tell. */
  get isBodyRead(): boolean {
    return this.sender.isRead;
  }

  /**
   * Whether the answer has neither a length nor any byte of a body. Only the end of the connection ends such an answer, so it may have
   * been cut off right after its head.
   */
  get isHeadOnly(): boolean {
    if (this.incoming === undefined || this.hasBody || this.outgoing.method === 'HEAD')
      return false;
    return isUnframed(this.incoming);
  }

  /** Local port of the connection, which identifies it in log lines; undefined before the connection has opened. */
  get localPort(): number | undefined {
    return this.openedPort;
  }

  /** Whether the connection carried earlier requests. */
  get isReused(): boolean {
    return this.outgoing.reusedSocket;
  }

  /** Starts to measure the next part of the answer, because the part that has arrived is forwarded. */
  partForwarded(): void {
    this.meter?.restart();
  }

  /** Reads the rest of an answer that is not used, so that the connection can carry other requests if the rest is short. */
  discard(): void {
    this.meter?.restart(MAX_DISCARDED_BYTES);
    this.discardTimeout = startReplyTimeout(MAX_DISCARD_MS, () => this.abort());
  }

  /** Closes the connection without a callback. */
  abort(): void {
    this.ended = true;
    this.discardTimeout?.cancel();
    this.observer.ended();
    this.outgoing.destroy();
  }

  /** Fails the exchange, for use when the backend's process is known to have ended. */
  giveUp(reason: string): void {
    this.fail(reason);
  }

  /**
   * Enables TCP keep-alive probes after one second without traffic. The probe resets a connection to an earlier
   * process whose end was not noticed, and does not affect a connection to the current process.
   */
  probe(): void {
    this.outgoing.socket?.setKeepAlive(true, PROBE_AFTER_MS);
  }

  /** Pauses or resumes reading of the answer. */
  setPaused(paused: boolean): void {
    if (paused) this.incoming?.pause();
    else this.incoming?.resume();
  }

  private watchConnect(socket: Socket): void {
    if (!socket.connecting) return this.opened(socket);
    const timeout = startReplyTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.connected) this.outgoing.destroy(new Error('connection timed out'));
    });
    socket.once('connect', () => {
      this.opened(socket);
      timeout.cancel();
    });
    socket.once('close', () => timeout.cancel());
  }

  private opened(socket: Socket): void {
    this.connected = true;
    this.openedPort = socket.localPort;
    if (this.ended) return;
    this.observer.sent();
    this.handler.onOpened?.();
  }

  private receive(answer: http.IncomingMessage): void {
    if (this.ended) return;
    const relayFailure = this.isRelayed
      ? parseRelayFailure(answer.headers[RELAY_FAILURE_HEADER])
      : undefined;
    if (relayFailure !== undefined) return this.relayFailed(relayFailure);
    this.incoming = answer;
    this.observer.received();
    const invalidReason = invalidHeadReason(answer);
    if (invalidReason !== undefined) {
      return this.rejectAnswer(invalidReason);
    }
    if (isUnframed(answer)) this.watchReset(answer.socket);
    this.meter = new ResponseMeter(answer.socket, this.maxAnswerBytes);
    this.handler.onHead(answer);
    answer.on('data', (chunk: Buffer) => {
      if (this.ended) return;
      this.observer.received();
      this.hasBody = true;
      const excess = this.meter?.recordPart(chunk.length);
      if (excess !== undefined) return this.rejectAnswer(`the answer has ${excess}`);
      this.handler.onData(chunk);
    });
    answer.on('error', (fault) => this.fail(fault.message));
    answer.on('end', () => {
      if (!answer.complete) return this.fail('the answer was cut off');
      if (this.ended) return;
      this.ended = true;
      this.discardTimeout?.cancel();
      this.observer.ended();
      this.handler.onEnd();
    });
  }

  /**
   * An answer without a length ends with its connection. Node reports a reset
   * directly after the last bytes as an orderly end, but a socket that was reset
   * has no remote address any more.
   */
  private watchReset(socket: Socket): void {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) this.fail('the connection was reset');
    });
  }

  /** Ends the exchange because what arrived is not an answer, or is larger than the gateway keeps. */
  private rejectAnswer(reason: string): void {
    this.end({ reached: true, reason, isInvalidAnswer: true });
  }

  private relayFailed(relayFailure: RelayFailure): void {
    const reached = mayHaveReachedBackend(relayFailure);
    this.end({ reached, reason: `relay: ${relayFailure}`, relayFailure });
  }

  private fail(reason: string): void {
    const noRelay = this.isRelayed && !this.connected;
    const failure = { reached: this.connected, reason };
    this.end(noRelay ? { ...failure, relayFailure: 'no_relay' } : failure);
  }

  private end(failure: ExchangeFailure): void {
    if (this.ended) return;
    this.ended = true;
    this.discardTimeout?.cancel();
    this.observer.ended();
    this.outgoing.destroy();
    this.handler.onFailure(failure);
  }
}

/** Statuses of answers that have no body, and so need no length. */
const BODILESS_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Returns whether the answer has no length, so that it ends with its connection. */
function isUnframed({ headers, statusCode }: http.IncomingMessage): boolean {
  if (BODILESS_STATUSES.has(statusCode)) return false;
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
