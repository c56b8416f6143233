/**
 * `npm run bench`: measures the latency that a router adds to the first token and
 * between tokens, compared with direct calls to the engine in the same run, and the
 * highest request rate of one daemon. The load runs on loopback, bounded in count and time.
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
import { exitOnSignals } from '../testbed/managed-process.js';

/** Request rate and answer length of one daemon's share of the system's target load. */
const REQUESTS_PER_SECOND = 7;
const TOKENS_PER_REQUEST = 486;
const LATENCY_SECONDS = 20;
const TOKEN_INTERVAL_MS = 10;
const TENANT = 'bench';
const TENANT_KEY = 'bench-key';
/** Numbers of concurrent callers with which the highest rate is measured. */
const CONCURRENT_CALLERS = [8, 32, 64] as const;
const RATE_SECONDS = 4;
const RATE_TOKENS_PER_REQUEST = 20;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Keeps connections open, as the engine client does, so that both paths are comparable. */
const agent = new http.Agent({ keepAlive: true });

interface Measurements {
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
  tokens: number;
  failures: number;
}

function newMeasurements(): Measurements {
  const firstToken = buildHistogram({ highestTrackableValue: 60_000_000 });
  const betweenTokens = buildHistogram({ highestTrackableValue: 60_000_000 });
  return { firstToken, betweenTokens, tokens: 0, failures: 0 };
}

/** Records the times to the first token and between tokens, in microseconds. */
class TokenTimer {
  private readonly startedAt = performance.now();
  private lastAt: number | undefined;

  constructor(private readonly measurements: Measurements) {}

  recordToken(): void {
    const now = performance.now();
    const since = this.lastAt ?? this.startedAt;
    const target =
      this.lastAt === undefined ? this.measurements.firstToken : this.measurements.betweenTokens;
    target.recordValue(Math.max(1, Math.round((now - since) * MICROSECONDS_PER_MILLISECOND)));
    this.lastAt = now;
    this.measurements.tokens += 1;
  }
}

interface BenchContext {
  readonly cluster: LocalCluster;
  readonly engines: HttpEngineClient;
  readonly engine: ClusterEngine;
  readonly incarnation: string;
}

function callEngine(bench: BenchContext, index: number, measurements: Measurements): Promise<void> {
  const timer = new TokenTimer(measurements);
  const prompt = `direct ${index} tokens=${TOKENS_PER_REQUEST}`;
  const request = { id: `direct-${index}`, tenant: TENANT, incarnation: bench.incarnation };
  return new Promise((resolve) => {
    const fail = (): void => {
      measurements.failures += 1;
      resolve();
    };
    const engineRequest = { ...request, priority: 1, prompt, maxTokens: TOKENS_PER_REQUEST };
    bench.engines.run(bench.engine.address, engineRequest, {
      onAccepted: () => {},
      onToken: () => timer.recordToken(),
      onDone: () => resolve(),
      onRefused: fail,
      onBroken: fail,
    });
  });
}

async function callDaemon(
  bench: BenchContext,
  index: number,
  measurements: Measurements,
): Promise<void> {
  const timer = new TokenTimer(measurements);
  const answer = await callModel({
    server: bench.cluster.daemons[0]?.callers ?? '',
    key: TENANT_KEY,
    model: TENANT,
    prompt: `routed ${index} tokens=${TOKENS_PER_REQUEST}`,
    maxTokens: TOKENS_PER_REQUEST,
    stream: true,
    timeoutMs: 60_000,
    agent,
    onToken: () => timer.recordToken(),
  });
  if (answer.outcome !== 'whole') measurements.failures += 1;
}

/** Interleaves direct and routed requests, so that both run under the same machine load. */
async function measureAddedLatency(
  bench: BenchContext,
): Promise<readonly [Measurements, Measurements]> {
  const direct = newMeasurements();
  const routed = newMeasurements();
  const calls: Promise<void>[] = [];
  const total = REQUESTS_PER_SECOND * LATENCY_SECONDS;
  for (let index = 0; index < total; index++) {
    calls.push(callDaemon(bench, index, routed), callEngine(bench, index, direct));
    await sleep(1000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(calls);
  return [direct, routed];
}

async function measureRate(bench: BenchContext, callers: number): Promise<readonly string[]> {
  const endAt = Date.now() + RATE_SECONDS * 1000;
  let requests = 0;
  let tokens = 0;
  let refused = 0;
  const caller = async (name: number): Promise<void> => {
    for (let index = 0; Date.now() < endAt; index++) {
      const prompt = `rate ${name} ${index} tokens=${RATE_TOKENS_PER_REQUEST}`;
      const server = bench.cluster.daemons[0]?.callers ?? '';
      const call = {
        server,
        key: TENANT_KEY,
        model: TENANT,
        prompt,
        maxTokens: RATE_TOKENS_PER_REQUEST,
      };
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

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
}

function printAddedLatency(direct: Measurements, routed: Measurements): void {
  const rows = (['firstToken', 'betweenTokens'] as const).flatMap((part) =>
    [50, 95, 99].map((percentile) => {
      const directMs = percentileMs(direct[part], percentile);
      const routedMs = percentileMs(routed[part], percentile);
      const cells = [directMs, routedMs, routedMs - directMs].map((value) => value.toFixed(2));
      return [`${part} p${percentile}`, ...cells];
    }),
  );
  printTable(['MEASURE', 'DIRECT MS', 'ROUTED MS', 'ADDED MS'], rows);
  const perSecond = (routed.tokens / LATENCY_SECONDS).toFixed(0);
  const failures = direct.failures + routed.failures;
  process.stdout.write(
    `${REQUESTS_PER_SECOND} requests and ${perSecond} tokens a second through one daemon for ${LATENCY_SECONDS} s, ${failures} failures\n\n`,
  );
}

async function declareTenant(cluster: LocalCluster): Promise<void> {
  const client = new AdminClient(cluster.daemons[0]?.callers ?? '', ADMIN_KEY);
  const service = {
    model: { name: 'bench-model', gigabytes: 2 },
    slots: 256,
    limits: { inFlight: 512, requestsPerSecond: 100_000, queue: 512 },
    keepAlive: { policy: 'forever' },
    deadlineSeconds: 60,
  };
  const template = { kind: 'Template', name: 'bench', service };
  const tenant = {
    kind: 'Tenant',
    name: TENANT,
    template: 'bench',
    keyHashes: [hashKey(TENANT_KEY)],
  };
  const results = [
    await client.put('templates', 'bench', template),
    await client.put('tenants', TENANT, tenant),
  ];
  client.close();
  for (const result of results) if (result.isErr) throw new Error(result.error.message);
}

async function warmUp(cluster: LocalCluster): Promise<void> {
  await waitFor('the first complete answer', 20_000, async () => {
    const server = cluster.daemons[0]?.callers ?? '';
    const call = {
      server,
      key: TENANT_KEY,
      model: TENANT,
      prompt: 'warm',
      maxTokens: 2,
      stream: true,
    };
    return (await callModel({ ...call, timeoutMs: 10_000 })).outcome === 'whole';
  });
}

async function main(): Promise<void> {
  const cluster = await LocalCluster.start({
    zones: [{ zone: 'a', site: 'old' }],
    daemonsPerZone: 1,
    enginesPerZone: 1,
    engineFlags: ['--token-ms', String(TOKEN_INTERVAL_MS), '--overhead-ms', '10'],
  });
  const engines = new HttpEngineClient();
  try {
    await declareTenant(cluster);
    await warmUp(cluster);
    const [engine] = cluster.engines;
    if (engine === undefined) throw new Error('the cluster has no engine');
    const { incarnation } = await cluster.engineStatus(engine);
    const bench = { cluster, engines, engine, incarnation };
    const daemon = cluster.daemons[0]?.process;
    const idleMegabytes = daemon?.residentMegabytes() ?? 0;
    const [direct, routed] = await measureAddedLatency(bench);
    printAddedLatency(direct, routed);
    const busyMegabytes = daemon?.residentMegabytes() ?? 0;
    process.stdout.write(
      `resident memory of the daemon: ${idleMegabytes.toFixed(0)} MB before, ${busyMegabytes.toFixed(0)} MB after\n\n`,
    );
    const rates: (readonly string[])[] = [];
    for (const callers of CONCURRENT_CALLERS) rates.push(await measureRate(bench, callers));
    printTable(['CALLERS', 'REQUESTS/S', 'TOKENS/S', 'REFUSED'], rates);
  } finally {
    engines.close();
    agent.destroy();
    await cluster.stop();
  }
}

exitOnSignals();
main().catch((fault: unknown) => {
  process.stderr.write(`failed: ${fault instanceof Error ? fault.message : String(fault)}\n`);
  process.exitCode = 1;
});
