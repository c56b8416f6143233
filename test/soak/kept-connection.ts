/** A connection that a caller keeps open to one gateway, for one request after the other. */
import http from 'node:http';
import { call, type CallRecord, type SoakRequest } from './caller.js';

/** One caller's connection. */
export class KeptConnection {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  /** @param address - "ip:port" of the gateway. */
  constructor(
    private readonly gateway: string,
    private readonly address: string,
  ) {}

  /** Whether the connection rests and may be used again: the gateway has not closed it. */
  get isOpen(): boolean {
    return Object.keys(this.agent.freeSockets).length > 0;
  }

  /** Sends a request; the one before must have ended. */
  send(request: SoakRequest): Promise<CallRecord> {
    return call(request, this.gateway, this.address, this.agent);
  }

  close(): void {
    this.agent.destroy();
  }
}
