/**
 * A small stand-in of a model engine: sealed epochs, loads with caches and a
 * weight store, streams that can be resumed and cancelled, lagging reports, and
 * fault switches. It writes its own log, which the auditor reads. Not for production.
 */
import { randomUUID } from 'node:crypto';
import type http from 'node:http';
import { readJson, sendJson } from '../common/http-server.js';
import type {
  EngineOrder,
  EngineReport,
  EngineRequest,
  Holding,
  OrderAnswer,
  OrderFence,
  OrderRefusal,
  ReplicaSpec,
  ReplicaState,
  RequestRefusal,
} from '../engines/engine-client.js';
import type { WeightStoreClient } from '../weight-store/weight-store-client.js';
import type {
  EngineFaults,
  EngineLogEvent,
  EngineStandInOptions,
} from './engine-stand-in-options.js';
import { answerLength, answerToken } from './expected-answer.js';

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
/** Least milliseconds between two reports: the engines report with a lag. */
const REPORT_LAG_MS = 50;
const ALIVE_PERIOD_MS = 1000;
/** Milliseconds that a finished request can still be resumed. */
const FINISHED_KEPT_MS = 60_000;
const LOAD_TIMEOUT_MS = 120_000;

interface HeldReplica {
  replica: ReplicaSpec;
  state: ReplicaState;
  inFlight: number;
  lastUsedAt: number;
}

interface RunningRequest {
  readonly request: EngineRequest;
  readonly length: number;
  produced: number;
  done: boolean;
  cancelled: boolean;
  readonly listeners: Set<http.ServerResponse>;
}

/** The stand-in; `handle` is a request listener for Node's `http`. */
export class EngineStandIn {
  readonly faults: EngineFaults = {
    frozen: false,
    loseOrderReplies: 0,
    orderDelayMs: 0,
    slowFactor: 1,
    cutStreams: false,
    nonsense: false,
    ignoreFence: false,
    corruptTokens: false,
  };
  private readonly incarnation = randomUUID();
  private fencePool = '';
  private fenceEpoch = 0;
  private lastSequence = 0;
  private lastAnswer: OrderAnswer | undefined;
  private reportNumber = 0;
  private leaving = false;
  private readonly holdings = new Map<string, HeldReplica>();
  private readonly memoryCache: string[];
  private readonly diskCache: Set<string>;
  private readonly requests = new Map<string, RunningRequest>();
  private readonly tombstones = new Set<string>();
  private readonly reportWatchers = new Set<http.ServerResponse>();
  private reportTimer: NodeJS.Timeout | undefined;
  private readonly aliveTimer: NodeJS.Timeout;

  constructor(
    private readonly options: EngineStandInOptions,
    private readonly weightStore: WeightStoreClient,
  ) {
    this.memoryCache = [...options.memoryCache];
    this.diskCache = new Set(options.diskCache);
    this.aliveTimer = setInterval(() => this.sendAlive(), ALIVE_PERIOD_MS);
    this.aliveTimer.unref();
    this.log('start', { capacityBytes: options.capacityBytes });
  }

  /** Ends the clockwork. */
  close(): void {
    clearInterval(this.aliveTimer);
    clearTimeout(this.reportTimer);
  }

  /** Serves one call. */
  async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const [head = '', tail = ''] = url.pathname.slice(1).split('/').map(decodeURIComponent);
    if (head === 'control') return this.control(tail, request, response);
    if (this.faults.frozen) return;
    if (this.faults.nonsense) {
      response.end('{]garbage\n{"type":"token"}\n');
      return;
    }
    if (head === 'status') return sendJson(response, 200, this.report());
    if (head === 'reports') return this.watchReports(response);
    if (head === 'orders') return this.takeOrder(request, response);
    if (head !== 'requests') return sendJson(response, 404, {});
    if (request.method === 'DELETE') return this.cancel(tail, response);
    if (request.method === 'GET') {
      return this.resume(tail, Number(url.searchParams.get('offset') ?? 0), response);
    }
    return this.run(request, response);
  }

  private async control(
    action: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    if (action === 'faults') Object.assign(this.faults, body.value);
    if (action === 'leave') this.leave();
    if (this.faults.cutStreams) this.cutStreams();
    sendJson(response, 200, this.report());
  }

  private leave(): void {
    if (this.leaving) return;
    this.leaving = true;
    this.log('leaving');
    this.scheduleReport();
  }

  private cutStreams(): void {
    this.faults.cutStreams = false;
    for (const running of this.requests.values()) {
      for (const listener of running.listeners) listener.destroy();
    }
  }

  private async takeOrder(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    const { fence, order } = body.value as { fence: OrderFence; order: EngineOrder };
    if (this.faults.orderDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.faults.orderDelayMs));
    }
    const answer = this.decideOrder(fence, order);
    if (this.faults.loseOrderReplies > 0) {
      this.faults.loseOrderReplies -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, answer);
  }

  private decideOrder(fence: OrderFence, order: EngineOrder): OrderAnswer {
    const refusal = this.faults.ignoreFence ? undefined : this.checkFence(fence, order);
    if (refusal === 'repeated') return this.lastAnswer ?? this.refuse('stale_sequence');
    if (refusal !== undefined) return this.refuse(refusal);
    this.fencePool = fence.pool;
    this.fenceEpoch = fence.epoch;
    this.lastSequence = fence.sequence;
    if (order.type === 'load') this.load(order.replica);
    if (order.type === 'unload') this.unload(order.tenant);
    this.lastAnswer = { accepted: true, report: this.report() };
    return this.lastAnswer;
  }

  private checkFence(fence: OrderFence, order: EngineOrder): OrderRefusal | 'repeated' | undefined {
    if (fence.incarnation !== this.incarnation) return 'wrong_incarnation';
    if (fence.epoch < this.fenceEpoch) return 'stale_epoch';
    if (fence.epoch > this.fenceEpoch) return order.type === 'seal' ? undefined : 'not_sealed';
    if (fence.pool !== this.fencePool) return 'stale_epoch';
    if (fence.sequence === this.lastSequence) return 'repeated';
    if (fence.sequence < this.lastSequence) return 'stale_sequence';
    return order.type === 'load' && this.leaving ? 'leaving' : undefined;
  }

  private refuse(refusal: OrderRefusal): OrderAnswer {
    return { accepted: false, refusal, incarnation: this.incarnation };
  }

  private load(replica: ReplicaSpec): void {
    if (this.holdings.has(replica.tenant)) return;
    const held: HeldReplica = { replica, state: 'loading', inFlight: 0, lastUsedAt: Date.now() };
    const resident = this.isResident(replica.model);
    this.holdings.set(replica.tenant, held);
    this.log('hold', { tenant: replica.tenant, ...this.memory(), epoch: this.fenceEpoch });
    void this.transfer(replica, resident).then((ok) => this.finishLoad(held, ok));
    this.scheduleReport();
  }

  private isResident(model: string): boolean {
    return [...this.holdings.values()].some(
      (held) => held.replica.model === model && held.state === 'loaded',
    );
  }

  private async transfer(replica: ReplicaSpec, resident: boolean): Promise<boolean> {
    const { memoryBytesPerSecond, diskBytesPerSecond, loadOverheadMs } = this.options;
    const adapterBytes = replica.adapters.reduce((sum, adapter) => sum + adapter.bytes, 0);
    const modelBytes = resident ? 0 : replica.modelBytes;
    let bytes = modelBytes + adapterBytes;
    let speed = memoryBytesPerSecond;
    const inMemory = resident || this.memoryCache.includes(replica.model);
    if (!inMemory && this.diskCache.has(replica.model)) speed = diskBytesPerSecond;
    else if (!inMemory) {
      const request = { model: replica.model, bytes: modelBytes };
      const fetched = await this.weightStore.fetch(request, LOAD_TIMEOUT_MS);
      if (fetched.isErr) return false;
      bytes = adapterBytes;
    }
    const milliseconds = loadOverheadMs + (bytes / speed) * 1000;
    await new Promise((resolve) => setTimeout(resolve, milliseconds * this.faults.slowFactor));
    while (this.faults.frozen) await new Promise((resolve) => setTimeout(resolve, 50));
    this.remember(replica.model);
    return true;
  }

  private remember(model: string): void {
    const index = this.memoryCache.indexOf(model);
    if (index >= 0) this.memoryCache.splice(index, 1);
    this.memoryCache.push(model);
    this.diskCache.add(model);
    if (this.memoryCache.length > this.options.memoryCacheSize) this.memoryCache.shift();
  }

  private finishLoad(held: HeldReplica, ok: boolean): void {
    if (this.holdings.get(held.replica.tenant) !== held || held.state !== 'loading') return;
    held.state = ok ? 'loaded' : 'failed';
    held.lastUsedAt = Date.now();
    if (ok) this.log('loaded', { tenant: held.replica.tenant });
    this.scheduleReport();
  }

  private unload(tenant: string): void {
    const held = this.holdings.get(tenant);
    if (held === undefined) return;
    held.state = 'unloading';
    this.releaseWhenDrained(held);
    this.scheduleReport();
  }

  private releaseWhenDrained(held: HeldReplica): void {
    if (held.state !== 'unloading' || held.inFlight > 0) return;
    if (this.holdings.get(held.replica.tenant) !== held) return;
    this.holdings.delete(held.replica.tenant);
    this.log('release', { tenant: held.replica.tenant, ...this.memory() });
    this.scheduleReport();
  }

  private async run(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    const wanted = body.value as EngineRequest;
    this.log('received', { tenant: wanted.tenant, request: wanted.id });
    const known = this.requests.get(wanted.id);
    if (known !== undefined) return this.attach(known, 0, response);
    const refusal = this.checkRequest(wanted);
    if (refusal !== undefined) {
      this.log('refused', { tenant: wanted.tenant, request: wanted.id, detail: refusal });
      return sendJson(response, 409, {}, { 'x-refusal': refusal });
    }
    this.attach(this.startRequest(wanted), 0, response);
  }

  private checkRequest(wanted: EngineRequest): RequestRefusal | undefined {
    if (this.tombstones.has(wanted.id)) return 'cancelled';
    if (this.leaving) return 'leaving';
    if (wanted.incarnation !== this.incarnation) return 'wrong_incarnation';
    const held = this.holdings.get(wanted.tenant);
    if (held?.state !== 'loaded') return 'not_loaded';
    return held.inFlight >= held.replica.slots ? 'busy' : undefined;
  }

  private startRequest(request: EngineRequest): RunningRequest {
    const running: RunningRequest = {
      request,
      length: Math.min(request.maxTokens, answerLength(request.prompt)),
      produced: 0,
      done: false,
      cancelled: false,
      listeners: new Set(),
    };
    this.requests.set(request.id, running);
    const held = this.holdings.get(request.tenant);
    if (held !== undefined) held.inFlight += 1;
    this.log('run', { tenant: request.tenant, request: request.id });
    this.scheduleReport();
    this.scheduleToken(running);
    return running;
  }

  private scheduleToken(running: RunningRequest): void {
    const interval = this.options.tokenIntervalMs * this.faults.slowFactor;
    setTimeout(() => {
      if (running.cancelled) return this.finishRequest(running, 'abort');
      if (!this.faults.frozen) this.produceToken(running);
      if (running.produced >= running.length) return this.finishRequest(running, 'finish');
      this.scheduleToken(running);
    }, interval);
  }

  private produceToken(running: RunningRequest): void {
    const offset = running.produced;
    running.produced += 1;
    for (const listener of running.listeners) this.sendToken(running, offset, listener);
  }

  private sendToken(running: RunningRequest, offset: number, listener: http.ServerResponse): void {
    const prompt = this.faults.corruptTokens ? 'another' : running.request.prompt;
    const line = { type: 'token', offset, text: answerToken(prompt, offset) };
    listener.write(`${JSON.stringify(line)}\n`);
  }

  private finishRequest(running: RunningRequest, event: 'finish' | 'abort'): void {
    running.done = true;
    this.log(event, { tenant: running.request.tenant, request: running.request.id });
    for (const listener of running.listeners) this.sendDone(running, listener);
    const held = this.holdings.get(running.request.tenant);
    if (held !== undefined) {
      held.inFlight -= 1;
      held.lastUsedAt = Date.now();
      this.releaseWhenDrained(held);
    }
    this.scheduleReport();
    setTimeout(() => this.requests.delete(running.request.id), FINISHED_KEPT_MS).unref();
  }

  private sendDone(running: RunningRequest, listener: http.ServerResponse): void {
    if (running.cancelled) {
      listener.destroy();
      return;
    }
    const natural = answerLength(running.request.prompt);
    const finish = running.length < natural ? 'length' : 'stop';
    listener.end(`${JSON.stringify({ type: 'done', tokens: running.length, finish })}\n`);
  }

  private attach(running: RunningRequest, offset: number, response: http.ServerResponse): void {
    const held = this.holdings.get(running.request.tenant);
    const load = { inFlight: held?.inFlight ?? 0, slots: held?.replica.slots ?? 0 };
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.write(`${JSON.stringify({ type: 'accepted', load })}\n`);
    for (let next = offset; next < running.produced; next++) {
      this.sendToken(running, next, response);
    }
    if (running.done) return this.sendDone(running, response);
    running.listeners.add(response);
    response.on('close', () => running.listeners.delete(response));
  }

  private resume(id: string, offset: number, response: http.ServerResponse): void {
    const running = this.requests.get(id);
    if (running === undefined) return sendJson(response, 404, {});
    this.attach(running, offset, response);
  }

  private cancel(id: string, response: http.ServerResponse): void {
    this.tombstones.add(id);
    const running = this.requests.get(id);
    if (running !== undefined) running.cancelled = true;
    this.log('cancelled', { request: id, detail: running === undefined ? 'no' : 'yes' });
    const ran = running === undefined ? 'no' : 'yes';
    sendJson(response, 200, { ran, incarnation: this.incarnation });
  }

  private watchReports(response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.write(`${JSON.stringify(this.report())}\n`);
    this.reportWatchers.add(response);
    response.on('close', () => this.reportWatchers.delete(response));
  }

  private scheduleReport(): void {
    if (this.reportTimer !== undefined) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      if (this.faults.frozen) return;
      const line = `${JSON.stringify(this.report())}\n`;
      for (const watcher of this.reportWatchers) watcher.write(line);
    }, REPORT_LAG_MS);
  }

  private sendAlive(): void {
    if (this.faults.frozen) return;
    for (const watcher of this.reportWatchers) watcher.write('{"alive":true}\n');
    for (const running of this.requests.values()) {
      for (const listener of running.listeners) listener.write('{"type":"alive"}\n');
    }
  }

  private report(): EngineReport {
    const now = Date.now();
    const holdings = [...this.holdings.values()].map((held): Holding => ({
      replica: held.replica,
      state: held.state,
      inFlight: held.inFlight,
      idleMs: held.inFlight > 0 ? 0 : now - held.lastUsedAt,
    }));
    const memory = this.memoryCache.map((model) => ({ model, tier: 'memory' as const }));
    const onDisk = [...this.diskCache].filter((model) => !this.memoryCache.includes(model));
    const disk = onDisk.map((model) => ({ model, tier: 'disk' as const }));
    return {
      incarnation: this.incarnation,
      epoch: this.fenceEpoch,
      sequence: this.lastSequence,
      number: ++this.reportNumber,
      leaving: this.leaving,
      capacityBytes: this.options.capacityBytes,
      holdings,
      cached: [...memory, ...disk],
    };
  }

  private memory(): { usedBytes: number; capacityBytes: number } {
    const models = new Map<string, number>();
    let adapters = 0;
    for (const { replica } of this.holdings.values()) {
      models.set(replica.model, replica.modelBytes);
      for (const adapter of replica.adapters) adapters += adapter.bytes;
    }
    const usedBytes = adapters + [...models.values()].reduce((sum, bytes) => sum + bytes, 0);
    return { usedBytes, capacityBytes: this.options.capacityBytes };
  }

  private log(
    event: EngineLogEvent['event'],
    fields: Partial<Omit<EngineLogEvent, 'at' | 'event'>> = {},
  ): void {
    const head = {
      at: Date.now(),
      engine: this.options.name,
      incarnation: this.incarnation,
      event,
    };
    this.options.log({ ...head, ...fields });
  }
}
