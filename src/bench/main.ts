/**
 * `npm run bench`: what a router adds to the time to the first token and between
 * tokens, compared with asking the engine directly, in the same run; and the
 * highest rate that one daemon holds. Load on loopback, bounded in count and time.
 */
import http from 'node:http';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import { AdminClient } from '../client/admin-client.js';
import { callModel } from '../client/model-client.js';
import { printTable } from '../cli/output.js';
import { sleep } from '../common/process.js';
import { hashKey } from '../core/admission/api-keys.js';
import { HttpEngineClient } from '../engines/http-engine-client.js';
import { ADMIN_KEY, LocalCluster, waitFor, type ClusterEngine } from '../testbed/local-cluster.js';

/** The share of one daemon at the target. */
const REQUESTS_PER_SECOND = 7;
const TOKENS_PER_REQUEST = 486;
const SECONDS = 20;
const TOKEN_MS = 10;
const TENANT = 'bench';
const KEY = 'bench-key';
/** Callers at once and seconds for the highest rate. */
const CALLERS = [8, 32, 64] as const;
const RATE_SECONDS = 4;
const RATE_TOKENS = 20;
const MICROSECONDS = 1_000;

/** Connections are kept, as the engine client keeps its own. */
const agent = new http.Agent({ keepAlive: true });

interface Measured {
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
  tokens: number;
  failures: number;
}

function newMeasure(): Measured {
  const firstToken = buildHistogram({ highestTrackableValue: 60_000_000 });
  const betweenTokens = buildHistogram({ highestTrackableValue: 60_000_000 });
  return { firstToken, betweenTokens, tokens: 0, failures: 0 };
}

/** Records the moments of tokens, in microseconds. */
class TokenClock {
  private readonly startedAt = performance.now();
  private lastAt: number | undefined;

  constructor(private readonly measure: Measured) {}

  token(): void {
    const now = performance.now();
    const since = this.lastAt ?? this.startedAt;
    const target = this.lastAt === undefined ? this.measure.firstToken : this.measure.betweenTokens;
    target.recordValue(Math.max(1, Math.round((now - since) * MICROSECONDS)));
    this.lastAt = now;
    this.measure.tokens += 1;
  }
}

interface Bench {
  readonly cluster: LocalCluster;
  readonly engines: HttpEngineClient;
  readonly engine: ClusterEngine;
  readonly incarnation: string;
}

function askEngine(bench: Bench, index: number, measure: Measured): Promise<void> {
  const clock = new TokenClock(measure);
  const prompt = `direct ${index} tokens=${TOKENS_PER_REQUEST}`;
  const request = { id: `direct-${index}`, tenant: TENANT, incarnation: bench.incarnation };
  return new Promise((resolve) => {
    const fail = (): void => {
      measure.failures += 1;
      resolve();
    };
    const whole = { ...request, priority: 1, prompt, maxTokens: TOKENS_PER_REQUEST };
    bench.engines.run(bench.engine.address, whole, {
      onAccepted: () => {},
      onToken: () => clock.token(),
      onDone: () => resolve(),
      onRefused: fail,
      onBroken: fail,
    });
  });
}

async function askDaemon(bench: Bench, index: number, measure: Measured): Promise<void> {
  const clock = new TokenClock(measure);
  const answer = await callModel({
    server: bench.cluster.daemons[0]?.callers ?? '',
    key: KEY,
    model: TENANT,
    prompt: `routed ${index} tokens=${TOKENS_PER_REQUEST}`,
    maxTokens: TOKENS_PER_REQUEST,
    stream: true,
    timeoutMs: 60_000,
    agent,
    onToken: () => clock.token(),
  });
  if (answer.outcome !== 'whole') measure.failures += 1;
}

/** Sends requests by turns directly and through the daemon, so that both meet the same machine. */
async function measureAddedTime(bench: Bench): Promise<readonly [Measured, Measured]> {
  const direct = newMeasure();
  const routed = newMeasure();
  const calls: Promise<void>[] = [];
  const total = REQUESTS_PER_SECOND * SECONDS;
  for (let index = 0; index < total; index++) {
    calls.push(askDaemon(bench, index, routed), askEngine(bench, index, direct));
    await sleep(1000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(calls);
  return [direct, routed];
}

async function measureRate(bench: Bench, callers: number): Promise<readonly string[]> {
  const until = Date.now() + RATE_SECONDS * 1000;
  let requests = 0;
  let tokens = 0;
  let refused = 0;
  const caller = async (name: number): Promise<void> => {
    for (let index = 0; Date.now() < until; index++) {
      const prompt = `rate ${name} ${index} tokens=${RATE_TOKENS}`;
      const server = bench.cluster.daemons[0]?.callers ?? '';
      const call = { server, key: KEY, model: TENANT, prompt, maxTokens: RATE_TOKENS };
      const answer = await callModel({ ...call, stream: true, timeoutMs: 20_000, agent });
      if (answer.outcome !== 'whole') refused += 1;
      else requests += 1;
      tokens += answer.tokens;
    }
  };
  await Promise.all(Array.from({ length: callers }, (_, name) => caller(name)));
  const perSecond = (count: number): string => (count / RATE_SECONDS).toFixed(0);
  return [String(callers), perSecond(requests), perSecond(tokens), String(refused)];
}

function milliseconds(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS;
}

function printAddedTime(direct: Measured, routed: Measured): void {
  const rows = (['firstToken', 'betweenTokens'] as const).flatMap((part) =>
    [50, 95, 99].map((percentile) => {
      const without = milliseconds(direct[part], percentile);
      const through = milliseconds(routed[part], percentile);
      const cells = [without, through, through - without].map((value) => value.toFixed(2));
      return [`${part} p${percentile}`, ...cells];
    }),
  );
  printTable(['MEASURE', 'DIRECT MS', 'ROUTED MS', 'ADDED MS'], rows);
  const perSecond = (routed.tokens / SECONDS).toFixed(0);
  const failures = direct.failures + routed.failures;
  process.stdout.write(
    `${REQUESTS_PER_SECOND} requests and ${perSecond} tokens a second through one daemon for ${SECONDS} s, ${failures} failures\n\n`,
  );
}

async function declare(cluster: LocalCluster): Promise<void> {
  const client = new AdminClient(cluster.daemons[0]?.callers ?? '', ADMIN_KEY);
  const service = {
    model: { name: 'bench-model', gigabytes: 2 },
    slots: 256,
    limits: { inFlight: 512, requestsPerSecond: 100_000, queue: 512 },
    keepAlive: { policy: 'forever' },
    deadlineSeconds: 60,
  };
  const template = { kind: 'Template', name: 'bench', service };
  const tenant = { kind: 'Tenant', name: TENANT, template: 'bench', keyHashes: [hashKey(KEY)] };
  const results = [
    await client.put('templates', 'bench', template),
    await client.put('tenants', TENANT, tenant),
  ];
  client.close();
  for (const result of results) if (result.isErr) throw new Error(result.error.message);
}

async function warmUp(cluster: LocalCluster): Promise<void> {
  await waitFor('a first answer', 20_000, async () => {
    const server = cluster.daemons[0]?.callers ?? '';
    const call = { server, key: KEY, model: TENANT, prompt: 'warm', maxTokens: 2, stream: true };
    return (await callModel({ ...call, timeoutMs: 10_000 })).outcome === 'whole';
  });
}

async function main(): Promise<void> {
  const cluster = await LocalCluster.start({
    zones: [{ zone: 'a', site: 'old' }],
    daemonsPerZone: 1,
    enginesPerZone: 1,
    engineFlags: ['--token-ms', String(TOKEN_MS), '--overhead-ms', '10'],
  });
  const engines = new HttpEngineClient();
  try {
    await declare(cluster);
    await warmUp(cluster);
    const [engine] = cluster.engines;
    if (engine === undefined) throw new Error('a cluster has an engine');
    const { incarnation } = await cluster.engineStatus(engine);
    const bench = { cluster, engines, engine, incarnation };
    const daemon = cluster.daemons[0]?.process;
    const idleMegabytes = daemon?.residentMegabytes() ?? 0;
    const [direct, routed] = await measureAddedTime(bench);
    printAddedTime(direct, routed);
    const busyMegabytes = daemon?.residentMegabytes() ?? 0;
    process.stdout.write(
      `resident memory of the daemon: ${idleMegabytes.toFixed(0)} MB before, ${busyMegabytes.toFixed(0)} MB after\n\n`,
    );
    const rates: (readonly string[])[] = [];
    for (const callers of CALLERS) rates.push(await measureRate(bench, callers));
    printTable(['CALLERS', 'REQUESTS/S', 'TOKENS/S', 'REFUSED'], rates);
  } finally {
    engines.close();
    agent.destroy();
    await cluster.stop();
  }
}

main().catch((fault: unknown) => {
  process.stderr.write(`failed: ${fault instanceof Error ? fault.message : String(fault)}\n`);
  process.exitCode = 1;
});
