/** Runs one gateway daemon in this process with test doubles for the external systems. */
import http from 'node:http';
import { Result } from 'true-myth';
import { credentialHash } from '../../src/core/admission/api-keys.js';
import { leaseNow } from '../../src/common/lease-clock.js';
import { silentLogger, type LogFields, type Logger } from '../../src/common/logger.js';
import { readRateLimit } from '../../src/core/backend-rate-limits.js';
import { readRetryAfter } from '../../src/core/backend-backoffs.js';
import type { OrderOutcome } from '../../src/core/model-order.js';
import type {
  BackendRecord,
  Route,
  ServiceConfiguration,
} from '../../src/core/service-configuration.js';
import { DEFAULT_POLICIES } from '../../src/core/policies.js';
import { BackendAgent } from '../../src/gateway/backend-agent.js';
import { Gateway } from '../../src/gateway/gateway.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import type { GatewaySettings } from '../../src/gateway/gateway-settings.js';
import type { DirectoryListener, RequestDialect, StoredRecord } from '../../src/gateway/ports.js';
import { findFreePorts, releasePorts } from '../../src/testbed/free-ports.js';

/** Header names and formats that only the tests use. */
export const testDialect: RequestDialect = {
  readinessPath: '/ready',
  systemHeaders: new Set(['tenant', 'urgency', 'held']),
  keyHeader: 'authorization',
  keyChallenge: 'Key',
  readRequest: (headers) => ({
    attemptId: headers['request-id'] as string | undefined,
    deadlineMs: headers.deadline === undefined ? undefined : Number(headers.deadline),
    model:
      headers.model === undefined
        ? undefined
        : { model: headers.model as string, adapter: undefined },
    sharedPrompt: undefined,
    promptParts: headers.parts === undefined ? [] : String(headers.parts).split(',').slice(0, -1),
    lastEventId: headers['last-event-id'] as string | undefined,
    resumedAttemptId: headers.resumes as string | undefined,
    keyDigest: credentialHash(headers.authorization, 'Key'),
    tokens: headers.tokens === undefined ? undefined : Number(headers.tokens),
    expectedWork: undefined,
  }),
  backendHeaders: (fields) => ({
    Backend: fields.backend,
    Deadline: String(Math.floor(fields.remainingMs)),
    Urgency: String(fields.priority),
    ...(fields.tenant === undefined ? {} : { Tenant: fields.tenant }),
    ...(fields.lastEventId === undefined ? {} : { 'Last-Event-Id': fields.lastEventId }),
  }),
  readAnswer: (status, headers) => ({
    attemptId: headers['request-id'] as string | undefined,
    signed: headers.signed !== undefined,
    notRun: headers['not-run'] !== undefined,
    misdirected: status === 421,
    leaving: headers.leaving === '1',
    rateLimit: readRateLimit(headers['rate-limit'] as string | undefined),
    toleratedRejections: readRateLimit(headers['tolerated-rejections'] as string | undefined),
    backoffMs: status === 503 ? readRetryAfter(headers['retry-after']) : undefined,
  }),
  ownAnswerHeaders: () => ({}),
};

/** A route with default values for tests; `part` overrides them. */
export function testRoute(part: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'service.test',
    pathPrefix: '/work/',
    repeatability: 'repeatable',
    timeoutMs: 5_000,
    goalMs: 200,
    priority: 1,
    targets: [{ service: 'service', weight: 1 }],
    maxAttempts: 2,
    pauseGoalMs: 200,
    callerTimeoutMs: Infinity,
    isPublic: false,
    ...part,
  };
}

/** A configuration with one service that hosts no models; `part` overrides its fields. */
export function testConfiguration(part: Partial<ServiceConfiguration> = {}): ServiceConfiguration {
  return {
    version: 1,
    routes: [testRoute()],
    services: [{ name: 'service', maxConnections: 100, modelHost: undefined }],
    limits: {
      headerBytes: 2_000,
      bodyBytes: 10_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
    tenants: undefined,
    problems: [],
    ...part,
  };
}

/** Path of liveness checks, which take none of a backend's slots. */
const LIVENESS_PATH = '/alive';
const LIVENESS_TIMEOUT_MS = 500;
/** Largest head that a test backend reads. */
const MAX_HEADER_BYTES = 256 * 1024;

/** Handles a request to a test backend. */
export type BackendHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  body: string,
) => void;

/** A backend that records the ids of the requests it receives, and repeats the id of each in its answer. */
export class TestBackend {
  arrivals: string[] = [];
  /** Time of `performance.now()` until which a liveness check waits for its reply, because the process does not run. */
  stoppedUntil = 0;
  readonly server: http.Server;
  address = '';

  constructor(
    readonly id: string,
    public handle: BackendHandler = answerWhole,
  ) {
    const options = { maxHeaderSize: MAX_HEADER_BYTES };
    this.server = http.createServer(options, (request, response) => {
      if (request.url === LIVENESS_PATH) {
        return void setTimeout(() => response.end(), this.stoppedUntil - performance.now());
      }
      const id = request.headers['request-id'];
      this.arrivals.push(String(id ?? ''));
      if (id !== undefined) response.setHeader('request-id', id);
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks).toString()));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    const address = this.server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  record(part: Partial<BackendRecord> = {}): BackendRecord {
    return {
      id: this.id,
      service: 'service',
      address: this.address,
      zone: 'a',
      slots: 10,
      leaving: false,
      softwareVersion: 'v1',
      models: [],
      revision: 1,
      sequence: 0,
      inMemory: [],
      onDisk: [],
      ...part,
    };
  }
}

/** Answers with a signed body that contains the id of the request. */
export function answerWhole(request: http.IncomingMessage, response: http.ServerResponse): void {
  const id = String(request.headers['request-id'] ?? '');
  response.writeHead(200, { signed: 'yes', 'request-id': id });
  response.end(`done ${id}`);
}

/** Calls a function instead of sending the next event of a stream. */
export interface StreamBreak {
  readonly after: number;
  readonly with: () => void;
}

/** Answers with events `first` to `last`, one every `gapMs` milliseconds, unless the stream breaks before. */
export function answerEvents(
  first: number,
  last: number,
  gapMs: number,
  streamBreak?: StreamBreak,
): BackendHandler {
  return (request, response) => {
    const id = String(request.headers['request-id'] ?? '');
    response.writeHead(200, {
      signed: 'yes',
      'request-id': id,
      'content-type': 'text/event-stream',
    });
    let event = first;
    const timer = setInterval(() => {
      if (event - 1 === streamBreak?.after) return streamBreak.with();
      response.write(`id: ${event}\ndata: ${event}\n\n`);
      event += 1;
      if (event <= last) return;
      clearInterval(timer);
      response.end();
    }, gapMs);
    response.on('close', () => clearInterval(timer));
  };
}

/** An answer as the caller receives it. */
export interface CallerView {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer is complete according to HTTP. */
  readonly complete: boolean;
}

/** A request that a test sends. */
export interface TestCall {
  readonly id: string;
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Whether a {@link TestBackend} replies to a liveness check. */
function responds(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const url = `http://${address}${LIVENESS_PATH}`;
    const request = http.get(url, { agent: false, timeout: LIVENESS_TIMEOUT_MS }, (response) => {
      response.resume();
      resolve(true);
    });
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(false));
  });
}

/** A gateway daemon with its test doubles. */
export class GatewayHarness {
  readonly lines: { event: string; fields: LogFields }[] = [];
  listener: DirectoryListener | undefined;
  refreshes = 0;
  /** Whether the platform's store confirms the configuration. */
  isStoreAnswering = true;
  /** Called when the list of backends is read again, before the read ends. */
  onDirectoryConfirmed: () => void = () => {};
  private version = 0;
  /** Revision of the last list of backends. */
  private revision = 0;
  readonly records = new Map<string, StoredRecord>();
  readonly gateway: Gateway;
  readonly metrics = new GatewayMetrics();
  private readonly agent = new BackendAgent({ onUnexpectedBytes: () => {} });

  private constructor(readonly settings: GatewaySettings) {
    this.gateway = new Gateway(settings, {
      directory: {
        start: (listener) => (this.listener = listener),
        setReadMode: () => {},
        lastReadAgeMs: () => 0,
        refreshConfiguration: () => (this.refreshes += 1),
        confirmConfiguration: () => this.confirm(),
        confirmDirectory: () => this.confirmDirectory(),
        configurationDocument: () => undefined,
        applyConfigurationDocument: () => false,
        stop: () => {},
      },
      store: {
        era: () => 0,
        read: (kind, name) => Promise.resolve(Result.ok(this.records.get(`${kind}/${name}`))),
        list: (kind) => Promise.resolve(Result.ok(this.ofKind(kind))),
        write: (kind, name, value, revision) => {
          const stored = { name, value, revision: (revision ?? 0) + 1 };
          this.records.set(`${kind}/${name}`, stored);
          return Promise.resolve(Result.ok(stored));
        },
        remove: (kind, name) => {
          this.records.delete(`${kind}/${name}`);
          return Promise.resolve();
        },
      },
      control: {
        order: () => Promise.resolve<OrderOutcome>({ type: 'rejected' }),
        report: () => Promise.resolve(undefined),
        responds: ({ address }) => responds(address),
      },
      dialect: testDialect,
      agent: this.agent,
      logger: this.logger(),
      metrics: this.metrics,
    });
  }

  /** A gateway that has not been started. */
  static async prepare(part: Partial<GatewaySettings> = {}): Promise<GatewayHarness> {
    const [callers = 0, readiness = 0] = await findFreePorts(2);
    // The relay port follows the peer port; both lie outside the range of outgoing connections.
    const [peerPort = 0] = await findFreePorts(1, 2);
    return new GatewayHarness({
      name: 'daemon',
      zone: 'a',
      address: '127.0.0.1',
      processorShare: 1,
      processorSpeed: 1,
      memoryMegabytes: 200,
      descriptors: 4_096,
      peerPort,
      metricsPort: 0,
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      store: '127.0.0.1:1',
      seeds: [],
      backendsCheckEpochs: true,
      policies: DEFAULT_POLICIES,
      retiredPolicies: [],
      bounds: {
        stopSeconds: 8,
        retryRatio: 0.2,
        retryWindowSeconds: 0.01,
        retrySlack: 20,
        storeLoadWindowSeconds: 5,
        storeLoadExcess: 1,
        revocationMs: Infinity,
        configurationMs: Infinity,
        limitWindowSeconds: 8,
        limitExcess: 0.1,
        limitSlack: 0,
      },
      ...part,
    });
  }

  static async start(part: Partial<GatewaySettings> = {}): Promise<GatewayHarness> {
    const harness = await GatewayHarness.prepare(part);
    await harness.gateway.start();
    // The retry budget grants its slack only after one window.
    await pause(2 * 1_000 * harness.settings.bounds.retryWindowSeconds);
    return harness;
  }

  /** Starts a gateway with the default configuration, and starts and lists the given backends. */
  static async startWithBackends(backends: readonly TestBackend[]): Promise<GatewayHarness> {
    const harness = await GatewayHarness.start();
    for (const backend of backends) await backend.start();
    harness.configure(testConfiguration());
    harness.list(backends.map((backend) => backend.record()));
    return harness;
  }

  /** Confirms the newest configuration that the test has set, if the platform's store responds. */
  private confirm(): Promise<boolean> {
    const askedAt = leaseNow();
    if (this.isStoreAnswering) this.listener?.onConfirmed(this.version, askedAt);
    return Promise.resolve(this.isStoreAnswering);
  }

  private confirmDirectory(): Promise<boolean> {
    if (this.isStoreAnswering) this.onDirectoryConfirmed();
    return Promise.resolve(this.isStoreAnswering);
  }

  configure(configuration: ServiceConfiguration): void {
    this.version = configuration.version;
    this.listener?.onConfiguration(configuration, 'store');
  }

  list(backends: readonly BackendRecord[]): void {
    this.revision += 1;
    this.listener?.onBackends({ backends, revision: this.revision, mayMissBackends: false });
  }

  /** Sends a request on a new connection and returns the whole answer. */
  call(call: TestCall): Promise<CallerView> {
    return new Promise((resolve, reject) => {
      const request = this.request(call, (response) => {
        const chunks: Buffer[] = [];
        const end = (complete: boolean): void =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            complete,
          });
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('end', () => end(response.complete));
        response.on('error', () => end(false));
      });
      request.on('error', reject);
    });
  }

  /** Sends a request; the test handles the answer. */
  request(call: TestCall, onAnswer: (response: http.IncomingMessage) => void): http.ClientRequest {
    const [host, port] = this.settings.callers.split(':');
    const request = http.request(
      {
        host,
        port,
        path: call.path ?? '/work/x',
        method: call.method ?? 'POST',
        agent: false,
        headers: { host: 'service.test', 'request-id': call.id, deadline: '4000', ...call.headers },
      },
      onAnswer,
    );
    request.end(call.body ?? '');
    return request;
  }

  /** Address for other daemons, "ip:port". */
  get peerAddress(): string {
    return `${this.settings.address}:${this.settings.peerPort}`;
  }

  /** Makes this gateway and another one members of one group. */
  joinGroupOf(other: GatewayHarness): void {
    this.peers().addSeeds([other.peerAddress]);
  }

  /** Number of daemons that the gateway knows to be live, including itself. */
  liveMembers(): number {
    return this.peers().live().length;
  }

  private peers(): PeerGroup {
    return (this.gateway as unknown as { peers: PeerGroup }).peers;
  }

  /** State that the gateway's requests share. */
  context(): GatewayContext {
    return (this.gateway as unknown as { context: GatewayContext }).context;
  }

  /** Whether the agent has an idle connection to "ip:port" for a request that was not sent yet. */
  hasIdleConnection(address: string): boolean {
    return this.agent.hasIdleConnection(address, 'send-1');
  }

  stop(): void {
    this.gateway.stop();
    this.agent.destroy();
    const { callers, readiness, peerPort } = this.settings;
    releasePorts([portOf(callers), portOf(readiness), peerPort, peerPort + 1]);
  }

  private ofKind(kind: string): StoredRecord[] {
    return [...this.records]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, value]) => value);
  }

  private logger(): Logger {
    const keep = (event: string, fields: LogFields = {}): void => {
      this.lines.push({ event, fields });
    };
    return { ...silentLogger, info: keep, warn: keep, error: keep };
  }
}

/** Waits for a number of milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
