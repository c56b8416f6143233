/** One size of the scale run: hollow daemons in worker processes before one stand-in of the platform. */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { AdminClient } from '../client/admin-client.js';
import { HttpClient, parseJson } from '../common/http-client.js';
import { sleep } from '../common/process.js';
import { hashKey } from '../daemon/bearer-keys.js';
import { HttpPlatformClient } from '../platform/http-platform-client.js';
import type { Machine } from '../platform/platform-client.js';
import { findFreePorts } from '../testbed/free-ports.js';
import { ManagedProcess } from '../testbed/managed-process.js';
import type {
  DaemonCounters,
  HollowDaemonPlace,
  WorkerAnswer,
  WorkerRequest,
  WorkerSample,
} from './worker-messages.js';

const HOST = '127.0.0.1';
const ADMIN_KEY = 'scale-admin';
/** Daemons in one worker process. */
const DAEMONS_PER_WORKER = 15;
const ZONES = 7;
const REGIONS = 3;
/** The target that the shares below are taken of. */
export const TARGET = {
  daemons: 330,
  engines: 600,
  tenants: 16_000,
  models: 61,
  requestsPerSecond: 2_200,
  /** Tenants that wake or fall idle within an hour. */
  wakingShare: 0.15,
} as const;
/** Tenants in use at any moment, as a share of all. */
const ACTIVE_SHARE = 0.02;
const ENGINES_PER_POOL = 10;
const SETTLE_TIMEOUT_MS = 120_000;
/** Milliseconds without a write after which the store counts as quiet. */
const QUIET_MS = 2_000;

/** How long each part is measured. */
export interface ScaleTimes {
  readonly idleSeconds: number;
  readonly workSeconds: number;
  readonly changes: number;
  readonly deaths: number;
}

/** What one size has cost. Figures a daemon are means, and the largest where said. */
export interface ScaleResult {
  readonly daemons: number;
  readonly tenants: number;
  readonly pools: number;
  readonly settleSeconds: number;
  readonly idle: CostPerDaemon;
  readonly work: CostPerDaemon;
  readonly heapMegabytes: number;
  readonly storeRequestsPerSecond: number;
  /** Milliseconds until a change was in force at all daemons. */
  readonly changeP50Ms: number;
  readonly changeMaxMs: number;
  /** Milliseconds from deaths of owners until every daemon knew new owners. */
  readonly takeoverMs: number;
}

/** What a daemon spends. */
export interface CostPerDaemon {
  /** Bytes sent and received a second. */
  readonly bytesPerSecond: number;
  /** The same at the daemon that spends most. */
  readonly largestBytesPerSecond: number;
  readonly messagesPerSecond: number;
  /** Percent of a core. */
  readonly processorPercent: number;
}

/** A worker process and its one conversation. */
class Worker {
  private readonly child: ChildProcess;
  private waiting: ((answer: WorkerAnswer) => void)[] = [];

  constructor() {
    this.child = fork(fileURLToPath(new URL('./worker.js', import.meta.url)), [], {
      execArgv: ['--max-semi-space-size=4'],
    });
    this.child.on('message', (answer: WorkerAnswer) => this.waiting.shift()?.(answer));
  }

  ask(request: WorkerRequest): Promise<WorkerAnswer> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.child.send(request);
    });
  }

  async stop(): Promise<void> {
    const exited = new Promise((resolve) => this.child.once('exit', resolve));
    void this.ask({ type: 'stop' });
    const timer = setTimeout(() => this.child.kill('SIGKILL'), 5_000);
    await exited;
    clearTimeout(timer);
  }
}

interface Sampled {
  readonly at: number;
  readonly samples: readonly WorkerSample[];
  readonly storeCalls: number;
}

/** A running group of hollow daemons. */
class ScaleGroup {
  private readonly directory = mkdtempSync(path.join(tmpdir(), 'scaleslip-scale-'));
  private readonly workers: Worker[] = [];
  private readonly http = new HttpClient();
  private platform = '';
  private platformProcess: ManagedProcess | undefined;
  private places: HollowDaemonPlace[] = [];
  readonly tenants: string[] = [];

  constructor(
    private readonly daemons: number,
    tenantCount: number,
  ) {
    for (let index = 0; index < tenantCount; index++) this.tenants.push(`tenant-${index}`);
  }

  get poolCount(): number {
    return Math.max(
      1,
      Math.round((this.daemons * TARGET.engines) / TARGET.daemons / ENGINES_PER_POOL),
    );
  }

  async start(): Promise<void> {
    const [platformPort = 0, ...ports] = await findFreePorts(1 + 2 * this.daemons);
    this.platform = `${HOST}:${platformPort}`;
    this.platformProcess = new ManagedProcess(
      'platform',
      fileURLToPath(new URL('../standin/main.js', import.meta.url)),
      ['platform', '--port', String(platformPort)],
      path.join(this.directory, 'platform.log'),
    );
    this.places = placesFor(this.daemons, ports);
    await this.waitForPlatform();
    await this.fillPlatform();
    const adminKeyHash = hashKey(ADMIN_KEY);
    const starts: Promise<WorkerAnswer>[] = [];
    for (let first = 0; first < this.places.length; first += DAEMONS_PER_WORKER) {
      const worker = new Worker();
      this.workers.push(worker);
      const places = this.places.slice(first, first + DAEMONS_PER_WORKER);
      starts.push(worker.ask({ type: 'start', platform: this.platform, adminKeyHash, places }));
    }
    await Promise.all(starts);
  }

  async stop(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.stop()));
    await this.platformProcess?.kill();
    this.http.close();
    rmSync(this.directory, { recursive: true, force: true });
  }

  /** Waits until all know each other and every pool has an owner; resolves with the seconds. */
  async settle(): Promise<number> {
    const startedAt = Date.now();
    let state = '';
    while (Date.now() - startedAt < SETTLE_TIMEOUT_MS) {
      const counters = (await this.sample()).samples.flatMap((sample) => sample.daemons);
      const all = counters.every((d) => d.ready && d.members === this.daemons);
      const owned = counters.reduce((sum, d) => sum + d.ownedPools, 0);
      if (all && owned === this.poolCount) {
        const seconds = (Date.now() - startedAt) / 1000;
        await this.waitForQuietStore();
        return seconds;
      }
      const ready = counters.filter((d) => d.ready).length;
      const fewest = Math.min(...counters.map((d) => d.members));
      state = `${ready} ready, ${fewest} members at least, ${owned} of ${this.poolCount} pools owned`;
      await sleep(250);
    }
    throw new Error(`${this.daemons} daemons did not settle in ${SETTLE_TIMEOUT_MS} ms: ${state}`);
  }

  /** The first quotas of all tenants are written after a start; they are no part of the steady cost. */
  private async waitForQuietStore(): Promise<void> {
    let last = -1;
    for (let tries = 0; tries < SETTLE_TIMEOUT_MS / QUIET_MS; tries++) {
      const counts = (await this.post('/control/counts', {})) as { revision?: number };
      const revision = counts.revision ?? 0;
      if (revision === last) return;
      last = revision;
      await sleep(QUIET_MS);
    }
  }

  async sample(): Promise<Sampled> {
    const answers = await Promise.all(this.workers.map((w) => w.ask({ type: 'sample' })));
    const samples = answers.flatMap((a) => (a.type === 'sample' ? [a.sample] : []));
    return { at: Date.now(), samples, storeCalls: await this.storeCalls() };
  }

  async startLoad(): Promise<void> {
    const active = Math.max(1, Math.round(this.tenants.length * ACTIVE_SHARE));
    const wakes = (this.tenants.length * TARGET.wakingShare) / 3600;
    const load = {
      requestsPerSecond: TARGET.requestsPerSecond / TARGET.daemons,
      activeTenants: this.tenants.slice(0, active),
      wakesPerSecond: wakes / this.workers.length,
      idleTenants: this.tenants.slice(active),
    };
    await Promise.all(this.workers.map((worker) => worker.ask({ type: 'load', load })));
  }

  /** Applies a change through one daemon; resolves with milliseconds until all have it. */
  async change(index: number): Promise<number> {
    const place = this.places[index % this.places.length];
    const name = this.tenants[index % this.tenants.length] ?? '';
    const client = new AdminClient(`${HOST}:${place?.callerPort ?? 0}`, ADMIN_KEY);
    const applied = await client.put('tenants', name, tenantDocument(name, `key-${index}`));
    client.close();
    if (applied.isErr) throw new Error(applied.error.message);
    const acceptedAt = Date.now();
    const { version } = applied.value;
    const times = await this.awaitAll({ type: 'await_revision', revision: version });
    return Math.max(0, times - acceptedAt);
  }

  /** Kills owners; resolves with milliseconds until every daemon knows new ones. */
  async killOwners(count: number): Promise<number> {
    const { samples } = await this.sample();
    const owners = samples
      .flatMap((sample) => sample.daemons)
      .filter((daemon) => daemon.ownedPools > 0)
      .slice(0, count)
      .map((daemon) => daemon.name);
    const places = this.places.filter((place) => owners.includes(place.name));
    const without = places.map((place) => `${HOST}:${place.peerPort}`);
    const killedAt = Date.now();
    await Promise.all(this.workers.map((worker) => worker.ask({ type: 'kill', names: owners })));
    return (await this.awaitAll({ type: 'await_owners', without })) - killedAt;
  }

  private async awaitAll(request: WorkerRequest): Promise<number> {
    const answers = await Promise.all(this.workers.map((worker) => worker.ask(request)));
    const times = answers.flatMap((answer) => (answer.type === 'reached' ? answer.at : []));
    if (times.some((time) => time === 0)) throw new Error(`${request.type}: not everywhere`);
    return Math.max(...times);
  }

  private async storeCalls(): Promise<number> {
    const answer = await this.post('/control/counts', {});
    const calls = (answer as { calls?: Record<string, number> }).calls ?? {};
    return Object.values(calls).reduce((sum, count) => sum + count, 0);
  }

  private async waitForPlatform(): Promise<void> {
    for (let tries = 0; tries < 200; tries++) {
      const request = { address: this.platform, path: '/control/counts', timeoutMs: 500 };
      const answer = await this.http.send({ method: 'POST', ...request, body: {} });
      if (answer.isOk) return;
      await sleep(50);
    }
    throw new Error('the platform did not start');
  }

  private async post(target: string, body: unknown): Promise<unknown> {
    const request = { address: this.platform, path: target, body, timeoutMs: 30_000 };
    const answer = await this.http.send({ method: 'POST', ...request });
    if (answer.isErr) throw new Error(answer.error.message);
    return parseJson(answer.value.body).unwrapOr({});
  }

  private async fillPlatform(): Promise<void> {
    const client = new HttpPlatformClient(this.platform);
    for (let model = 0; model < TARGET.models; model++) {
      const value = templateDocument(model);
      await client.write({ kind: 'template', name: value.name, expectedVersion: 0, value });
    }
    for (let first = 0; first < this.tenants.length; first += 64) {
      await Promise.all(
        this.tenants.slice(first, first + 64).map((name) => {
          const value = tenantDocument(name, 'key');
          return client.write({ kind: 'tenant', name, expectedVersion: 0, value });
        }),
      );
    }
    client.close();
    await this.post('/control/machines', this.machines());
  }

  private machines(): Machine[] {
    const daemons = this.places.map((place): Machine => ({
      address: `${HOST}:${place.peerPort}`,
      kind: 'daemon',
      zone: place.zone,
      site: place.site,
      pool: '',
      state: 'live',
    }));
    const engines: Machine[] = [];
    for (let pool = 0; pool < this.poolCount; pool++) {
      const { zone, site } = zoneAt(pool);
      for (let engine = 0; engine < ENGINES_PER_POOL; engine++) {
        const address = `10.9.${pool}.${engine}:80`;
        engines.push({ address, kind: 'engine', zone, site, pool: `pool-${pool}`, state: 'live' });
      }
    }
    return [...daemons, ...engines];
  }
}

function zoneAt(index: number): { zone: string; site: string } {
  const zone = index % ZONES;
  return { zone: `zone-${zone}`, site: `region-${zone % REGIONS}` };
}

function placesFor(count: number, ports: readonly number[]): HollowDaemonPlace[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `hollow-${index}`,
    ...zoneAt(index),
    callerPort: ports[2 * index] ?? 0,
    peerPort: ports[2 * index + 1] ?? 0,
  }));
}

function templateDocument(model: number): { name: string } {
  const service = {
    model: { name: `model-${model}`, gigabytes: 14 },
    adapters: [{ name: '${adapter}', megabytes: 100 }],
    maxReplicas: 2,
    keepAlive: { idleSeconds: 20 },
  };
  const parameters = [{ name: 'adapter' }];
  return { kind: 'Template', name: `template-${model}`, parameters, service } as { name: string };
}

function tenantDocument(name: string, key: string): object {
  const template = `template-${Number(name.slice('tenant-'.length)) % TARGET.models}`;
  const parameters = { adapter: `adapter-${name}` };
  return { kind: 'Tenant', name, template, parameters, keyHashes: [hashKey(key)] };
}

function costBetween(before: Sampled, after: Sampled): CostPerDaemon {
  const seconds = (after.at - before.at) / 1000;
  const start = new Map(before.samples.flatMap((s) => s.daemons).map((d) => [d.name, d]));
  const ends = after.samples.flatMap((sample) => sample.daemons);
  const bytes = ends.map((end) => trafficOf(end) - trafficOf(start.get(end.name)));
  const messages = ends.map((end) => messagesOf(end) - messagesOf(start.get(end.name)));
  const sum = (values: readonly number[]): number => values.reduce((total, v) => total + v, 0);
  const processor =
    sum(after.samples.map((s) => s.processorMicroseconds)) -
    sum(before.samples.map((s) => s.processorMicroseconds));
  return {
    bytesPerSecond: sum(bytes) / ends.length / seconds,
    largestBytesPerSecond: Math.max(...bytes) / seconds,
    messagesPerSecond: sum(messages) / ends.length / seconds,
    processorPercent: processor / 1e4 / ends.length / seconds,
  };
}

function trafficOf(counters: DaemonCounters | undefined): number {
  return (counters?.bytesSent ?? 0) + (counters?.bytesReceived ?? 0);
}

function messagesOf(counters: DaemonCounters | undefined): number {
  return (counters?.messagesSent ?? 0) + (counters?.messagesReceived ?? 0);
}

/** Measures one size. */
export async function runScale(
  daemons: number,
  tenants: number,
  times: ScaleTimes,
): Promise<ScaleResult> {
  const group = new ScaleGroup(daemons, tenants);
  try {
    await group.start();
    const settleSeconds = await group.settle();
    await sleep(2_000);
    const first = await group.sample();
    await sleep(times.idleSeconds * 1000);
    const second = await group.sample();
    await group.startLoad();
    await sleep(3_000);
    const third = await group.sample();
    await sleep(times.workSeconds * 1000);
    const fourth = await group.sample();
    const changes: number[] = [];
    for (let index = 0; index < times.changes; index++) changes.push(await group.change(index * 7));
    changes.sort((a, b) => a - b);
    const takeoverMs = await group.killOwners(times.deaths);
    const heap = fourth.samples.reduce((sum, sample) => sum + sample.heapBytes, 0);
    return {
      daemons,
      tenants,
      pools: group.poolCount,
      settleSeconds,
      idle: costBetween(first, second),
      work: costBetween(third, fourth),
      heapMegabytes: heap / 1e6 / daemons,
      storeRequestsPerSecond:
        ((fourth.storeCalls - third.storeCalls) * 1000) / (fourth.at - third.at),
      changeP50Ms: changes[Math.floor(changes.length / 2)] ?? 0,
      changeMaxMs: changes.at(-1) ?? 0,
      takeoverMs,
    };
  } finally {
    await group.stop();
  }
}
