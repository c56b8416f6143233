/**
 * A small stand-in for the weight store, not for production. It limits the transfers
 * that start per second, and concurrent transfers beyond a limit share its speed.
 */
import type http from 'node:http';
import { readJson, sendJson } from '../common/http-server.js';
import { TransferModel, type WeightStoreLimits } from '../weight-store/transfer-model.js';

const BODY_LIMIT_BYTES = 64 * 1024;
const ADVANCE_INTERVAL_MS = 5;

/** The weight store stand-in; `handle` is a request listener for Node's `http`. */
export class WeightStoreStandIn {
  private readonly transfers: TransferModel;
  private readonly pendingResponses = new Map<number, http.ServerResponse>();
  private readonly timer: NodeJS.Timeout;
  private nextId = 0;
  private stalled = false;

  constructor(limits: WeightStoreLimits) {
    this.transfers = new TransferModel(limits, Date.now());
    this.timer = setInterval(() => this.advanceTransfers(), ADVANCE_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops the timer that advances the transfers. */
  close(): void {
    clearInterval(this.timer);
  }

  /**
   * Serves one HTTP call: `/fetch`, which is answered when the transfer is complete,
   * or `/control/faults` with `{"stalled": boolean}`.
   */
  async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    if (request.url === '/control/faults') {
      this.stalled = (body.value as { stalled: boolean }).stalled;
      return sendJson(response, 200, {});
    }
    const id = this.nextId++;
    this.pendingResponses.set(id, response);
    response.on('close', () => {
      this.pendingResponses.delete(id);
      this.transfers.remove(id);
    });
    this.transfers.add(id, (body.value as { bytes: number }).bytes, Date.now());
  }

  private advanceTransfers(): void {
    if (this.stalled) return this.transfers.stall(Date.now());
    for (const id of this.transfers.advance(Date.now())) {
      const response = this.pendingResponses.get(id);
      if (response !== undefined) sendJson(response, 200, {});
    }
  }
}
