/**
 * Tracks the open connections of a stand-in's server. A share of them can be made silent permanently: they stay
 * open, without a reset, but get no more responses, while new connections work.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';
import type { SeededRandom } from './seeded-random.js';

/** The open connections of the tracked servers. */
export class ServerConnections {
  private readonly open = new Set<Socket>();
  private readonly silent = new WeakSet<Socket>();

  /** Tracks the connections of a server. */
  track(server: http.Server): void {
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

  /** Holds back what is written to the open connections for a time. */
  pause(milliseconds: number): void {
    const paused = [...this.open];
    for (const socket of paused) socket.cork();
    setTimeout(() => {
      for (const socket of paused) socket.uncork();
    }, milliseconds).unref();
  }

  /** Returns whether the connection is silent; the server must ignore requests on it. */
  isSilent(socket: Socket): boolean {
    return this.silent.has(socket);
  }

  private silenceOne(socket: Socket): void {
    this.silent.add(socket);
    // The server closes idle connections, which would reveal a silent one to its client.
    socket.setTimeout(0);
    const discardWrite = (): boolean => true;
    socket.write = discardWrite;
  }
}
