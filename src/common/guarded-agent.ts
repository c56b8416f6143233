/** HTTP agent that closes an idle connection on which bytes arrive: they belong to no request, and may have no end. */
import http from 'node:http';
import type { Socket } from 'node:net';

type DataListener = () => void;

/** Node's HTTP agent, which by itself reads and drops whatever arrives on an idle connection. */
export class GuardedAgent extends http.Agent {
  private readonly idleListeners = new WeakMap<Socket, DataListener>();

  /** @param onUnexpectedBytes - Called when bytes have arrived on an idle connection, before it is closed. */
  constructor(
    options: http.AgentOptions,
    private readonly onUnexpectedBytes: (socket: Socket) => void = () => {},
  ) {
    super(options);
  }

  /** Called by Node to decide whether a connection is kept alive. */
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.readableLength > 0) return false;
    // Node's type declares no result.
    const isKept = super.keepSocketAlive(socket) as unknown as boolean;
    if (isKept) this.watchIdle(socket);
    return isKept;
  }

  /** Called by Node when it reuses an idle connection for a request. */
  override reuseSocket(socket: Socket, request: http.ClientRequest): void {
    const listener = this.idleListeners.get(socket);
    if (listener !== undefined) socket.off('data', listener);
    this.idleListeners.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** Closes the connection if bytes arrive on it before it is reused. */
  protected watchIdle(socket: Socket): void {
    const listener = (): void => {
      this.onUnexpectedBytes(socket);
      socket.destroy();
    };
    this.idleListeners.set(socket, listener);
    socket.on('data', listener);
    socket.resume();
  }
}
