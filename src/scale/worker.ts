/** A worker process of the scale run: several hollow daemons on real sockets. */
import http from 'node:http';
import net from 'node:net';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { silentLogger } from '../common/logger.js';
import { sleep } from '../common/process.js';
import { CallerExchange } from '../daemon/caller-exchange.js';
import { Daemon } from '../daemon/daemon.js';
import { parseSettings } from '../daemon/settings.js';
import { HttpPlatformClient } from '../platform/http-platform-client.js';
import { HollowEngineClient } from './hollow-engine-client.js';
import type {
  DaemonCounters,
  HollowLoad,
  WorkerAnswer,
  WorkerRequest,
  WorkerSample,
} from './worker-messages.js';

const HOST = '127.0.0.1';
const POLL_MS = 10;
const GIVE_UP_MS = 15_000;
const REQUEST_DEADLINE_MS = 10_000;
const LOAD_TICK_MS = 100;

interface Hollow {
  readonly name: string;
  readonly daemon: Daemon;
  /** Bytes of HTTP with the platform. */
  httpBytes: number;
}

const hollows: Hollow[] = [];
const random = xoroshiro128plus(process.pid);
let loadTimer: NodeJS.Timeout | undefined;
let requests = 0;
let nextWake = 0;

async function start(request: Extract<WorkerRequest, { type: 'start' }>): Promise<void> {
  for (const place of request.places) {
    const value = {
      ...place,
      address: HOST,
      platform: request.platform,
      adminKeyHashes: [request.adminKeyHash],
    };
    const settings = parseSettings(value, place.name);
    if (settings.isErr) throw new Error(settings.error.message);
    const counter = { httpBytes: 0 };
    const onBytes = (bytes: number): void => {
      counter.httpBytes += bytes;
    };
    const daemon = new Daemon(settings.value, {
      platform: new HttpPlatformClient(request.platform, { onBytes }),
      engines: new HollowEngineClient(),
      logger: silentLogger,
    });
    await daemon.start();
    hollows.push(Object.assign(counter, { name: place.name, daemon }));
  }
}

/** A response that goes nowhere. */
function hollowResponse(): http.ServerResponse {
  return new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
}

function submit(hollow: Hollow, tenant: string): void {
  requests += 1;
  const id = `${hollow.name}-${requests}`;
  const exchange = new CallerExchange(hollowResponse(), {
    id,
    model: tenant,
    chat: true,
    stream: false,
    created: 0,
    promptTokens: 1,
    includeUsage: false,
  });
  const deadline = Date.now() + REQUEST_DEADLINE_MS;
  const request = { id, tenant, priority: 1, deadline, repeatable: false };
  hollow.daemon.requests.submit({
    request: { ...request, idempotencyKey: undefined },
    exchange,
    prompt: '',
    maxTokens: 1,
  });
}

function pick<Item>(items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[uniformInt(random, 0, items.length - 1)];
}

function startLoad(load: HollowLoad): void {
  clearInterval(loadTimer);
  let owed = 0;
  let wakesOwed = 0;
  loadTimer = setInterval(() => {
    owed += (load.requestsPerSecond * hollows.length * LOAD_TICK_MS) / 1000;
    wakesOwed += (load.wakesPerSecond * LOAD_TICK_MS) / 1000;
    for (; owed >= 1; owed--) sendTo(pick(load.activeTenants));
    for (; wakesOwed >= 1; wakesOwed--) {
      sendTo(load.idleTenants[nextWake % Math.max(1, load.idleTenants.length)]);
      nextWake += 1;
    }
  }, LOAD_TICK_MS);
}

function sendTo(tenant: string | undefined): void {
  const hollow = pick(hollows);
  if (hollow !== undefined && tenant !== undefined) submit(hollow, tenant);
}

function countersOf(hollow: Hollow): DaemonCounters {
  const { daemon, name } = hollow;
  const { counts } = daemon.transport;
  return {
    name,
    ready: daemon.unready() === undefined,
    members: daemon.membership.live().length,
    ownedPools: daemon.claims.owners.size,
    bytesSent: counts.bytesSent,
    bytesReceived: counts.bytesReceived + hollow.httpBytes,
    messagesSent: counts.messagesSent,
    messagesReceived: counts.messagesReceived,
  };
}

function sample(): WorkerSample {
  const { user, system } = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    processorMicroseconds: user + system,
    heapBytes: memory.heapUsed,
    residentBytes: memory.rss,
    daemons: hollows.map(countersOf),
  };
}

/** Waits until each daemon meets a condition; resolves with the times. */
function awaitEach(condition: (daemon: Daemon) => boolean): Promise<number[]> {
  return Promise.all(
    hollows.map(async ({ daemon }) => {
      const until = Date.now() + GIVE_UP_MS;
      while (Date.now() < until) {
        if (condition(daemon)) return Date.now();
        await sleep(POLL_MS);
      }
      return 0;
    }),
  );
}

function hasOwners(daemon: Daemon, without: readonly string[]): boolean {
  const pools = daemon.directory.pools();
  return (
    pools.length > 0 && pools.every((pool) => pool.owner !== '' && !without.includes(pool.owner))
  );
}

function kill(names: readonly string[]): void {
  for (const name of names) {
    const index = hollows.findIndex((hollow) => hollow.name === name);
    if (index < 0) continue;
    hollows[index]?.daemon.kill();
    hollows.splice(index, 1);
  }
}

async function answer(request: WorkerRequest): Promise<WorkerAnswer> {
  switch (request.type) {
    case 'start':
      await start(request);
      return { type: 'done' };
    case 'load':
      startLoad(request.load);
      return { type: 'done' };
    case 'sample':
      return { type: 'sample', sample: sample() };
    case 'await_revision': {
      const { revision } = request;
      const reached = (daemon: Daemon): boolean =>
        daemon.configuration.configuration.state.revision >= revision;
      return { type: 'reached', at: await awaitEach(reached) };
    }
    case 'await_owners':
      return {
        type: 'reached',
        at: await awaitEach((daemon) => hasOwners(daemon, request.without)),
      };
    case 'kill':
      kill(request.names);
      return { type: 'done' };
    case 'stop':
      clearInterval(loadTimer);
      kill(hollows.map((hollow) => hollow.name));
      return { type: 'done' };
  }
}

process.on('message', (request: WorkerRequest) => {
  answer(request).then(
    (reply) =>
      process.send?.(reply, () => {
        if (request.type === 'stop') process.exit(0);
      }),
    (fault: unknown) => {
      process.stderr.write(`worker: ${String(fault)}\n`);
      process.exit(1);
    },
  );
});
