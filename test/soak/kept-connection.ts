/** Persistent connection of a caller to one gateway; sends one request at a time. */
import http from 'node:http';
import { call, type CallRecord, type SoakRequest } from './caller.js';

/** Persistent connection of one caller. */
export class KeptConnection {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  /** @param address - "ip:port" of the gateway. */
  constructor(
    private readonly gateway: string,
    private readonly address: string,
  ) {}

  /** Whether the connection is idle and reusable: the gateway has not closed it. */
  get isOpen(): boolean {
    return Object.keys(this.agent.freeSockets).length > 0;
  }

  /** Sends a request; the previous one must have ended. */
  send(request: SoakRequest): Promise<CallRecord> {
    return call(request, this.gateway, this.address, this.agent);
  }

  close(): void {
    this.agent.destroy();
  }
}
