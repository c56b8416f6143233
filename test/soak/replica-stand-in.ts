/**
 * Stand-in for a model replica of the users' platform: holds models, accepts fenced
 * orders at an expected sequence, serves requests as resumable streams or as plain
 * responses, and fails in seeded ways. Implements the protocol that the platform
 * documents; records its observations in the run log.
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { readBody, sendJson } from '../../src/common/http-server.js';
import { AnswerFaults } from './answer-faults.js';
import { LateRefusals } from './late-refusals.js';
import type { ObjectStoreStandIn } from './object-store-stand-in.js';
import { eventText, plainText } from './expected-events.js';
import { refuse } from './refusal.js';
import type { ReplicaAnswer, ReplicaViolation, RunLog } from './run-log.js';
import { ServerConnections } from './server-connections.js';
import type { SeededRandom } from './seeded-random.js';

/** Current behaviour of a replica. */
export type ReplicaCondition =
  'sound' | 'resets_all' | 'hangs' | 'slow' | 'answers_lost' | 'orders_late' | 'fails_some';

/** Options of {@link ReplicaStandIn}. */
export interface ReplicaOptions {
  readonly name: string;
  readonly service: string;
  /** Names of the initially loaded models; empty for a service without models. */
  readonly models: readonly string[];
  readonly hasModels: boolean;
  readonly store: ObjectStoreStandIn;
  readonly log: RunLog;
  readonly random: SeededRandom;
  /** Whether to reject orders with a lower epoch than one already seen; true by default. */
  readonly checksEpochs?: boolean;
  /** Version of its software; the next start may have another one. Undefined if all replicas are of one version. */
  readonly softwareVersion?: string;
  /** Called when a request crashed the replica; it restarts after `backMs` milliseconds. */
  readonly onCrashedByRequest?: (backMs: number) => void;
}

interface OrderBody {
  readonly operation?: string;
  readonly model?: string;
  readonly expectedCount?: number;
  readonly holder?: string;
  readonly fence?: number;
}

/** Models that fit into memory at the same time. */
export const MAX_LOADED_MODELS = 2;
const SLOTS = 6;
const LOAD_MS = 250;
const UNLOAD_MS = 30;
const EVENT_PERIOD_MS = 15;
/** Time to run a request that is not a stream, unless its body names another one. */
const PLAIN_WORK_MS = 10;
/** Work that arrives later than this after the replica began to leave is a violation. */
const DRAIN_MS = 2_000;
const LARGEST_BODY_BYTES = 64 * 1024;
/** Time until the list drops a crashed replica: some heartbeats must be missed first. */
const CRASH_DETECTION_MS = 3_600;

/** Shortest and longest time from the start of a crashing request until the replica crashes. */
const MIN_CRASH_DELAY_MS = 5;
const MAX_CRASH_DELAY_MS = 150;

/** Time from the announcement that it is brittle until its room shrinks. */
const BRITTLE_NOTICE_MS = 3_000;
/** Window in which a brittle replica counts its rejections. */
const REJECTION_WINDOW_MS = 1_000;

/** Share of the streams without a length or chunks that end within an event. */
const BROKEN_STREAM_SHARE = 0.2;

/** How a brittle replica behaves. */
export interface Brittleness {
  /** Rejections per second for lack of room above which it falls over. */
  readonly tolerated: number;
  /** Requests that it accepts at the same time after {@link BRITTLE_NOTICE_MS}. */
  readonly room: number;
  /** Unix milliseconds. */
  readonly announcedAt: number;
  /** Time until it starts again after it has fallen over. */
  readonly backMs: number;
}

/** How a replica sends a stream. */
interface StreamManner {
  /** Factor of the period between events. */
  readonly pace: number;
  /** Whether without a length or chunks. */
  readonly isUnframed: boolean;
  /** Records what it sends. */
  readonly answer: ReplicaAnswer;
}

interface Poison {
  readonly name: string;
  readonly backMs: number;
}

/** One replica; each start is a new process with a new id. */
export class ReplicaStandIn {
  condition: ReplicaCondition = 'sound';
  readonly connections = new ServerConnections();
  readonly answerFaults: AnswerFaults;
  readonly lateRefusals: LateRefusals;
  id = '';
  private starts = 0;
  address = '';
  private models = new Set<string>();
  private sequence = 0;
  private highestFence = 0;
  private fenceHolder = '';
  private busy = false;
  private running = 0;
  private leavingSince: number | undefined;
  /** Whether its list entry was removed for good while it still serves. */
  private isWithdrawn = false;
  private saysLeaving = false;
  /** Rejects requests until this time (Unix milliseconds), each with a requested backoff of `backoffMs`. */
  private rejectsUntil = 0;
  private backoffMs = 0;
  /** Rate limit that its responses announce, in requests a second; undefined for none. */
  private rateLimit: number | undefined;
  private hasAnnouncedLimit = false;
  private brittleness: Brittleness | undefined;
  /** Times of the rejections for lack of room while it is brittle, in Unix milliseconds. */
  private rejections: number[] = [];
  /** When the last requested backoff ends at the latest; arrivals are logged until then. */
  private backoffEndsAt = 0;
  private silentUntil = 0;
  /** Requests that it runs at the same time until `reducedUntil` (Unix milliseconds), if these are fewer than its slots. */
  private reducedRoom = SLOTS;
  private reducedUntil = 0;
  /** Until this time (Unix milliseconds) its answers have neither a length nor chunks, and end with their connection. */
  private unframedUntil = 0;
  /** Of the current process. */
  softwareVersion: string | undefined;
  /** Of the next process. */
  private nextVersion: string | undefined;
  /** Whether the next process starts with models loaded. */
  private nextHasModels = true;
  private server: http.Server | undefined;
  private readonly onDisk = new Set<string>();

  constructor(private readonly options: ReplicaOptions) {
    for (const model of options.models) this.onDisk.add(model);
    this.nextVersion = options.softwareVersion;
    this.answerFaults = new AnswerFaults(options.random, options.log);
    this.lateRefusals = new LateRefusals({
      ...options,
      silentMs: () => this.silentUntil - Date.now(),
    });
  }

  /**
   * Sets the software version of the next process.
   * @param options.hasModels - Whether that process starts with the models that the first one had.
   */
  release(version: string, { hasModels = false } = {}): void {
    this.nextVersion = version;
    this.nextHasModels = hasModels;
  }

  private get checksEpochs(): boolean {
    return this.options.checksEpochs ?? true;
  }

  get isUp(): boolean {
    return this.server !== undefined;
  }

  /** Whether it runs and has not begun to leave. */
  get isServing(): boolean {
    return this.isUp && this.leavingSince === undefined && !this.saysLeaving;
  }

  /** Whether it has a model loaded. */
  holds(model: string | undefined): boolean {
    return model !== undefined && this.models.has(model);
  }

  get service(): string {
    return this.options.service;
  }

  /** Its current port, or the last one if it is down. */
  get port(): number {
    return Number(this.address.split(':')[1]);
  }

  /**
   * Starts a process; only the first one starts with models loaded, unless a release says otherwise.
   * @param port - Port to listen on; any free port by default.
   */
  async start(port = 0): Promise<void> {
    this.starts += 1;
    this.id = `${this.options.name}-${this.starts}`;
    this.softwareVersion = this.nextVersion;
    this.models = new Set(this.nextHasModels ? this.options.models : []);
    this.nextHasModels = false;
    this.sequence = 0;
    this.highestFence = 0;
    this.busy = false;
    this.running = 0;
    this.leavingSince = undefined;
    this.isWithdrawn = false;
    this.saysLeaving = false;
    this.rejectsUntil = 0;
    this.backoffEndsAt = 0;
    this.rateLimit = undefined;
    this.hasAnnouncedLimit = false;
    this.rejections = [];
    const server = http.createServer((request, response) => void this.receive(request, response));
    this.connections.track(server);
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.server = server;
    this.writeEntry();
  }

  /** Ends the process without notice; its list entry stays for CRASH_DETECTION_MS. */
  crash(): void {
    const { id } = this;
    this.end();
    setTimeout(() => this.options.store.delete('servers', id), CRASH_DETECTION_MS).unref();
  }

  /**
   * Leaves: serves for `serveMs` more milliseconds, then ends.
   * @param isAnnounced - Whether its list entry shows that it leaves; otherwise the entry is removed at once.
   */
  async leave(serveMs: number, isAnnounced = true): Promise<void> {
    this.leavingSince = Date.now();
    this.isWithdrawn = !isAnnounced;
    if (isAnnounced) this.writeEntry();
    else this.options.store.delete('servers', this.id);
    await new Promise((resolve) => setTimeout(resolve, serveMs));
    const { id } = this;
    this.end();
    this.options.store.delete('servers', id);
  }

  /**
   * Leaves and announces it in each response. Its list entry shows it after `listedAfterMs`, or is only
   * removed when the replica ends.
   */
  async leaveByResponses(serveMs: number, listedAfterMs: number): Promise<void> {
    this.saysLeaving = true;
    const { id } = this;
    const list = (): void => {
      if (this.id !== id || !this.isUp) return;
      this.leavingSince = Date.now();
      this.writeEntry();
    };
    if (listedAfterMs < serveMs) setTimeout(list, listedAfterMs).unref();
    await new Promise((resolve) => setTimeout(resolve, serveMs));
    if (this.id !== id || !this.isUp) return;
    this.end();
    this.options.store.delete('servers', id);
  }

  /** Rejects requests for a time, and requests a backoff (Retry-After) in each rejection. */
  requestBackoff(milliseconds: number, restSeconds: number): void {
    this.rejectsUntil = Date.now() + milliseconds;
    this.backoffMs = restSeconds * 1_000;
    this.backoffEndsAt = this.rejectsUntil + this.backoffMs;
  }

  /** Makes it brittle, also after a restart, or no longer. */
  setBrittle(brittleness: Brittleness | undefined): void {
    this.brittleness = brittleness;
    this.rejections = [];
  }

  /** Sends nothing for a time, and then goes on, like a paused process. New connections open. */
  fallSilent(milliseconds: number): void {
    const from = Date.now();
    this.silentUntil = from + milliseconds;
    this.options.log.silences.push({
      replica: this.id,
      service: this.service,
      from,
      until: this.silentUntil,
    });
    this.connections.pause(milliseconds);
  }

  /** Accepts fewer requests at the same time for a time; its list entry does not show it. */
  reduceRoom(room: number, milliseconds: number): void {
    this.reducedRoom = room;
    this.reducedUntil = Date.now() + milliseconds;
  }

  /** Sends answers without a length or chunks for a time; some streams end within an event. */
  sendUnframed(milliseconds: number): void {
    this.unframedUntil = Date.now() + milliseconds;
  }

  get hasRateLimit(): boolean {
    return this.rateLimit !== undefined;
  }

  /** Sets the rate limit that its responses announce from now on; undefined for none. */
  setRateLimit(perSecond: number | undefined): void {
    this.rateLimit = perSecond;
    this.hasAnnouncedLimit ||= perSecond !== undefined;
  }

  end(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  /** Writes the list entry of this replica to the store. */
  private writeEntry(): void {
    if (this.isWithdrawn) return;
    this.options.store.put('servers', this.id, {
      service: this.options.service,
      address: this.address,
      zone: 'a',
      version: this.softwareVersion ?? 1,
      slots: SLOTS,
      state: this.leavingSince === undefined ? 'ready' : 'draining',
      seq: this.sequence,
      ...this.holdings(),
    });
  }

  private holdings(): Record<string, unknown> {
    const models = [...this.models].map((name) => ({ name, version: 1, adapters: [] }));
    return { models, atHand: { inMemory: [], onDisk: [...this.onDisk] } };
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (this.connections.isSilent(request.socket)) return;
    const attemptId = request.headers['x-attempt-id'];
    if (attemptId !== undefined) response.setHeader('x-attempt-id', attemptId);
    const silentMs = this.silentUntil - Date.now();
    if (silentMs > 0) await new Promise((resolve) => setTimeout(resolve, silentMs));
    const read = await readBody(request, LARGEST_BODY_BYTES);
    const body = read.isOk ? read.value : '';
    this.answerFaults.sendCopy(request, String(attemptId ?? ''));
    const target = request.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) return refuse(response, 421);
    if (request.url === '/-/report') return this.report(response);
    if (request.url === '/-/order') return this.order(JSON.parse(body) as OrderBody, response);
    this.serve(request, body, response);
  }

  private report(response: http.ServerResponse): void {
    sendJson(response, 200, {
      stage: 'both',
      busy: this.busy,
      seq: this.sequence,
      waiting: 0,
      running: this.running,
      coming: [],
      ...this.holdings(),
    });
  }

  private order(order: OrderBody, response: http.ServerResponse): void {
    // Such a replica has no other fencing: the order of arrival counts, not the time of execution.
    if (!this.checksEpochs) this.verifyEpoch(order);
    if (this.condition !== 'orders_late') {
      return sendJson(response, this.executeOrder(order), {});
    }
    const { id } = this;
    const executeLate = (): void => {
      if (this.id === id && this.isUp) this.executeOrder(order);
    };
    setTimeout(executeLate, this.options.random.between(500, 3_000)).unref();
    response.socket?.destroy();
  }

  /** Executes an order and returns the HTTP status. */
  private executeOrder(order: OrderBody): number {
    const { operation, model = '', expectedCount, holder = '', fence = 0 } = order;
    if (fence < this.highestFence && this.checksEpochs) return 412;
    if (this.checksEpochs) this.checkFence(holder, fence);
    const isLoad = operation === 'model_load';
    if (this.busy) return 409;
    if (this.models.has(model) === isLoad) return 200;
    if (expectedCount !== this.sequence) return 409;
    if (isLoad && this.models.size >= MAX_LOADED_MODELS)
      this.violated('memory_overcommitted', model);
    this.sequence += 1;
    this.busy = true;
    if (!isLoad) this.models.delete(model);
    setTimeout(() => this.finishOrder(isLoad, model), isLoad ? LOAD_MS : UNLOAD_MS).unref();
    return 202;
  }

  private finishOrder(isLoad: boolean, model: string): void {
    if (!this.isUp || !this.busy) return;
    this.busy = false;
    if (isLoad) {
      this.models.add(model);
      this.onDisk.add(model);
      this.options.log.loads += 1;
    }
    this.writeEntry();
  }

  private verifyEpoch({ operation = '', model = '', holder = '', fence = 0 }: OrderBody): void {
    if (fence >= this.highestFence) return this.checkFence(holder, fence);
    const later = `${this.fenceHolder} has used ${this.highestFence}`;
    const detail = `${operation} ${model} of ${holder} with ${fence}, though ${later}`;
    this.violated('lower_epoch', detail, { sender: holder });
  }

  private checkFence(holder: string, fence: number): void {
    const isShared = fence === this.highestFence && holder !== this.fenceHolder;
    if (isShared && this.fenceHolder !== '') this.violated('fence_shared', `${fence} ${holder}`);
    this.highestFence = fence;
    this.fenceHolder = holder;
  }

  private violated(
    kind: ReplicaViolation['kind'],
    detail: string,
    about: Pick<ReplicaViolation, 'sender' | 'attemptId'> = {},
  ): void {
    this.options.log.recordViolation({ kind, replica: this.id, detail, ...about });
  }

  private serve(request: http.IncomingMessage, body: string, response: http.ServerResponse): void {
    const { condition } = this;
    const { random } = this.options;
    const attemptId = String(request.headers['x-attempt-id'] ?? '');
    this.checkArrival(request, attemptId);
    this.announceRateLimit(response, attemptId);
    if (this.brittleness !== undefined) {
      response.setHeader('server-brittle', String(this.brittleness.tolerated));
    }
    if (this.announceState(response, attemptId)) return;
    const poison = this.poisonOf(body, attemptId);
    if (condition === 'resets_all') return void request.socket.destroy();
    if (condition === 'hangs') return;
    const model = request.headers['x-model'];
    if (this.options.hasModels && !this.models.has(String(model))) return refuse(response, 421);
    if (this.rejects(response, attemptId)) return;
    const tenant = request.headers['x-tenant'];
    this.options.log.recordRun(
      attemptId,
      this.id,
      tenant === undefined ? undefined : String(tenant),
    );
    if (condition === 'answers_lost' && random.chance(0.2)) return void request.socket.destroy();
    const seal = { 'x-attempt-id': attemptId, 'x-server-seal': `${this.id}.${attemptId}` };
    if (this.answerFaults.spoil(request, seal, this.options.hasModels)) return;
    if (condition === 'fails_some' && random.chance(0.3)) {
      return sendJson(response, 500, {}, seal);
    }
    if (poison !== undefined) this.crashBy(poison, attemptId);
    const isUnframed = this.omitFraming(response);
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    const pace = condition === 'slow' ? 6 : 1;
    const answer = this.options.log.recordAnswer(attemptId, this.id, response);
    const manner = { pace, isUnframed, answer };
    if (this.options.hasModels) return this.stream(request, body, response, seal, manner);
    const answerPlain = (): void => this.answerPlain(request, body, response, seal);
    setTimeout(answerPlain, plainWorkMs(body) * pace).unref();
  }

  /** Rejects the request, now or later, if there is no room for it. */
  private rejects(response: http.ServerResponse, attemptId: string): boolean {
    if (!this.isFull()) return this.lateRefusals.keep(attemptId, response);
    this.rejectForRoom(response, attemptId);
    return true;
  }

  private answerPlain(
    request: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
    seal: Record<string, string>,
  ): void {
    const attemptId = seal['x-attempt-id'] ?? '';
    const text = plainText(attemptId, body);
    sendPlain(response, text, seal);
    this.answerFaults.repeatWhole(request.socket, seal, text);
  }

  /** Prepares an answer without a length or chunks, if such answers are due. */
  private omitFraming(response: http.ServerResponse): boolean {
    const isUnframed = Date.now() < this.unframedUntil;
    // Without this header and a length, Node ends the answer with its connection.
    if (isUnframed) response.removeHeader('transfer-encoding');
    return isUnframed;
  }

  private isFull(): boolean {
    return this.running >= this.room || this.answerFaults.rejects();
  }

  /** Number of requests that it runs at the same time. */
  private get room(): number {
    const { brittleness } = this;
    const isShrunk = Date.now() - (brittleness?.announcedAt ?? Infinity) >= BRITTLE_NOTICE_MS;
    const reduced = Date.now() < this.reducedUntil ? this.reducedRoom : SLOTS;
    return Math.min(isShrunk ? (brittleness?.room ?? SLOTS) : SLOTS, reduced);
  }

  private rejectForRoom(response: http.ServerResponse, attemptId: string): void {
    refuse(response, 503, { 'x-attempt-id': attemptId });
    if (response.socket !== null) this.answerFaults.repeatRejection(response.socket, attemptId);
    const { brittleness, id } = this;
    if (brittleness === undefined) return;
    const now = Date.now();
    this.rejections = this.rejections.filter((at) => at > now - REJECTION_WINDOW_MS);
    this.rejections.push(now);
    if (this.rejections.length <= brittleness.tolerated) return;
    this.options.log.brittleFalls.push({ replica: id, at: now });
    this.options.onCrashedByRequest?.(brittleness.backMs);
    this.crash();
    setTimeout(() => void this.start(), brittleness.backMs);
  }

  /** Announces leaving or a backoff in the response; returns whether the response is complete with that. */
  private announceState(response: http.ServerResponse, attemptId: string): boolean {
    const { id, saysLeaving } = this;
    const at = Date.now();
    const rejects = at < this.rejectsUntil;
    const restMs = rejects ? this.backoffMs : 0;
    if (saysLeaving || at < this.backoffEndsAt) {
      this.options.log.announcedArrivals.push({
        attemptId,
        replica: id,
        at,
        announcesLeaving: saysLeaving,
        backoffMs: restMs,
      });
    }
    if (saysLeaving) response.setHeader('server-leaving', '1');
    if (rejects) refuse(response, 503, { 'retry-after': (restMs / 1_000).toFixed(3) });
    return rejects;
  }

  private announceRateLimit(response: http.ServerResponse, attemptId: string): void {
    const { id, rateLimit: perSecond, options } = this;
    if (!this.hasAnnouncedLimit) return;
    options.log.limitedArrivals.push({ attemptId, replica: id, at: Date.now(), perSecond });
    if (perSecond !== undefined) response.setHeader('server-limit', String(perSecond));
  }

  private poisonOf(body: string, attemptId: string): Poison | undefined {
    const { poison, backMs = 0 } = JSON.parse(body) as { poison?: string; backMs?: number };
    if (poison === undefined) return undefined;
    const { id } = this;
    this.options.log.poisonArrivals.push({ name: poison, attemptId, replica: id, at: Date.now() });
    return { name: poison, backMs };
  }

  /** A request that crashes whatever runs it has begun to run. */
  private crashBy({ name, backMs }: Poison, attemptId: string): void {
    const { id, options } = this;
    const crash = (): void => {
      if (this.id !== id || !this.isUp) return;
      options.log.poisonCrashes.push({ name, attemptId, replica: id, at: Date.now() });
      options.onCrashedByRequest?.(backMs);
      this.crash();
      setTimeout(() => void this.start(), backMs);
    };
    setTimeout(crash, options.random.between(MIN_CRASH_DELAY_MS, MAX_CRASH_DELAY_MS));
  }

  private checkArrival(request: http.IncomingMessage, attemptId: string): void {
    const leftFor = Date.now() - (this.leavingSince ?? Infinity);
    if (leftFor > DRAIN_MS) {
      this.violated('work_while_leaving', `${attemptId} after ${leftFor} ms`, { attemptId });
    }
    const service = String(request.url).split('/')[1];
    if (request.headers.authorization !== undefined) this.violated('key_passed_on', attemptId);
    if (service !== this.options.service) this.violated('wrong_service', String(request.url));
  }

  private stream(
    request: http.IncomingMessage,
    body: string,
    response: http.ServerResponse,
    seal: Record<string, string>,
    { pace, isUnframed, answer }: StreamManner,
  ): void {
    const { events = 1 } = JSON.parse(body) as { events?: number };
    let sent = Number(request.headers['last-event-id'] ?? 0);
    const { softwareVersion } = this;
    response.writeHead(200, { 'content-type': 'text/event-stream', ...seal });
    const breaks = isUnframed && this.options.random.chance(BROKEN_STREAM_SHARE);
    if (isUnframed) this.options.log.unframedStreams += 1;
    if (breaks) this.options.log.brokenStreams += 1;
    const breaksAfter = breaks ? sent + Math.ceil((events - sent) / 2) : Infinity;
    const timer = setInterval(() => {
      if (sent >= breaksAfter) {
        clearInterval(timer);
        return void response.end(eventText(body, sent + 1, softwareVersion).slice(0, -2));
      }
      if (sent < events) {
        sent += 1;
        response.write(eventText(body, sent, softwareVersion));
        answer.lastSentAt = Date.now();
      }
      if (sent < events) return;
      clearInterval(timer);
      response.end();
    }, EVENT_PERIOD_MS * pace);
    response.once('close', () => clearInterval(timer));
  }
}

/** Time to run a request that is not a stream. */
function plainWorkMs(body: string): number {
  const { workMs = PLAIN_WORK_MS } = JSON.parse(body) as { workMs?: number };
  return workMs;
}

function sendPlain(
  response: http.ServerResponse,
  text: string,
  headers: Record<string, string>,
): void {
  if (response.destroyed) return;
  response.writeHead(200, { 'content-type': 'application/json', ...headers });
  response.end(text);
}
