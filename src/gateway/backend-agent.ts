/**
 * Connections to backends. Kept connections are watched while they are idle: a byte
 * that nobody asked for belongs to no request, so its connection is dropped.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import { splitAddress } from '../common/http-client.js';

/** A kept connection is given up so long before the backend would close it. */
const EXPIRY_MARGIN_MS = 600;
/** Idle time after which a connection is given up when the backend names no time. */
const DEFAULT_IDLE_MS = 4_000;
const KEEP_ALIVE_SECONDS = /timeout=(\d+)/;

type Watcher = () => void;

/** Options of {@link BackendAgent}. */
export interface BackendAgentOptions {
  /** Called when an idle connection brought bytes. */
  readonly onUnaskedBytes: (address: string) => void;
}

/** Node's agent, with stricter rules on reuse. */
export class BackendAgent extends http.Agent {
  private readonly watchers = new WeakMap<Socket, Watcher>();

  constructor(private readonly backendOptions: BackendAgentOptions) {
    super({ keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo' });
  }

  /** Whether a connection to "ip:port" is idle. */
  hasIdleConnection(address: string): boolean {
    const [host, port] = splitAddress(address);
    const idle = this.freeSockets[this.getName({ host, port })] ?? [];
    return idle.some((socket) => !socket.destroyed);
  }

  /** Closes the connections to "ip:port" that are idle: the process at their other end has ended. */
  dropIdle(address: string): void {
    const [host, port] = splitAddress(address);
    const idle = this.freeSockets[this.getName({ host, port })] ?? [];
    for (const socket of [...idle]) socket.destroy();
  }

  /** Node asks whether a connection may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    const limitMs = idleLimitMs(socket);
    if (limitMs <= 0 || socket.readableLength > 0) return false;
    socket.setKeepAlive(true, 1_000);
    socket.unref();
    socket.setTimeout(limitMs, closeIdle);
    this.watch(socket);
    return true;
  }

  /** Node takes a kept connection for a request. */
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    const watcher = this.watchers.get(socket);
    if (watcher !== undefined) socket.off('data', watcher);
    this.watchers.delete(socket);
    socket.setTimeout(0, closeIdle);
    super.reuseSocket(socket, request);
  }

  private watch(socket: Socket): void {
    const watcher = (): void => {
      this.backendOptions.onUnaskedBytes(`${socket.remoteAddress}:${socket.remotePort}`);
      socket.destroy();
    };
    this.watchers.set(socket, watcher);
    socket.on('data', watcher);
    socket.resume();
  }
}

function closeIdle(this: Socket): void {
  this.destroy();
}

interface HttpSocket extends Socket {
  /** Node keeps the message that a connection carried last here. */
  readonly _httpMessage?: { readonly res?: http.IncomingMessage };
}

/** Milliseconds for which a connection may be idle. */
function idleLimitMs(socket: HttpSocket): number {
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = typeof hint === 'string' ? KEEP_ALIVE_SECONDS.exec(hint)?.[1] : undefined;
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Number(seconds) * 1_000 - EXPIRY_MARGIN_MS;
}
