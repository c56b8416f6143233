/** A small stand-in of the weight store: limited starts a second, shared speed. Not for production. */
import type http from 'node:http';
import { readJson, sendJson } from '../common/http-server.js';
import { TransferModel, type WeightStoreLimits } from '../weight-store/transfer-model.js';

const BODY_LIMIT_BYTES = 64 * 1024;
const TICK_MS = 5;

/** The stand-in; `handle` is a request listener for Node's `http`. */
export class WeightStoreStandIn {
  private readonly transfers: TransferModel;
  private readonly answers = new Map<number, http.ServerResponse>();
  private readonly ticker: NodeJS.Timeout;
  private nextId = 0;
  private stalled = false;

  constructor(limits: WeightStoreLimits) {
    this.transfers = new TransferModel(limits, Date.now());
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    this.ticker.unref();
  }

  /** Ends the clockwork. */
  close(): void {
    clearInterval(this.ticker);
  }

  /** Serves one call: `/fetch`, or `/control/faults` with `{"stalled": boolean}`. */
  async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    if (request.url === '/control/faults') {
      this.stalled = (body.value as { stalled: boolean }).stalled;
      return sendJson(response, 200, {});
    }
    const id = this.nextId++;
    this.answers.set(id, response);
    response.on('close', () => {
      this.answers.delete(id);
      this.transfers.remove(id);
    });
    this.transfers.add(id, (body.value as { bytes: number }).bytes, Date.now());
  }

  private tick(): void {
    if (this.stalled) return this.transfers.stall(Date.now());
    for (const id of this.transfers.advance(Date.now())) {
      const response = this.answers.get(id);
      if (response !== undefined) sendJson(response, 200, {});
    }
  }
}
