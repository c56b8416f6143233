/**
 * Stand-in for a replica, after PROTOCOL.md: it enters itself in the store, takes orders under `expectedCount` and fences, and runs
 * requests of models that it holds as streams. A replica without models runs plain requests.
 */
import http from 'node:http';
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const EVENT_PERIOD_MS = 20;
const WORK_MS = 40;

let starts = 0;

export class Replica {
  #server;
  #models;
  #sequence = 0;
  #highestFence = 0;
  #isBusy = false;
  #running = 0;
  #options;

  /**
   * @param options.models - Models that it holds at first; undefined for a service without models.
   * @param options.room - Number of models for which it has memory.
   * @param options.loadMs - Time to load a model.
   */
  constructor(options) {
    this.#options = { slots: 64, ...options };
    starts += 1;
    this.id = `i-${options.service}-${starts}`;
    this.#models = new Set(options.models ?? []);
  }

  async start() {
    this.#server = http.createServer((request, response) => this.#receive(request, response));
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.#enter();
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #enter() {
    const { store, service, slots, zone } = this.#options;
    store.put('servers', this.id, {
      service,
      address: `127.0.0.1:${this.#server.address().port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq: this.#sequence,
      ...this.#holdings(),
    });
  }

  #holdings() {
    if (this.#options.models === undefined) return {};
    const models = [...this.#models].map((name) => ({ name, version: 1, adapters: [] }));
    return { stage: 'both', models };
  }

  #receive(request, response) {
    const parts = [];
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('data', (part) => parts.push(part));
    request.on('end', () => this.#serve(request, response, Buffer.concat(parts)));
  }

  #serve(request, response, body) {
    const id = request.headers['x-attempt-id'];
    if (id !== undefined) response.setHeader('X-Attempt-Id', id);
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) return refuse(response, 421);
    if (request.url === '/-/report') return this.#report(response);
    if (request.url === '/-/order') return this.#order(JSON.parse(body.toString()), response);
    const model = String(request.headers['x-model'] ?? '').split('/')[0];
    if (this.#options.models !== undefined && !this.#models.has(model))
      return refuse(response, 421);
    if (this.#running >= this.#options.slots) return refuse(response, 503);
    this.#run(request, response, id);
  }

  #run(request, response, id) {
    this.#options.record.add('runs', { request: id, replica: this.id });
    this.#running += 1;
    response.once('close', () => (this.#running -= 1));
    const seal = { 'X-Server-Seal': `${this.id}.${id}` };
    if (this.#options.models === undefined) {
      setTimeout(() => sendJson(response, 200, { request: id }, seal), WORK_MS);
      return;
    }
    const events = Number(String(request.headers['x-token-counts']).split(',')[1]);
    let sent = Number(request.headers['last-event-id'] ?? 0);
    response.writeHead(200, { 'content-type': 'text/event-stream', ...seal });
    const timer = setInterval(() => {
      if (sent < events) response.write(`id: ${(sent += 1)}\ndata: ${id} ${sent}\n\n`);
      if (sent >= events) response.end();
    }, EVENT_PERIOD_MS);
    response.once('close', () => clearInterval(timer));
  }

  #report(response) {
    sendJson(response, 200, {
      ...this.#holdings(),
      busy: this.#isBusy,
      seq: this.#sequence,
      waiting: 0,
      running: this.#running,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
    });
  }

  #order(order, response) {
    const status = this.#execute(order);
    const { operation, model, holder, fence } = order;
    this.#options.record.add('order', {
      replica: this.id,
      operation,
      model,
      holder,
      fence,
      status,
    });
    sendJson(response, status, {});
  }

  #execute({ operation, model, expectedCount, fence }) {
    if (fence < this.#highestFence) return 412;
    this.#highestFence = fence;
    const isLoad = operation === 'model_load';
    if (this.#isBusy) return 409;
    if (this.#models.has(model) === isLoad) return 200;
    if (expectedCount !== undefined && expectedCount !== this.#sequence) return 409;
    if (isLoad && this.#models.size >= this.#options.room) return 400;
    this.#sequence += 1;
    this.#isBusy = true;
    if (!isLoad) this.#models.delete(model);
    setTimeout(() => this.#finish(isLoad, model), isLoad ? this.#options.loadMs : 30);
    return 202;
  }

  #finish(isLoad, model) {
    this.#isBusy = false;
    if (isLoad) this.#models.add(model);
    this.#enter();
  }
}

function refuse(response, status) {
  response.writeHead(status, { 'X-Not-Executed': '1', 'content-length': 0 });
  response.end();
}

function sendJson(response, status, body, headers = {}) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  const length = Buffer.byteLength(text);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': length,
    ...headers,
  });
  response.end(text);
}
