/** What a gateway spends at several sizes: real processes in calm, before stand-ins on loopback. */
import { mkdirSync, readFileSync, rmSync } from 'node:fs';
import { HttpClient } from '../../src/common/http-client.js';
import { sleep } from '../../src/common/process.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import { call, type SoakRequest } from './caller.js';
import { GatewayProcess } from './gateway-process.js';
import { ObjectStoreStandIn } from './object-store-stand-in.js';
import { MODELS_THAT_FIT, ReplicaStandIn } from './replica-stand-in.js';
import { RunLog } from './run-log.js';
import { SeededRandom } from './seeded-random.js';
import { configurationOf } from './soak-configuration.js';

/** What to measure. */
export interface ScaleOptions {
  readonly gateways: number;
  readonly measureMs: number;
  readonly folder: string;
}

/** What the gateways spent; rates are for each gateway. */
export interface ScaleFigures {
  readonly gateways: number;
  readonly served: number;
  readonly asked: number;
  readonly controlBytesPerSecond: number;
  /** The gateway that spends most: the owner of the service. */
  readonly controlBytesPerSecondMost: number;
  readonly corePercent: number;
  readonly corePercentMost: number;
  readonly residentMegabytes: number;
  readonly storeCallsPerSecond: number;
}

/** Of the target: replicas and requests a second for each daemon, and models. */
const REPLICAS_PER_GATEWAY = 600 / 330;
const REQUESTS_PER_SECOND = 2_200 / 330;
const MOST_MODELS = 61;
/** Share of the room for models that the models would fill with one copy each. */
const FILLED_SHARE = 0.6;
const SETTLE_MS = 6_000;
const EVENTS = 20;
const DEADLINE_MS = 6_000;
/** Ticks of processor time in a second, as Linux counts them for processes. */
const TICKS_PER_SECOND = 100;

interface Spent {
  readonly bytes: number;
  readonly cpuSeconds: number;
}

/** Measures one size. */
export async function measureSize(options: ScaleOptions): Promise<ScaleFigures> {
  const { gateways: count, measureMs, folder } = options;
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const store = new ObjectStoreStandIn(new SeededRandom(1));
  await store.start();
  const replicaCount = Math.ceil(count * REPLICAS_PER_GATEWAY);
  const models = modelsFor(replicaCount);
  const replicas = await startReplicas(replicaCount, models, store);
  store.put('config', 'main', configurationOf(1, models, []));
  const gateways = await startGateways(count, folder, store.address);
  const traffic = new Traffic(gateways, models);
  traffic.start();
  await sleep(SETTLE_MS);
  traffic.reset();
  const before = await Promise.all(gateways.map(spentBy));
  const callsBefore = store.calls;
  await sleep(measureMs);
  const after = await Promise.all(gateways.map(spentBy));
  const calls = store.calls - callsBefore;
  const resident = gateways.map(residentMegabytes);
  await traffic.stop();
  await Promise.all(gateways.map((gateway) => gateway.end()));
  for (const replica of replicas) replica.end();
  store.stop();
  const seconds = measureMs / 1_000;
  const bytes = after.map((each, index) => (each.bytes - (before[index]?.bytes ?? 0)) / seconds);
  const cores = after.map(
    (each, index) => (100 * (each.cpuSeconds - (before[index]?.cpuSeconds ?? 0))) / seconds,
  );
  return {
    gateways: count,
    served: traffic.served,
    asked: traffic.asked,
    controlBytesPerSecond: mean(bytes),
    controlBytesPerSecondMost: Math.max(...bytes),
    corePercent: mean(cores),
    corePercentMost: Math.max(...cores),
    residentMegabytes: mean(resident),
    storeCallsPerSecond: calls / seconds,
  };
}

function modelsFor(replicas: number): string[] {
  const fitting = Math.floor(replicas * MODELS_THAT_FIT * FILLED_SHARE);
  const length = Math.min(MOST_MODELS, fitting);
  return Array.from({ length }, (_, index) => `m${index}`);
}

async function startReplicas(
  count: number,
  models: readonly string[],
  store: ObjectStoreStandIn,
): Promise<ReplicaStandIn[]> {
  const log = new RunLog();
  const replicas = Array.from({ length: count }, (_, index) => {
    const first = (index * MODELS_THAT_FIT) % models.length;
    return new ReplicaStandIn({
      name: `replica-${index}`,
      service: 'models',
      models: models.slice(first, first + MODELS_THAT_FIT),
      hasModels: true,
      store,
      log,
      random: new SeededRandom(index),
    });
  });
  for (const replica of replicas) await replica.start();
  return replicas;
}

async function startGateways(
  count: number,
  folder: string,
  store: string,
): Promise<GatewayProcess[]> {
  const ports = await findFreePorts(count * 4);
  return Array.from({ length: count }, (_, index) => {
    const [peers = 0, callers = 0, readiness = 0, metrics = 0] = ports.splice(0, 4);
    const where = { peers, callers, readiness, metrics };
    const gateway = new GatewayProcess({ name: `gateway-${index}`, folder, store, ports: where });
    gateway.start();
    return gateway;
  });
}

/** Requests of all models, the first in the list most, at every gateway alike. */
class Traffic {
  asked = 0;
  served = 0;
  private readonly random = new SeededRandom(7);
  private readonly pending = new Set<Promise<void>>();
  private readonly timers: NodeJS.Timeout[] = [];
  private sequence = 0;

  constructor(
    private readonly gateways: readonly GatewayProcess[],
    private readonly models: readonly string[],
  ) {}

  start(): void {
    for (const gateway of this.gateways) {
      const timer = setInterval(() => this.send(gateway), 1_000 / REQUESTS_PER_SECOND);
      this.timers.push(timer);
    }
  }

  reset(): void {
    this.asked = 0;
    this.served = 0;
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    await Promise.all(this.pending);
  }

  private send(gateway: GatewayProcess): void {
    this.asked += 1;
    const done = call(this.draw(), 'gateway', gateway.callers).then((seen) => {
      if (seen.status === 200 && seen.isWhole) this.served += 1;
    });
    this.pending.add(done);
    void done.finally(() => this.pending.delete(done));
  }

  private draw(): SoakRequest {
    this.sequence += 1;
    const attemptId = `s${this.sequence}`;
    const index = Math.floor(this.models.length * this.random.between(0, 1) ** 3);
    const body = JSON.stringify({ events: EVENTS, attemptId });
    const model = this.models[index];
    const fields = { attemptId, path: '/models/s/x', model, body, deadlineMs: DEADLINE_MS };
    return { kind: 'resumable', ...fields };
  }
}

async function spentBy(gateway: GatewayProcess): Promise<Spent> {
  const client = new HttpClient();
  const answer = await client.send({
    method: 'GET',
    address: gateway.metrics,
    path: '/metrics',
    timeoutMs: 2_000,
  });
  client.close();
  const text = answer.isOk ? answer.value.body : '';
  const bytes = [...text.matchAll(/^scaleslip_gateway_control_bytes\{.*\} (\d+)$/gm)];
  const fields = readFileSync(`/proc/${gateway.pid ?? 0}/stat`, 'utf8')
    .split(') ')[1]
    ?.split(' ');
  // User and system time are the 14th and 15th field of the file; the name's bracket ends the 2nd.
  const ticks = Number(fields?.[11] ?? 0) + Number(fields?.[12] ?? 0);
  return {
    bytes: bytes.reduce((sum, match) => sum + Number(match[1]), 0),
    cpuSeconds: ticks / TICKS_PER_SECOND,
  };
}

function residentMegabytes(gateway: GatewayProcess): number {
  const status = readFileSync(`/proc/${gateway.pid ?? 0}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_000;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
