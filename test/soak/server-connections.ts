/**
 * The open connections of a stand-in's server. Some can be made silent for good: they stay open,
 * without a reset, but nothing on them is answered any more, while new ones work.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { SeededRandom } from './seeded-random.js';

/** Connections of the servers that were given to it. */
export class ServerConnections {
  private readonly open = new Set<Socket>();
  private readonly silent = new WeakSet<Socket>();

  /** Keeps account of a server's connections. */
  follow(server: http.Server): void {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    });
  }

  /** Makes a share of the open connections silent. */
  silence(share: number, random: SeededRandom): void {
    for (const socket of this.open) {
      if (random.chance(share)) this.silenceOne(socket);
    }
  }

  /** Requests on such a connection are to be ignored. */
  isSilent(socket: Socket): boolean {
    return this.silent.has(socket);
  }

  private silenceOne(socket: Socket): void {
    this.silent.add(socket);
    // The server closes connections that rest; a silent one must not tell of itself.
    socket.setTimeout(0);
    const swallow = (): boolean => true;
    socket.write = swallow;
  }
}
