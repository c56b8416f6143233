/**
 * One gateway, one request whose first backend is silent, and backends that do only what the test tells them: the orders of events do not
 * depend on time.
 */
import type http from 'node:http';
import { hashKey } from '../../src/core/admission/api-keys.js';
import type {
  BackendRecord,
  Route,
  ServiceConfiguration,
} from '../../src/core/service-configuration.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import type { SlotClaim, SlotClaimParams } from '../../src/gateway/slot-admission.js';
import { LOAD_POLICIES } from '../core/gateway-fixtures.js';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type CallerView,
} from './gateway-harness.js';

export const ID = 'a';
/** Last event of each stream. */
const LAST_EVENT = 4;
/** Events of a stream that has begun and is not whole. */
const FIRST_EVENTS = 2;
/** Deadline of a request, in milliseconds: longer than any order of events takes in which it is served. */
const DEADLINE_MS = 1_800;
/** The same for a stream, whose backend counts as silent later. */
const STREAM_DEADLINE_MS = 2_400;
/** Longest time until an expected event comes. */
const EVENT_TIMEOUT_MS = 3_000;
/** Time for which two backends may work on one request. */
const MAX_TWO_RUNS_MS = 400;
/** The same if this daemon does not reach the first one, and another daemon relays the backup. */
const MAX_TWO_RELAYED_RUNS_MS = 1_200;
/** Longest time after the end of a request in which backends notice it. */
const END_MS = 300;
/** Most starts of one gateway. */
const MAX_STARTS = 3;
/** Interval at which it is measured whether this process runs. */
const BEAT_MS = 10;
/** Longest time between two beats of a process that keeps up. */
const MAX_BEAT_GAP_MS = 60;
/** Timeout of a liveness check. */
const CHECK_MS = 60;
/** Longer than the interval between two liveness checks. */
const AFTER_END_MS = 150;

const SERVICES = ['service', 'other'].map((name) => {
  return { name, maxConnections: 100, modelHost: undefined };
});
const TENANT = { name: 'a', keyDigests: [hashKey('abc')], priority: undefined, limit: undefined };

/** Part of the configuration in which all callers need a key. The request has none. */
export const KEYS_NEEDED: Partial<ServiceConfiguration> = { tenants: [TENANT] };

/** Returns events of a stream as text. */
export function eventsFrom(first: number, last = LAST_EVENT): string {
  let text = '';
  for (let event = first; event <= last; event++) text += `id: ${event}\ndata: ${event}\n\n`;
  return text;
}

/** Waits until a condition holds. */
export async function until(condition: () => boolean, what: string): Promise<void> {
  const endAt = performance.now() + EVENT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > endAt) throw new Error(`not reached: ${what}`);
    await pause(2);
  }
}

/** The request at one backend. */
export class Run {
  /** Time at which the backend began to work on it; infinite while its process does not run. */
  startedAt = Infinity;
  closedAt = Infinity;
  wasRefused = false;
  private nextEvent: number;
  private hasBegun = false;

  constructor(
    readonly backend: string,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse,
    private readonly resumeBackend: () => void,
  ) {
    this.nextEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.on('close', () => (this.closedAt = performance.now()));
  }

  get isOpen(): boolean {
    return this.closedAt === Infinity && !this.response.writableEnded;
  }

  private get isStream(): boolean {
    return this.request.url?.endsWith('/stream') === true;
  }

  /** Answers with a first part, and says nothing more. */
  begin(): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
    this.resumeBackend();
    if (this.isStream) {
      this.response.writeHead(200, { signed: 'yes', 'content-type': 'text/event-stream' });
      this.response.write(eventsFrom(this.nextEvent, FIRST_EVENTS));
      this.nextEvent = Math.max(this.nextEvent, FIRST_EVENTS + 1);
    } else {
      this.response.writeHead(200, { signed: 'yes', 'content-length': `done ${ID}`.length });
      this.response.write('done ');
    }
  }

  /** Answers with a further part, and says nothing more. */
  goOn(): void {
    if (!this.hasBegun) return this.begin();
    this.response.write(eventsFrom(this.nextEvent, this.nextEvent));
    this.nextEvent += 1;
  }

  /** Answers whole. */
  answer(): void {
    if (!this.isOpen) return;
    this.begin();
    this.response.end(this.isStream ? eventsFrom(this.nextEvent) : ID);
  }

  /** Refuses the request as not run; breaks it off if the answer has begun. */
  refuse(): void {
    if (!this.isOpen) return;
    if (this.hasBegun) return this.breakOff();
    this.resumeBackend();
    this.wasRefused = true;
    this.response.writeHead(503, { 'not-run': '1' }).end();
  }

  breakOff(): void {
    if (this.isOpen) this.request.socket.destroy();
  }
}

/** What the gateway holds for requests. */
interface Holdings {
  readonly exchanges: number;
  readonly inFlight: number;
  readonly silentExchanges: number;
  readonly heldBytes: number;
  readonly relayed: number;
  readonly claims: number;
}

/** Options of {@link BackupScene.start}. */
export interface SceneOptions {
  readonly route: Partial<Route>;
  /** Whether slots are claimed; only the first claim is held until {@link BackupScene.grantSlots}. */
  readonly hasSlots?: boolean;
  /** Whether the processes of all backends but the first do not run. */
  readonly areOthersStopped?: boolean;
}

/** What the caller got. */
export interface CallEnd extends CallerView {
  /** The connection closed without an answer. */
  readonly isLost: boolean;
}

let starts: Promise<unknown> = Promise.resolve();

/** Starts one gateway at a time, because free ports are looked up before they are taken. */
function inTurn<T>(start: () => Promise<T>): Promise<T> {
  const started = starts.then(start);
  starts = started.catch(() => {});
  return started;
}

/** Starts a gateway; again with other ports if another program has taken one of them since they were found free. */
async function startGateway(part: Partial<GatewaySettings>): Promise<GatewayHarness> {
  for (let count = 1; ; count++) {
    const harness = await GatewayHarness.prepare(part);
    try {
      await harness.gateway.start();
      return harness;
    } catch (fault) {
      harness.stop();
      const isTaken = (fault as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isTaken || count === MAX_STARTS) throw fault;
    }
  }
}

/** One request and everything around it. */
export class BackupScene {
  readonly backends = ['one', 'two', 'three', 'four'].map((id) => new TestBackend(id));
  readonly runs: Run[] = [];
  /** Whether the retry budget grants nothing, so that no further backup is sent. */
  areRetriesDenied = false;
  /** Called for each run that begins from now on. */
  onRun: (run: Run) => void = () => {};
  /** Ids of the backends in the last list. */
  listed: readonly string[] = [];
  caller: http.ClientRequest | undefined;
  /** What the caller gets; pending before {@link send}. */
  answer: Promise<CallEnd> = new Promise(() => {});
  private readonly stopped = new Map<string, () => void>();
  private readonly replies = new Map<string, Promise<void>>();
  private readonly claims = new Set<SlotClaimParams>();
  private readonly checks: number[] = [];
  private readonly relay = new TestBackend('relay');
  private hasAnswerBegun = false;
  private relayed = 0;
  private retries = 0;
  private claimed = 0;
  private areSlotsFree = false;
  private endedAt = Infinity;
  private version = 1;
  private revision = 0;
  private before: Holdings | undefined;
  private beat: NodeJS.Timeout | undefined;
  private longestGapMs = 0;

  private constructor(
    readonly harness: GatewayHarness,
    private readonly route: Route,
  ) {}

  static async start(options: SceneOptions): Promise<BackupScene> {
    const scene = await inTurn(() => BackupScene.open(options));
    // The retry budget grants its slack only after one window.
    await pause(2 * 1_000 * scene.harness.settings.bounds.retryWindowSeconds);
    return scene;
  }

  private static async open(options: SceneOptions): Promise<BackupScene> {
    const { hasSlots = false, areOthersStopped = false } = options;
    const harness = await startGateway(hasSlots ? { policies: LOAD_POLICIES } : {});
    const route = testRoute({ goalMs: 100, pauseGoalMs: 100, ...options.route });
    const scene = new BackupScene(harness, route);
    for (const backend of [...scene.backends, scene.relay]) {
      await backend.start();
      backend.handle = (request, response) => scene.record(backend.id, request, response);
    }
    if (areOthersStopped) for (const { id } of scene.backends.slice(1)) scene.stopProcess(id);
    scene.watch();
    if (hasSlots) scene.watchSlots();
    scene.apply({});
    scene.list(['one']);
    scene.before = scene.holdings();
    return scene;
  }

  /** Sends the request to the first backend, then lists others. */
  async send(others: readonly string[]): Promise<void> {
    this.startBeat();
    this.answer = this.call('/work/x', DEADLINE_MS);
    await until(() => this.runs.length === 1, 'the first run');
    this.list(['one', ...others]);
  }

  /** Sends a request for a stream to the first backend, which begins the stream, then lists others. */
  async beginStream(others: readonly string[]): Promise<void> {
    this.startBeat();
    this.answer = this.call('/work/stream', STREAM_DEADLINE_MS);
    await until(() => this.runs.length === 1, 'the first run');
    this.firstRun.begin();
    await until(() => this.hasAnswerBegun, 'the begin of the stream');
    this.list(['one', ...others]);
  }

  private startBeat(): void {
    let lastAt = performance.now();
    this.beat = setInterval(() => {
      const now = performance.now();
      this.longestGapMs = Math.max(this.longestGapMs, now - lastAt);
      lastAt = now;
    }, BEAT_MS);
  }

  private call(path: string, deadlineMs: number): Promise<CallEnd> {
    const lost = { status: 0, headers: {}, body: '', complete: false, isLost: true };
    return new Promise((resolve) => {
      const headers = { deadline: String(deadlineMs) };
      this.caller = this.harness.request({ id: ID, path, headers }, (response) => {
        this.hasAnswerBegun = true;
        let body = '';
        const { statusCode: status = 0, headers } = response;
        const end = (complete: boolean): void =>
          resolve({ status, headers, body, complete, isLost: false });
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('end', () => end(response.complete));
        response.on('error', () => end(false));
      });
      this.caller.on('error', () => resolve(lost));
    });
  }

  /** The last run; throws if there is none. */
  get lastRun(): Run {
    const run = this.runs.at(-1);
    if (run === undefined) throw new Error('no run');
    return run;
  }

  /** The run at the request's first backend. */
  get firstRun(): Run {
    const [run] = this.runs;
    if (run === undefined) throw new Error('no run');
    return run;
  }

  /** Applies the next version: the first one with other fields and another route. */
  apply(part: Partial<ServiceConfiguration>, route: Partial<Route> = {}): void {
    this.version += 1;
    const { version } = this;
    const routes = [{ ...this.route, ...route }];
    this.harness.configure(testConfiguration({ version, routes, services: SERVICES, ...part }));
  }

  /** Lists backends, one of them or all with other fields. */
  list(ids: readonly string[], part: (id: string) => Partial<BackendRecord> = () => ({})): void {
    this.listed = ids;
    this.revision += 1;
    const { revision } = this;
    const listed = this.backends.filter(({ id }) => ids.includes(id));
    this.harness.list(
      listed.map((backend) => backend.record({ start: 'first', revision, ...part(backend.id) })),
    );
  }

  /** Number of log lines of an event. */
  countEvents(name: string): number {
    return this.harness.lines.filter(({ event }) => event === name).length;
  }

  async untilLogged(name: string, count = 1): Promise<void> {
    await until(() => this.countEvents(name) >= count, name);
  }

  async untilRuns(count: number): Promise<void> {
    await until(() => this.runs.length >= count, `${count} runs`);
  }

  /** The process of a backend stops: it replies to no liveness check and works on nothing. */
  stopProcess(id: string): void {
    const reply = new Promise<void>((resolve) => this.stopped.set(id, resolve));
    this.replies.set(id, reply);
  }

  /** The process of a backend goes on; does nothing if it runs. */
  resumeProcess(id: string): void {
    if (!this.stopped.has(id)) return;
    this.stopped.get(id)?.();
    this.stopped.delete(id);
    const now = performance.now();
    for (const run of this.runs) if (run.backend === id && run.isOpen) run.startedAt = now;
  }

  /** Whether a slot is claimed that was not granted. */
  get waitsForSlot(): boolean {
    return this.claims.size > 1;
  }

  /** Number of slots that are claimed or held. */
  get claimCount(): number {
    return this.claims.size;
  }

  /** Grants all claims for slots, also later ones. */
  grantSlots(): void {
    this.areSlotsFree = true;
    for (const claim of [...this.claims].slice(1)) claim.onDecision({ type: 'granted' });
  }

  /** From now on this daemon reaches backends only through another one, which passes nothing on. */
  findPartition(): void {
    const { paths, backendWatch } = this.harness.context();
    const [host = '', port = ''] = this.relay.address.split(':');
    const peer = `${host}:${Number(port) - 1}`;
    Object.defineProperty(backendWatch.reachability, 'isPartitioned', { get: () => true });
    paths.isCutOff = () => false;
    paths.pathTo = () => ({ type: 'relay', peer });
    this.harness.gateway['partitioned']();
  }

  /** Returns the promises that are broken, without those on times; call it when the caller has its answer. */
  async problems(): Promise<string[]> {
    const ended = (): number =>
      this.harness.lines.findIndex(({ event }) => event === 'request_ended');
    await until(() => ended() >= 0, 'the end of the request');
    this.endedAt = performance.now();
    const arrivals = this.runs.length;
    while (this.leftovers().length > 0 && performance.now() < this.endedAt + END_MS) await pause(5);
    const leftovers = this.leftovers();
    await pause(AFTER_END_MS);
    const after = this.harness.lines.slice(ended() + 1);
    const late = after.filter(({ fields }) => fields.request === ID).map(({ event }) => event);
    const unused = this.retries - Math.max(0, this.countEvents('sent') - 1);
    const lateChecks = this.checks.filter((at) => at > this.endedAt);
    return [
      ...leftovers,
      ...late.map((event) => `logged after its end: ${event}`),
      ...(this.runs.length > arrivals ? ['sent after its end'] : []),
      ...(lateChecks.length > 0 ? [`${lateChecks.length} liveness checks after its end`] : []),
      ...(unused === 0 ? [] : [`${unused} retries more than sends`]),
      ...this.tooManyRuns(),
    ];
  }

  /** Whether this process did not keep up, so that times that it measures itself say little. */
  get wasSlow(): boolean {
    return this.longestGapMs > MAX_BEAT_GAP_MS;
  }

  /** Whether a backend has or may have run the request. */
  get mayHaveRun(): boolean {
    return this.runs.some(({ wasRefused }) => !wasRefused);
  }

  stop(): void {
    clearInterval(this.beat);
    this.harness.stop();
    this.caller?.destroy();
    for (const backend of [...this.backends, this.relay]) backend.stop();
  }

  private record(
    backend: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const run = new Run(backend, request, response, () => this.resumeProcess(backend));
    if (!this.stopped.has(backend)) run.startedAt = performance.now();
    this.runs.push(run);
    this.onRun(run);
  }

  private watch(): void {
    const context = this.harness.context();
    const { control, paths } = context;
    control.responds = async ({ id }) => {
      this.checks.push(performance.now());
      if (this.stopped.has(id)) await Promise.race([this.replies.get(id), pause(CHECK_MS)]);
      return !this.stopped.has(id);
    };
    const budget = context.budgetOf('service');
    const takeRetry = budget.takeRetry.bind(budget);
    budget.takeRetry = (...args) => {
      const isGranted = !this.areRetriesDenied && takeRetry(...args);
      if (isGranted) this.retries += 1;
      return isGranted;
    };
    const returnRetry = budget.returnRetry.bind(budget);
    budget.returnRetry = (takenAt) => {
      this.retries -= 1;
      returnRetry(takenAt);
    };
    const recordSent = paths.recordSent.bind(paths);
    paths.recordSent = (peer) => {
      this.relayed += 1;
      recordSent(peer);
    };
    const recordEnded = paths.recordEnded.bind(paths);
    paths.recordEnded = (peer) => {
      this.relayed -= 1;
      recordEnded(peer);
    };
  }

  private watchSlots(): void {
    const { slots } = this.harness.context();
    if (slots === undefined) throw new Error('no slot admission');
    slots.claim = (params: SlotClaimParams): SlotClaim => {
      this.claims.add(params);
      this.claimed += 1;
      const release = (): void => void this.claims.delete(params);
      return { isHeld: this.areSlotsFree || this.claimed === 1, release };
    };
  }

  private holdings(): Holdings {
    const { exchanges, tracker, answers, backendWatch } = this.harness.context();
    const sum = (counts: Iterable<number>): number => [...counts].reduce((a, b) => a + b, 0);
    const contacts = [...backendWatch.reachability['contacts'].values()];
    return {
      exchanges: exchanges.size,
      inFlight: sum([...tracker['backends'].values()].map(Math.abs)),
      silentExchanges: sum(contacts.map(({ inFlight }) => inFlight)),
      heldBytes: answers.heldBytes,
      relayed: this.relayed,
      claims: this.claims.size,
    };
  }

  /** What is not released, and the backends that still work on the request. */
  private leftovers(): string[] {
    const open = this.runs.filter((run) => run.isOpen);
    return [
      ...open.map(({ backend }) => `${backend} still works on it`),
      ...differences(this.before, this.holdings()),
    ];
  }

  /** Returns the pairs of backends that worked on the request together for too long; call it after `problems`. */
  simultaneousRuns(): string[] {
    const maxMs = this.isRelayed ? MAX_TWO_RELAYED_RUNS_MS : MAX_TWO_RUNS_MS;
    const problems: string[] = [];
    for (const [index, one] of this.runs.entries()) {
      for (const other of this.runs.slice(index + 1)) {
        const from = Math.max(one.startedAt, other.startedAt);
        const to = Math.min(one.closedAt, other.closedAt);
        if (to - from > maxMs) {
          problems.push(`${one.backend} and ${other.backend} for ${Math.round(to - from)} ms`);
        }
      }
    }
    return problems;
  }

  private get isRelayed(): boolean {
    return this.runs.some(({ backend }) => backend === 'relay');
  }

  private tooManyRuns(): string[] {
    const runs = this.runs.filter(({ wasRefused }) => !wasRefused).length;
    return runs > this.route.maxAttempts ? [`${runs} runs`] : [];
  }
}

function differences(before: Holdings | undefined, after: Holdings): string[] {
  return Object.entries(after)
    .filter(([name, count]) => count !== before?.[name as keyof Holdings])
    .map(([name, count]) => `not released: ${name} ${count}`);
}
