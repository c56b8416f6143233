/** A request whose connection can be read no further, even within what one read has brought. */
import http from 'node:http';
import type { Socket } from 'node:net';

/** Most requests of one connection that are not answered. Callers that wait for an answer before the next request have one. */
export const MAX_PIPELINED_REQUESTS = 64;

/** Responses that have not been written in full, oldest first, by connection. */
const unanswered = new WeakMap<Socket, Set<http.ServerResponse>>();

/** Returns the responses of a connection that have not been written in full; the caller keeps the set up to date. */
export function unansweredOn(socket: Socket): Set<http.ServerResponse> {
  const responses = unanswered.get(socket) ?? new Set();
  unanswered.set(socket, responses);
  return responses;
}

/**
 * A request of a server with limits. Node takes it for one that upgrades its connection if too many are not answered: Node then stops
 * to parse what has come on the connection, however much that is, and emits `upgrade`. No other event lets a server stop there.
 */
export class LimitedRequest extends http.IncomingMessage {
  private isUpgrade = false;
  private isStopped = false;

  get upgrade(): boolean {
    const isTunnel = this.isUpgrade && this.method === 'CONNECT';
    return isTunnel || unansweredOn(this.socket).size >= MAX_PIPELINED_REQUESTS;
  }

  set upgrade(isUpgrade: boolean) {
    this.isUpgrade = isUpgrade;
  }

  /** Drops what still comes of the body. The connection is not read on. */
  stopReading(): void {
    this.isStopped = true;
  }

  /** Called by Node with each part of the body. After `false`, Node reads the connection no further. */
  override push(part: Buffer | null): boolean {
    return this.isStopped && part !== null ? false : super.push(part);
  }
}
