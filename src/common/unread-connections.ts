/** Counts the connections of a server that were accepted and not read yet: a request may have arrived on them. */
import type net from 'node:net';
import { inputRead } from './process.js';

/** The connections of one server that are so new that nothing on them was read. */
export class UnreadConnections {
  private unread = 0;

  constructor(server: net.Server) {
    server.on('connection', () => void this.awaitFirstRead());
  }

  get count(): number {
    return this.unread;
  }

  /** Counts a connection until the turn of the event loop after the one that has accepted it. */
  private async awaitFirstRead(): Promise<void> {
    this.unread += 1;
    await inputRead();
    await inputRead();
    this.unread -= 1;
  }
}
