/**
 * Stand-in for a model replica, by PROTOCOL.md: holds models, takes orders at an expected count, serves streams and plain
 * requests, and keeps its own entry in the store. A case may take over single requests with `intercept`.
 */
import http from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const LOAD_MS = 400;
const UNLOAD_MS = 50;
/** A crashed replica's entry goes after three heartbeats of 1,200 ms. */
const LAPSE_MS = 3_600;

export class Replica {
  /** @param options name, service, host, zone, store, record, models, slots, eventMs, workMs, intercept */
  constructor(options) {
    this.options = options;
    this.starts = 0;
    this.models = new Set(options.models ?? []);
  }

  async start(port = 0) {
    const { name, host } = this.options;
    this.starts += 1;
    this.id = `i-${name}-${this.starts}`;
    if (this.starts > 1) this.models = new Set();
    this.count = 0;
    this.isBusy = false;
    this.running = 0;
    this.highestFence = 0;
    this.state = 'ready';
    this.server = http.createServer((request, response) => this.receive(request, response));
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.port = this.server.address().port;
    this.writeEntry();
    this.options.record.add(this.id, 'started');
  }

  get isUp() {
    return this.server !== undefined;
  }

  writeEntry() {
    const { service, host, zone = 'zone-a', slots = 64, store } = this.options;
    store.put('servers', this.id, {
      service,
      address: `${host}:${this.port}`,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      coldLeftMs: 0,
      seq: this.count,
      models: this.holdings(),
    });
  }

  holdings() {
    return [...this.models].map((name) => ({ name, version: 1, adapters: [] }));
  }

  /** Ends the process without a word; its connections are reset or closed by the system. */
  crash() {
    const { id } = this;
    this.options.record.add(id, 'crashes');
    const { server } = this;
    this.server = undefined;
    server.close();
    server.closeAllConnections();
    setTimeout(() => this.options.store.remove('servers', id), LAPSE_MS).unref();
  }

  stop() {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  receive(request, response) {
    request.on('error', () => {});
    response.on('error', () => {});
    const target = request.headers['x-target-instance'];
    const attempt = request.headers['x-attempt-id'];
    if (target !== undefined && target !== this.id) return refuse(response, 421, attempt);
    if (attempt !== undefined && this.options.intercept?.(this, request, response) === true) return;
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const body = chunks.map(String).join('');
      if (request.url === '/-/report') return this.report(response);
      if (request.url === '/-/order') return send(response, this.order(JSON.parse(body)), {});
      if (request.url === '/health') return this.health(response);
      if (attempt === undefined) return refuse(response, 400, undefined);
      this.serve(request, response, attempt);
    });
  }

  health(response) {
    response.writeHead(200, { 'x-instance-id': this.id, 'content-length': 0 });
    response.end();
  }

  report(response) {
    send(response, 200, {
      stage: 'both',
      models: this.holdings(),
      busy: this.isBusy,
      seq: this.count,
      waiting: 0,
      running: this.running,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
      coming: [],
    });
  }

  order({ operation, model, expectedCount, holder, fence }) {
    this.options.record.add(this.id, 'order', { operation, model, holder, fence, expectedCount });
    if (holder === undefined || fence === undefined) return 400;
    if (fence < this.highestFence) return 412;
    this.highestFence = fence;
    if (this.isBusy) return 409;
    const isLoad = operation === 'model_load';
    if (this.models.has(model) === isLoad) return 200;
    if (expectedCount !== undefined && expectedCount !== this.count) return 409;
    this.count += 1;
    this.isBusy = true;
    if (!isLoad) this.models.delete(model);
    const { id } = this;
    setTimeout(
      () => {
        if (this.id !== id || !this.isUp) return;
        this.isBusy = false;
        if (isLoad) this.models.add(model);
        this.writeEntry();
      },
      isLoad ? LOAD_MS : UNLOAD_MS,
    ).unref();
    return 202;
  }

  serve(request, response, attempt) {
    const model = request.headers['x-model'];
    if (model !== undefined && !this.models.has(model)) return refuse(response, 421, attempt);
    if (this.running >= (this.options.slots ?? 64)) return refuse(response, 503, attempt);
    this.options.record.add(this.id, 'runs', { attempt, url: request.url });
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    if (model !== undefined) return this.stream(request, response, attempt);
    setTimeout(() => this.answer(response, attempt), this.options.workMs ?? 20).unref();
  }

  answer(response, attempt) {
    if (response.destroyed) return;
    const body = `answer to ${attempt} by ${this.id}`;
    response.writeHead(200, { ...this.seal(attempt), 'content-length': body.length });
    response.end(body);
  }

  seal(attempt) {
    return { 'x-attempt-id': attempt, 'x-server-seal': `seal.${this.id}.${attempt}` };
  }

  /** Sends events 1 to `events`, or those after Last-Event-Id. */
  stream(request, response, attempt, { events = 40, breakAfter = Infinity } = {}) {
    let sent = Number(request.headers['last-event-id'] ?? 0);
    let made = 0;
    response.writeHead(200, { ...this.seal(attempt), 'content-type': 'text/event-stream' });
    const timer = setInterval(() => {
      if (made >= breakAfter) {
        clearInterval(timer);
        this.options.record.add(this.id, 'breaks off', { attempt, afterEvent: sent });
        return response.destroy();
      }
      sent += 1;
      made += 1;
      response.write(`id: ${sent}\ndata: piece ${sent} of ${attempt}\n\n`);
      if (sent < events) return;
      clearInterval(timer);
      response.end();
    }, this.options.eventMs ?? 25);
    response.once('close', () => clearInterval(timer));
  }
}

export function send(response, status, value, headers = {}) {
  if (response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  response.end(body);
}

export function refuse(response, status, attempt) {
  const id = attempt === undefined ? {} : { 'x-attempt-id': attempt };
  send(response, status, {}, { 'x-not-executed': '1', ...id });
}
