/** The deployed gateway as a child process, with stand-ins of the store and of replicas, and what it takes of its machine. */
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { splitAddress } from '../../src/common/http-client.js';
import { listen, sendJson } from '../../src/common/http-server.js';
import { sleep } from '../../src/common/process.js';
import { findFreePorts, releasePorts } from '../../src/testbed/free-ports.js';
import { HOST } from '../soak/caller.js';
import { ObjectStoreStandIn } from '../soak/object-store-stand-in.js';
import { SeededRandom } from '../soak/seeded-random.js';
import { configurationOf } from '../soak/soak-configuration.js';

const BUILD_FOLDER = 'target/crowd';
const DEPLOYMENT = 'deploy/system.toml';
const NAME = 'gateway';
const REPLICAS = 2;
const KILOBYTE = 1024;
export const MEGABYTE = 1024 * 1024;
/** Peer port and relay port. */
const PEER_PORTS = 2;
/** Interval between counts of the open descriptors, in milliseconds. */
const SAMPLE_MS = 25;
const RETRY_MS = 50;
const ROUTE_TIMEOUT_MS = 60_000;
/** A path that a route has. */
export const PATH = '/plain/any/x';

/** The machine of a gateway, and what its configuration allows its callers. */
export interface CrowdSettings {
  readonly memoryMegabytes: number;
  /** Descriptors that the process may have open. */
  readonly descriptors: number;
  readonly maxBodyBytes: number;
}

/** Builds the program as for deployment. */
export function buildObservedGateway(): void {
  execFileSync(process.execPath, ['scripts/build-gateway.mjs', BUILD_FOLDER]);
}

/** Peak resident memory of a process in bytes; undefined if it has ended. */
export function peakResidentBytes(pid: number | undefined): number | undefined {
  try {
    const kilobytes = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return kilobytes === undefined ? undefined : Number(kilobytes) * KILOBYTE;
  } catch {
    return undefined;
  }
}

/** Number of open descriptors of a process; 0 if it has ended. */
export function openDescriptors(pid: number | undefined): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** One gateway with its stand-ins. */
export class ObservedGateway {
  /** "ip:port" of each of its ports. */
  callers = '';
  readiness = '';
  metrics = '';
  relay = '';
  /** How it ended; undefined while it runs. */
  end: string | undefined;
  /** The most descriptors that were open at once. */
  peakDescriptors = 0;
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'crowd-'));
  private readonly store = new ObjectStoreStandIn(new SeededRandom(1));
  private readonly replicas: http.Server[] = [];
  private ports: number[] = [];
  private child: ChildProcess | undefined;
  private sampler: NodeJS.Timeout | undefined;
  private output = '';

  constructor(private readonly settings: CrowdSettings) {}

  /** Starts all processes; resolves once an ordinary request is served. */
  async start(): Promise<void> {
    this.configure(1);
    for (let index = 0; index < REPLICAS; index++) await this.startReplica(index);
    const settings = await this.settingsText();
    const file = path.join(this.folder, 'settings.json');
    writeFileSync(file, settings);
    const program = path.join(BUILD_FOLDER, 'scaleslip-gateway.cjs');
    const env = { PATH: process.env.PATH, SCALESLIP_SETTINGS: file };
    const child = spawn(process.execPath, [...deployedFlags(), program], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env,
    });
    this.child = child;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on(
        'data',
        (bytes: Buffer) => (this.output = (this.output + bytes.toString()).slice(-MEGABYTE)),
      );
    }
    child.once('exit', (code, signal) => (this.end = `code ${code}, signal ${signal}`));
    this.sampler = setInterval(() => this.sample(), SAMPLE_MS);
    await this.untilServed();
  }

  /** Stores a version of the configuration, with further routes after those that it always has. */
  configure(version: number, furtherRoutes: readonly object[] = []): void {
    const { routes, ...configuration } = configurationOf(1, ['m1']);
    // A body in small chunks takes its time; only the platform's limits for it count here.
    const patient = (routes as object[]).map((route) => ({
      ...route,
      timeoutMs: ROUTE_TIMEOUT_MS,
    }));
    const limits = { maxHeaderBytes: 16_384, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
    const { maxBodyBytes } = this.settings;
    this.store.put('config', 'main', {
      ...configuration,
      version,
      routes: [...patient, ...furtherRoutes],
      tenants: undefined,
      limits: { ...limits, maxBodyBytes },
    });
  }

  /** Resolves once an ordinary request is answered with success, or with false if the process has ended. */
  async untilServed(): Promise<boolean> {
    while (this.end === undefined) {
      if ((await this.ask()) === 200) return true;
      await sleep(RETRY_MS);
    }
    return false;
  }

  /** Peak resident memory in bytes; undefined if the process has ended. */
  get peakBytes(): number | undefined {
    return peakResidentBytes(this.child?.pid);
  }

  /** Log lines of an event. */
  linesOf(event: string): string[] {
    return this.output.split('\n').filter((line) => `${line} `.includes(` event=${event} `));
  }

  /** The value of a metric, summed over its labels. */
  async metric(name: string): Promise<number> {
    const text = await new Promise<string>((resolve, reject) => {
      http
        .get(`http://${this.metrics}/metrics`, (response) => {
          let body = '';
          response.on('data', (chunk: Buffer) => (body += chunk.toString()));
          response.on('end', () => resolve(body));
        })
        .once('error', reject);
    });
    const lines = text.split('\n').filter((line) => new RegExp(`^${name}[{ ]`).test(line));
    return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
  }

  /** The id under which a replica is listed. */
  get replicaId(): string {
    return 'replica-0';
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  async stop(): Promise<void> {
    clearInterval(this.sampler);
    const { child } = this;
    if (child !== undefined && this.end === undefined) {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    }
    for (const replica of this.replicas) {
      replica.close();
      replica.closeAllConnections();
    }
    this.store.stop();
    releasePorts(this.ports);
    rmSync(this.folder, { recursive: true });
  }

  /** A replica that answers each request once its whole body has come. */
  private async startReplica(index: number): Promise<void> {
    const id = `replica-${index}`;
    const server = http.createServer((request, response) => {
      request.resume();
      request.once('end', () => {
        const attemptId = String(request.headers['x-attempt-id'] ?? '');
        response.setHeader('x-attempt-id', attemptId);
        sendJson(response, 200, {}, { 'x-server-seal': `${id}.${attemptId}` });
      });
    });
    this.replicas.push(server);
    const address = `127.0.0.1:${await listen(server, '127.0.0.1', 0)}`;
    const entry = { service: 'plain', address, zone: 'a', slots: 6, state: 'ready' };
    this.store.put('servers', id, { ...entry, version: '1', coldLeftMs: 0, seq: 1 });
  }

  private async settingsText(): Promise<string> {
    const [peers = 0] = await findFreePorts(1, PEER_PORTS);
    const others = await findFreePorts(3);
    const [callers = 0, readiness = 0, metrics = 0] = others;
    this.ports = [peers, peers + 1, ...others];
    this.callers = `127.0.0.1:${callers}`;
    this.readiness = `127.0.0.1:${readiness}`;
    this.metrics = `127.0.0.1:${metrics}`;
    this.relay = `127.0.0.1:${peers + 1}`;
    return JSON.stringify({
      name: NAME,
      zone: 'a',
      processorShare: 1,
      processorSpeed: 1,
      memoryMegabytes: this.settings.memoryMegabytes,
      descriptors: this.settings.descriptors,
      address: '127.0.0.1',
      peerPort: peers,
      metricsPort: metrics,
      callers: this.callers,
      readiness: this.readiness,
      store: await this.store.listenFor(NAME),
      seeds: [],
      policies: {},
      bounds: {
        stopSeconds: 8,
        retryRatio: 0.2,
        retryWindowSeconds: 10,
        retrySlack: 40,
        storeLoadWindowSeconds: 5,
        storeLoadExcess: 1.1,
      },
    });
  }

  /** Sends an ordinary request on a new connection. Resolves with its status; undefined without an answer. */
  ask(body = 'hello'): Promise<number | undefined> {
    const [host, port] = splitAddress(this.callers);
    const headers = { host: HOST, 'x-attempt-id': 'ordinary', 'x-deadline-ms': 1_500 };
    return new Promise((resolve) => {
      const options = { host, port, path: PATH, method: 'POST', headers, agent: false } as const;
      const outgoing = http.request(options, (response) => {
        response.resume();
        response.once('error', () => resolve(undefined));
        response.once('end', () => resolve(response.statusCode));
      });
      outgoing.once('error', () => resolve(undefined));
      outgoing.end(body);
    });
  }

  private sample(): void {
    this.peakDescriptors = Math.max(this.peakDescriptors, openDescriptors(this.child?.pid));
  }
}

/** Node flags of the deployed program. */
function deployedFlags(): string[] {
  const [, flags = ''] = /run = "node ((?:--\S+ )*)/.exec(readFileSync(DEPLOYMENT, 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}
