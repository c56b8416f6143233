/** A small deployment on loopback: a store, gateways and replicas, and what a case needs to end them all. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { GatewayProcess } from './gateways.mjs';
import { HOST } from './client.mjs';
import { Record } from './record.mjs';
import { Replica } from './replica.mjs';
import { Store } from './store.mjs';

const LIMIT_MS = 110_000;
const MODELS = ['m0', 'm1', 'm2'];

/** The operator's configuration: one service of model replicas and one plain service. */
export function configuration(version, { routes = [], services = [] } = {}) {
  const models = MODELS.map((name) => ({
    name,
    weightsMb: 72_700,
    loadS: 4.3,
    adapters: 0,
    adapterMb: 66,
    diskS: 1.7,
    warmS: 1.3,
  }));
  const engine = {
    slots: 64,
    kvCapacityTokens: 130_679,
    weightsMb: 200_000,
    adapterSlots: 8,
    loadsPerS: 2.2,
    models,
  };
  const stream = { kind: 'streaming', goalMs: 600, gapGoalMs: 300, timeoutMs: 15_000, priority: 1 };
  const plain = { goalMs: 150, timeoutMs: 1_500, priority: 2 };
  return {
    version,
    routes: [
      {
        ...stream,
        name: 'live-roster',
        host: HOST,
        pathPrefix: '/rosters/',
        service: 'roster-llm',
        resumable: true,
        maxAttempts: 2,
      },
      {
        ...plain,
        name: 'shift-confirm',
        host: HOST,
        pathPrefix: '/confirmations/',
        service: 'shift-api',
        kind: 'non_idempotent',
        maxAttempts: 1,
      },
      {
        ...plain,
        name: 'shift-lookup',
        host: HOST,
        pathPrefix: '/lookups/',
        service: 'shift-api',
        kind: 'idempotent',
        maxAttempts: 2,
      },
      ...routes,
    ],
    services: [
      { name: 'roster-llm', healthPath: '/health', maxConns: 360, engine },
      { name: 'shift-api', healthPath: '/health', maxConns: 96 },
      ...services,
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export class Scene {
  constructor(recordFile) {
    this.record = new Record(recordFile);
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.store = new Store();
    this.gateways = [];
    this.replicas = [];
    this.hasTrouble = process.env.TROUBLE !== '0';
    // Loopback addresses of its own, so that the fixed port for metrics is free on each of them.
    this.net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
  }

  host(index) {
    return `${this.net}.${index + 1}`;
  }

  async start({ gateways, replicas, bounds, config = configuration(1) }) {
    this.storeAddress = await this.store.listen(this.host(0));
    this.store.put('config', 'main', config);
    for (const [index, options] of replicas.entries()) {
      const { store, record } = this;
      const replica = new Replica({ host: this.host(100 + index), store, record, ...options });
      this.replicas.push(replica);
      await replica.start();
    }
    for (let index = 0; index < gateways; index++) {
      const gateway = await GatewayProcess.create({
        name: `front-${index + 1}`,
        host: this.host(10 + index),
        store: this.storeAddress,
        folder: this.folder,
        bounds,
        onExit: ({ gateway: name, ...how }) => this.record.add(name, 'ends by itself', how),
      });
      this.gateways.push(gateway);
      gateway.start();
    }
    const ready = await Promise.all(this.gateways.map((gateway) => gateway.untilReady()));
    this.record.add('platform', 'ready', { ready });
    return ready.every(Boolean);
  }

  /**
   * A disruption that comes for a time, goes, and comes again. Returns whether it is on, and in which turn; none comes with TROUBLE=0.
   */
  inTurns(name, onMs, offMs) {
    const startedAt = Date.now();
    let lastTurn = -1;
    return () => {
      const sinceMs = Date.now() - startedAt;
      const turn = Math.floor(sinceMs / (onMs + offMs));
      const isOn = this.hasTrouble && sinceMs % (onMs + offMs) < onMs;
      if (isOn && turn !== lastTurn) this.record.add('platform', `${name} for`, { onMs, turn });
      if (isOn) lastTurn = turn;
      return { isOn, turn };
    };
  }

  async end() {
    await Promise.all(this.gateways.map((gateway) => gateway.end()));
    for (const replica of this.replicas) replica.stop();
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns the breaches that it has seen, or undefined if the case could not run. */
export async function runCase(recordFile, play) {
  const scene = new Scene(recordFile);
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2));
  process.once('uncaughtException', (fault) => {
    console.log(`exit 2: ${fault.stack}`);
    process.exit(2);
  });
  let code = 2;
  const limit = globalThis.setTimeout(() => finish(2, 'took too long'), LIMIT_MS);
  const finish = async (exitCode, why) => {
    globalThis.clearTimeout(limit);
    scene.record.add('case', 'ends', { exitCode, why });
    await scene.end();
    console.log(`exit ${exitCode}: ${why}`);
    process.exit(exitCode);
  };
  let why = 'the case could not run';
  try {
    const breaches = await play(scene);
    if (breaches !== undefined) {
      code = breaches.length > 0 ? 1 : 0;
      why = breaches.length > 0 ? breaches.join('; ') : 'the rule held';
    }
  } catch (fault) {
    why = String(fault?.stack ?? fault);
  }
  await finish(code, why);
}
