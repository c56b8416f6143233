/**
 * HTTP agent for connections to backends. A backend may send a second answer to a request where the answer to the
 * next one should come. Two rules keep it from being taken for that answer:
 *
 * - An idle connection that receives bytes is closed, because they belong to no request.
 * - Connections are pooled by {@link ConnectionPool}. An answer repeats the id of its request, but all sends of one
 *   request carry the same id, so that each of them has a pool of its own. Orders and reports carry no id, so that
 *   they share no connection with requests or with each other.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { GuardedAgent } from '../common/guarded-agent.js';
import { splitAddress } from '../common/http-client.js';

/** An idle connection is closed this long before the backend would close it. */
const EXPIRY_MARGIN_MS = 600;
/** Idle time after which a connection is closed if the backend sends no keep-alive timeout. */
const DEFAULT_IDLE_MS = 4_000;
/** Longest idle time that a backend's keep-alive timeout may set. */
const MAX_IDLE_MS = 600_000;
const KEEP_ALIVE_SECONDS = /timeout=(\d+)/;

/** Which connections a request may use. */
export type ConnectionPool =
  /** Connections for the first, second, … send of callers' requests. */
  | `send-${number}`
  /** Connections for orders. The expected sequence of an order makes a wrong answer to the one before harmless. */
  | 'orders'
  /** Connections for requests for reports, which may be out of date in any case. */
  | 'reports'
  /** A connection for one request, which is closed after the answer. */
  | 'single';

/** Returns the pool for a send of a caller's request, counted from 1. */
export function poolOfSend(sendNumber: number): ConnectionPool {
  return `send-${sendNumber}`;
}

/** Options of a request that Node passes on to its agent. */
export interface PooledRequestOptions {
  readonly pool?: ConnectionPool | undefined;
}

/** Called with "ip:port" and the socket of a connection that is being opened. */
export type ConnectionListener = (address: string, socket: Socket) => void;

/** Options of {@link BackendAgent}. */
export interface BackendAgentOptions {
  /** Called with "ip:port" when an idle connection received bytes. */
  readonly onUnexpectedBytes: (address: string) => void;
}

/** Node's HTTP agent with stricter rules for connection reuse. */
export class BackendAgent extends GuardedAgent {
  private readonly singleUse = new WeakSet<Duplex>();
  private onConnection: ConnectionListener = () => {};

  constructor({ onUnexpectedBytes }: BackendAgentOptions) {
    super({ keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo' }, (socket) =>
      onUnexpectedBytes(`${socket.remoteAddress}:${socket.remotePort}`),
    );
  }

  /** Calls a listener for each connection from now on, for requests and orders alike. */
  observeConnections(listener: ConnectionListener): void {
    this.onConnection = listener;
  }

  /** Called by Node to open a connection. */
  override createConnection(
    options: http.ClientRequestArgs & PooledRequestOptions,
    callback?: (fault: Error | null, socket: Duplex) => void,
  ): Duplex {
    const socket = super.createConnection(options, callback) as Socket;
    if (options.pool === 'single') this.singleUse.add(socket);
    this.onConnection(`${options.host}:${options.port}`, socket);
    return socket;
  }

  /** Called by Node for the name under which connections that a request may use are kept. */
  override getName(options: http.ClientRequestArgs & PooledRequestOptions = {}): string {
    return `${super.getName(options)}#${options.pool ?? ''}`;
  }

  /** Returns whether a pool has an idle connection to "ip:port". */
  hasIdleConnection(address: string, pool: ConnectionPool): boolean {
    const [host, port] = splitAddress(address);
    const idle = this.freeSockets[this.getName({ host, port, pool })] ?? [];
    return idle.some((socket) => !socket.destroyed);
  }

  /** Closes the idle connections to "ip:port", for use when the process at the other end has ended. */
  dropIdle(address: string): void {
    const [host, port] = splitAddress(address);
    const prefix = this.getName({ host, port });
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (name.startsWith(prefix)) for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  /** Closes all idle connections, for use when no backend can be reached. */
  dropAllIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }

  /** Called by Node to decide whether a connection is kept alive. */
  override keepSocketAlive(socket: Socket): boolean {
    const limitMs = idleLimitMs(socket);
    if (this.singleUse.has(socket) || limitMs <= 0 || socket.readableLength > 0) return false;
    socket.setKeepAlive(true, 1_000);
    socket.unref();
    socket.setTimeout(limitMs, closeIdle);
    this.watchIdle(socket);
    return true;
  }

  /** Called by Node when it reuses an idle connection for a request. */
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    socket.setTimeout(0, closeIdle);
    super.reuseSocket(socket, request);
  }
}

function closeIdle(this: Socket): void {
  this.destroy();
}

interface HttpSocket extends Socket {
  /** The last request on the connection, as Node stores it. */
  readonly _httpMessage?: { readonly res?: http.IncomingMessage };
}

/** Returns the milliseconds for which a connection may be idle. */
function idleLimitMs(socket: HttpSocket): number {
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = typeof hint === 'string' ? KEEP_ALIVE_SECONDS.exec(hint)?.[1] : undefined;
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Math.min(MAX_IDLE_MS, Number(seconds) * 1_000 - EXPIRY_MARGIN_MS);
}
