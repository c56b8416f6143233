/**
 * A small stand-in for a model engine, not for production. It implements sealed epochs,
 * loads from caches and a weight store, streams that can be resumed and cancelled,
 * delayed reports, and fault switches. It writes its own log, which the auditor reads.
 */
import { randomUUID } from 'node:crypto';
import type http from 'node:http';
import { readJson, sendJson } from '../common/http-server.js';
import type {
  EngineOrder,
  EngineReport,
  EngineRequest,
  Holding,
  OrderReply,
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
/** Minimum milliseconds between two reports, because real engines report with a lag. */
const REPORT_LAG_MS = 50;
const HEARTBEAT_INTERVAL_MS = 1000;
/** Milliseconds for which a finished request can still be resumed. */
const FINISHED_RETENTION_MS = 60_000;
const LOAD_TIMEOUT_MS = 120_000;

interface ReplicaEntry {
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

/** The engine stand-in; `handle` is a request listener for Node's `http`. */
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
  private lastAnswer: OrderReply | undefined;
  private reportNumber = 0;
  private leaving = false;
  private readonly holdings = new Map<string, ReplicaEntry>();
  private readonly memoryCache: string[];
  private readonly diskCache: Set<string>;
  private readonly requests = new Map<string, RunningRequest>();
  private readonly cancelledIds = new Set<string>();
  private readonly reportWatchers = new Set<http.ServerResponse>();
  private reportTimer: NodeJS.Timeout | undefined;
  private readonly heartbeatTimer: NodeJS.Timeout;

  constructor(
    private readonly options: EngineStandInOptions,
    private readonly weightStore: WeightStoreClient,
  ) {
    this.memoryCache = [...options.memoryCache];
    this.diskCache = new Set(options.diskCache);
    this.heartbeatTimer = setInterval(() => this.sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
    this.heartbeatTimer.unref();
    this.log('start', { capacityBytes: options.capacityBytes });
  }

  /** Stops the timers of heartbeats and reports. */
  close(): void {
    clearInterval(this.heartbeatTimer);
    clearTimeout(this.reportTimer);
  }

  /** Serves one HTTP call. */
  async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const [resource = '', argument = ''] = url.pathname.slice(1).split('/').map(decodeURIComponent);
    if (resource === 'control') return this.handleControl(argument, request, response);
    if (this.faults.frozen) return;
    if (this.faults.nonsense) {
      response.end('{]garbage\n{"type":"token"}\n');
      return;
    }
    if (resource === 'status') return sendJson(response, 200, this.report());
    if (resource === 'reports') return this.watchReports(response);
    if (resource === 'orders') return this.handleOrder(request, response);
    if (resource !== 'requests') return sendJson(response, 404, {});
    if (request.method === 'DELETE') return this.cancel(argument, response);
    if (request.method === 'GET') {
      return this.resume(argument, Number(url.searchParams.get('offset') ?? 0), response);
    }
    return this.run(request, response);
  }

  private async handleControl(
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

  private async handleOrder(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    const { fence, order } = body.value as { fence: OrderFence; order: EngineOrder };
    if (this.faults.orderDelayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.faults.orderDelayMs));
    }
    const answer = this.applyOrder(fence, order);
    if (this.faults.loseOrderReplies > 0) {
      this.faults.loseOrderReplies -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, answer);
  }

  private applyOrder(fence: OrderFence, order: EngineOrder): OrderReply {
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

  private refuse(refusal: OrderRefusal): OrderReply {
    return { accepted: false, refusal, incarnation: this.incarnation };
  }

  private load(replica: ReplicaSpec): void {
    if (this.holdings.has(replica.tenant)) return;
    const entry: ReplicaEntry = { replica, state: 'loading', inFlight: 0, lastUsedAt: Date.now() };
    const resident = this.isModelResident(replica.model);
    this.holdings.set(replica.tenant, entry);
    this.log('hold', { tenant: replica.tenant, ...this.memoryUse(), epoch: this.fenceEpoch });
    void this.transfer(replica, resident).then((ok) => this.finishLoad(entry, ok));
    this.scheduleReport();
  }

  private isModelResident(model: string): boolean {
    return [...this.holdings.values()].some(
      (entry) => entry.replica.model === model && entry.state === 'loaded',
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
    this.addToCaches(replica.model);
    return true;
  }

  private addToCaches(model: string): void {
    const index = this.memoryCache.indexOf(model);
    if (index >= 0) this.memoryCache.splice(index, 1);
    this.memoryCache.push(model);
    this.diskCache.add(model);
    if (this.memoryCache.length > this.options.memoryCacheSize) this.memoryCache.shift();
  }

  private finishLoad(entry: ReplicaEntry, ok: boolean): void {
    if (this.holdings.get(entry.replica.tenant) !== entry || entry.state !== 'loading') return;
    entry.state = ok ? 'loaded' : 'failed';
    entry.lastUsedAt = Date.now();
    if (ok) this.log('loaded', { tenant: entry.replica.tenant });
    this.scheduleReport();
  }

  private unload(tenant: string): void {
    const entry = this.holdings.get(tenant);
    if (entry === undefined) return;
    entry.state = 'unloading';
    this.releaseWhenDrained(entry);
    this.scheduleReport();
  }

  private releaseWhenDrained(entry: ReplicaEntry): void {
    if (entry.state !== 'unloading' || entry.inFlight > 0) return;
    if (this.holdings.get(entry.replica.tenant) !== entry) return;
    this.holdings.delete(entry.replica.tenant);
    this.log('release', { tenant: entry.replica.tenant, ...this.memoryUse() });
    this.scheduleReport();
  }

  private async run(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readJson(request, BODY_LIMIT_BYTES);
    if (body.isErr) return sendJson(response, 400, {});
    const engineRequest = body.value as EngineRequest;
    this.log('received', { tenant: engineRequest.tenant, request: engineRequest.id });
    const existing = this.requests.get(engineRequest.id);
    if (existing !== undefined) return this.attach(existing, 0, response);
    const refusal = this.checkRequest(engineRequest);
    if (refusal !== undefined) {
      this.log('refused', {
        tenant: engineRequest.tenant,
        request: engineRequest.id,
        detail: refusal,
      });
      return sendJson(response, 409, {}, { 'x-refusal': refusal });
    }
    this.attach(this.startRequest(engineRequest), 0, response);
  }

  private checkRequest(engineRequest: EngineRequest): RequestRefusal | undefined {
    if (this.cancelledIds.has(engineRequest.id)) return 'cancelled';
    if (this.leaving) return 'leaving';
    if (engineRequest.incarnation !== this.incarnation) return 'wrong_incarnation';
    const entry = this.holdings.get(engineRequest.tenant);
    if (entry?.state !== 'loaded') return 'not_loaded';
    return entry.inFlight >= entry.replica.slots ? 'busy' : undefined;
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
    const entry = this.holdings.get(request.tenant);
    if (entry !== undefined) entry.inFlight += 1;
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
    const entry = this.holdings.get(running.request.tenant);
    if (entry !== undefined) {
      entry.inFlight -= 1;
      entry.lastUsedAt = Date.now();
      this.releaseWhenDrained(entry);
    }
    this.scheduleReport();
    setTimeout(() => this.requests.delete(running.request.id), FINISHED_RETENTION_MS).unref();
  }

  private sendDone(running: RunningRequest, listener: http.ServerResponse): void {
    if (running.cancelled) {
      listener.destroy();
      return;
    }
    const fullLength = answerLength(running.request.prompt);
    const finish = running.length < fullLength ? 'length' : 'stop';
    listener.end(`${JSON.stringify({ type: 'done', tokens: running.length, finish })}\n`);
  }

  private attach(running: RunningRequest, offset: number, response: http.ServerResponse): void {
    const entry = this.holdings.get(running.request.tenant);
    const load = { inFlight: entry?.inFlight ?? 0, slots: entry?.replica.slots ?? 0 };
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
    this.cancelledIds.add(id);
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

  private sendHeartbeats(): void {
    if (this.faults.frozen) return;
    for (const watcher of this.reportWatchers) watcher.write('{"alive":true}\n');
    for (const running of this.requests.values()) {
      for (const listener of running.listeners) listener.write('{"type":"alive"}\n');
    }
  }

  private report(): EngineReport {
    const now = Date.now();
    const holdings = [...this.holdings.values()].map((entry): Holding => ({
      replica: entry.replica,
      state: entry.state,
      inFlight: entry.inFlight,
      idleMs: entry.inFlight > 0 ? 0 : now - entry.lastUsedAt,
    }));
    const memory = this.memoryCache.map((model) => ({ model, tier: 'memory' as const }));
    const onlyOnDisk = [...this.diskCache].filter((model) => !this.memoryCache.includes(model));
    const disk = onlyOnDisk.map((model) => ({ model, tier: 'disk' as const }));
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

  private memoryUse(): { usedBytes: number; capacityBytes: number } {
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
    const commonFields = {
      at: Date.now(),
      engine: this.options.name,
      incarnation: this.incarnation,
      event,
    };
    this.options.log({ ...commonFields, ...fields });
  }
}
