/** One scenario: a cluster under load, a fault, and what the auditor finds after it. */
import { AdminClient } from '../client/admin-client.js';
import { sleep } from '../common/process.js';
import { hashKey } from '../core/admission/api-keys.js';
import { ADMIN_KEY, LocalCluster, waitFor, type ClusterDaemon } from '../testbed/local-cluster.js';
import {
  audit,
  wasNotTaken,
  type CallerRecord,
  type Evidence,
  type Findings,
  type StoppedDaemon,
} from './auditor.js';
import { ConfigurationProbe } from './configuration-probe.js';
import { LoadGenerator, type LoadTenant } from './load.js';

const ZONES = [
  { zone: 'a', site: 'old' },
  { zone: 'b', site: 'old' },
  { zone: 'c', site: 'new' },
];
const TENANT_KEY = 'chaos-key';
const DEADLINE_MS = 5_000;
const REVISION_LOOK_MS = 200;
const OWNER_TIMEOUT_MS = 15_000;
/** Milliseconds after the load in which engines end what still runs. */
const SETTLE_MS = 300;

/** Tenants of every scenario: name, priority class and cap. */
const TENANTS = [
  { name: 'shifts', priority: 'live', maxReplicas: 2 },
  { name: 'payments', priority: 'live', maxReplicas: 1 },
  { name: 'rosters', priority: 'interactive', maxReplicas: 2 },
  { name: 'letters', priority: 'interactive', maxReplicas: 1 },
  { name: 'overnight', priority: 'batch', maxReplicas: 1 },
  { name: 'benefits', priority: 'batch', maxReplicas: 3 },
  { name: 'rare', priority: 'live', maxReplicas: 1 },
  ...Array.from({ length: 12 }, (_, index) => ({
    name: `seldom-${index}`,
    priority: 'live' as const,
    maxReplicas: 1,
  })),
] as const;
/** Tenants of the steady load: the first ones. */
const STEADY_TENANTS = 6;
const RARE_TENANT = 6;
/** Milliseconds between two requests for a seldom used tenant after the loss of an owner. */
const SELDOM_PERIOD_MS = 200;

/** What a scenario may do. */
export interface ChaosContext {
  readonly cluster: LocalCluster;
  readonly probe: ConfigurationProbe;
  readonly load: LoadGenerator;
  /** A tenant that is cold until a scenario asks for it. */
  readonly rare: LoadTenant;
  /** Applies a change and measures it at the given daemons; by default at all that run. */
  change(through?: ClusterDaemon, everywhere?: readonly ClusterDaemon[]): Promise<boolean>;
  /** The daemon that owns the pool of a zone now. */
  ownerOf(zone: string): Promise<ClusterDaemon>;
  /** Ends a daemon by SIGKILL; its callers lose their connections. */
  killDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Ends a daemon by SIGTERM and waits for it. Fails if it does not exit with 0. */
  stopDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Starts a daemon again and waits until it is ready. */
  startDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Notes the moment from which a pool has no owner. */
  ownerLost(zone: string): void;
}

/** One scenario of the fixed list. */
export interface Scenario {
  readonly name: string;
  /** Seconds of load; the fault begins with it. */
  readonly seconds: number;
  readonly act: (context: ChaosContext) => Promise<void>;
}

/** The result of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly findings: Findings;
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  /** Slowest change until it was in force everywhere, in milliseconds. */
  readonly slowestChangeMs: number | undefined;
  /** Longest time from the loss of an owner to the next load in its pool, in milliseconds. */
  readonly placementGapMs: number | undefined;
  readonly records: readonly CallerRecord[];
}

function templateDocument(): object {
  return {
    kind: 'Template',
    name: 'service',
    parameters: [{ name: 'model' }, { name: 'priority' }, { name: 'maxReplicas' }],
    service: {
      model: { name: '${model}', gigabytes: 10 },
      slots: 4,
      maxReplicas: '${maxReplicas}',
      priority: '${priority}',
      keepAlive: { idleSeconds: 1 },
    },
  };
}

function tenantDocument(tenant: (typeof TENANTS)[number], extraKey?: string): { name: string } {
  const { name, priority, maxReplicas } = tenant;
  const keyHashes = [hashKey(TENANT_KEY), ...(extraKey === undefined ? [] : [hashKey(extraKey)])];
  const parameters = { model: `model-${name}`, priority, maxReplicas };
  return { kind: 'Tenant', name, template: 'service', parameters, keyHashes } as { name: string };
}

async function declareTenants(cluster: LocalCluster, probe: ConfigurationProbe): Promise<void> {
  const [first] = cluster.daemons;
  if (first === undefined) throw new Error('a cluster has daemons');
  const client = new AdminClient(first.callers, ADMIN_KEY);
  const template = await client.put('templates', 'service', templateDocument());
  if (template.isErr) throw new Error(template.error.message);
  client.close();
  for (const tenant of TENANTS) {
    if (!(await probe.tryChange(first, cluster.daemons, tenantDocument(tenant)))) {
      throw new Error(`tenant ${tenant.name} was not accepted`);
    }
  }
}

/** Runs a scenario on a cluster of its own. */
export async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioResult> {
  const cluster = await LocalCluster.start({
    zones: ZONES,
    daemonsPerZone: 2,
    enginesPerZone: 2,
    engineFlags: ['--capacity-gb', '25', '--overhead-ms', '150', '--token-ms', '15'],
    weightStoreFlags: ['--gbps', '40', '--loads-per-second', '8'],
  });
  const probe = new ConfigurationProbe();
  try {
    return await runOn(cluster, probe, scenario, seed);
  } finally {
    probe.close();
    await cluster.stop();
  }
}

async function runOn(
  cluster: LocalCluster,
  probe: ConfigurationProbe,
  scenario: Scenario,
  seed: number,
): Promise<ScenarioResult> {
  await declareTenants(cluster, probe);
  for (const { zone } of ZONES) await findOwner(cluster, zone);
  await waitForGrants(cluster);
  const tenants = TENANTS.map(({ name }) => ({ name, key: TENANT_KEY }));
  const load = new LoadGenerator({
    daemons: cluster.daemons.map((daemon) => daemon.callers),
    tenants: tenants.slice(0, STEADY_TENANTS),
    requestsPerSecond: 30,
    seconds: scenario.seconds,
    deadlineMs: DEADLINE_MS,
    seed,
  });
  const stopped: StoppedDaemon[] = [];
  const losses: { zone: string; at: number }[] = [];
  const context = makeContext({ cluster, probe, load, tenants, stopped, losses });
  const looker = lookAtRevisions(cluster, probe);
  const loading = load.run();
  await scenario.act(context);
  const records = await loading;
  await looker.stop();
  await sleep(SETTLE_MS);
  const caps = new Map<string, number>(TENANTS.map(({ name, maxReplicas }) => [name, maxReplicas]));
  const evidence: Evidence = {
    engineEvents: cluster.engineEvents(),
    callers: records,
    caps,
    stopped,
    trials: probe.trials,
    reversions: probe.reversions,
  };
  return summarize(scenario.name, evidence, placementGap(cluster, losses));
}

function lookAtRevisions(
  cluster: LocalCluster,
  probe: ConfigurationProbe,
): { stop(): Promise<void> } {
  let running = true;
  const done = (async () => {
    while (running) {
      await Promise.race([
        Promise.all(cluster.daemons.map((daemon) => probe.look(daemon))),
        sleep(REVISION_LOOK_MS * 2),
      ]);
      await sleep(REVISION_LOOK_MS);
    }
  })();
  return {
    stop: () => {
      running = false;
      return done;
    },
  };
}

interface ContextParts {
  readonly cluster: LocalCluster;
  readonly probe: ConfigurationProbe;
  readonly load: LoadGenerator;
  readonly tenants: readonly LoadTenant[];
  readonly stopped: StoppedDaemon[];
  readonly losses: { zone: string; at: number }[];
}

function makeContext(parts: ContextParts): ChaosContext {
  const { cluster, probe, load, tenants, stopped, losses } = parts;
  let changes = 0;
  return {
    cluster,
    probe,
    load,
    rare: tenants[RARE_TENANT] ?? { name: 'rare', key: TENANT_KEY },
    change: (through, everywhere) => {
      const daemon = through ?? cluster.daemons[0];
      if (daemon === undefined) return Promise.resolve(false);
      changes += 1;
      const running = cluster.daemons.filter((candidate) => candidate.process.isRunning);
      const document = tenantDocument(
        TENANTS[changes % TENANTS.length] ?? TENANTS[0],
        `k${changes}`,
      );
      return probe.tryChange(daemon, everywhere ?? running, document);
    },
    ownerOf: (zone) => findOwner(cluster, zone),
    killDaemon: async (daemon) => {
      stopped.push({ daemon: daemon.callers, planned: false });
      await daemon.process.kill();
    },
    stopDaemon: async (daemon) => {
      stopped.push({ daemon: daemon.callers, planned: true });
      daemon.process.signal('SIGTERM');
      const status = await daemon.process.waitForExit();
      if (status.code !== 0) throw new Error(`${daemon.name} ended with code ${status.code}`);
    },
    startDaemon: async (daemon) => {
      cluster.restartDaemon(daemon);
      await cluster.waitUntilDaemonReady(daemon);
    },
    ownerLost: (zone) => {
      losses.push({ zone, at: Date.now() });
      // Cold models are asked for from now on, so that the next load shows when placement is back.
      tenants.slice(RARE_TENANT + 1).forEach((tenant, index) => {
        setTimeout(() => load.single(tenant), (index + 1) * SELDOM_PERIOD_MS);
      });
    },
  };
}

/** Asks daemons until one names a living owner; claims take a moment after a start. */
async function findOwner(cluster: LocalCluster, zone: string): Promise<ClusterDaemon> {
  let found: ClusterDaemon | undefined;
  await waitFor(`an owner of pool ${zone}`, OWNER_TIMEOUT_MS, async () => {
    for (const daemon of cluster.daemons) {
      const client = new AdminClient(daemon.callers, ADMIN_KEY);
      const status = await client.status();
      client.close();
      if (status.isErr) continue;
      const owner = status.value.pools.find((pool) => pool.pool === zone)?.owner;
      found = cluster.daemons.find((candidate) => candidate.peers === owner);
      return found?.process.isRunning ?? false;
    }
    return false;
  });
  if (found === undefined) throw new Error(`pool ${zone} has no owner`);
  return found;
}

/** Waits until every tenant has its replicas granted at every daemon. */
async function waitForGrants(cluster: LocalCluster): Promise<void> {
  for (const daemon of cluster.daemons) {
    const client = new AdminClient(daemon.callers, ADMIN_KEY);
    await waitFor('all grants', OWNER_TIMEOUT_MS, async () => {
      const status = await client.status();
      return (
        status.isOk && status.value.tenants.every((tenant) => tenant.granted === tenant.decided)
      );
    });
    client.close();
  }
}

/** From the engines' logs: the next load in the pool under a higher epoch. */
function placementGap(
  cluster: LocalCluster,
  losses: readonly { zone: string; at: number }[],
): number | undefined {
  const gaps = losses.map(({ zone, at }) => {
    const engines = cluster.engines.filter((engine) => engine.zone === zone);
    const addresses = new Set(engines.map((engine) => engine.address));
    const holds = cluster
      .engineEvents()
      .filter((event) => event.event === 'hold' && addresses.has(event.engine));
    const before = Math.max(0, ...holds.filter((h) => h.at <= at).map((h) => h.epoch ?? 0));
    const next = holds.find((hold) => hold.at > at && (hold.epoch ?? 0) > before);
    return next === undefined ? undefined : next.at - at;
  });
  const known = gaps.filter((gap) => gap !== undefined);
  return known.length === 0 ? undefined : Math.max(...known);
}

function summarize(
  name: string,
  evidence: Evidence,
  placementGapMs: number | undefined,
): ScenarioResult {
  const taken = evidence.callers.filter((call) => !wasNotTaken(call));
  const changes = evidence.trials.map((trial) => trial.inForceMs ?? Infinity);
  return {
    name,
    findings: audit(evidence),
    requests: taken.length,
    served: taken.filter((call) => call.answer.outcome === 'whole').length,
    refused: taken.filter((call) => call.answer.outcome === 'refused').length,
    slowestChangeMs: changes.length === 0 ? undefined : Math.max(...changes),
    placementGapMs,
    records: evidence.callers,
  };
}
