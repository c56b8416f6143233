/** Runs one scenario: loads a cluster, injects a fault, and audits the logs and records. */
import { AdminClient } from '../client/admin-client.js';
import { sleep } from '../common/process.js';
import { hashKey } from '../core/admission/api-keys.js';
import { ADMIN_KEY, LocalCluster, waitFor, type ClusterDaemon } from '../testbed/local-cluster.js';
import {
  audit,
  wasConnectionRefused,
  type CallerRecord,
  type AuditEvidence,
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
const REVISION_POLL_MS = 200;
const STARTUP_TIMEOUT_MS = 15_000;
/** Milliseconds after the load in which the engines finish their running requests. */
const SETTLE_MS = 300;

/** Tenants of every scenario: name, priority class and replica limit. */
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
/** The steady load uses this many tenants from the start of the list. */
const STEADY_TENANT_COUNT = 6;
const RARE_TENANT_INDEX = 6;
/** Milliseconds between the requests for cold tenants after the loss of an owner. */
const COLD_REQUEST_INTERVAL_MS = 200;

/** The operations that a scenario may use to inject its fault. */
export interface ChaosContext {
  readonly cluster: LocalCluster;
  readonly probe: ConfigurationProbe;
  readonly load: LoadGenerator;
  /** A tenant whose model is cold until the scenario sends requests for it. */
  readonly coldTenant: LoadTenant;
  /**
   * Applies a configuration change and measures when it is in force at `targets`, by default
   * at all running daemons. Resolves with false if the change was not accepted.
   */
  applyChange(via?: ClusterDaemon, targets?: readonly ClusterDaemon[]): Promise<boolean>;
  /** Returns the daemon that currently owns the pool of a zone. */
  ownerOf(zone: string): Promise<ClusterDaemon>;
  /** Kills a daemon with SIGKILL; its callers lose their connections. */
  killDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Stops a daemon with SIGTERM and waits for its exit. Throws if the exit code is not 0. */
  stopDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Starts a daemon again and waits until it is ready. */
  startDaemon(daemon: ClusterDaemon): Promise<void>;
  /** Records that a pool loses its owner now, and schedules requests for cold tenants. */
  recordOwnerLoss(zone: string): void;
}

/** One failure scenario. */
export interface Scenario {
  readonly name: string;
  /** Seconds of load; `injectFault` starts at the same time. */
  readonly seconds: number;
  /** Injects the fault. */
  readonly injectFault: (context: ChaosContext) => Promise<void>;
}

/** The audit and the measurements of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly findings: Findings;
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  /** Longest time until a change was in force at all its targets, in milliseconds. */
  readonly slowestChangeMs: number | undefined;
  /** Longest time from the loss of an owner to the next model load in its pool, in milliseconds. */
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
  if (first === undefined) throw new Error('the cluster has no daemon');
  const client = new AdminClient(first.callers, ADMIN_KEY);
  const template = await client.put('templates', 'service', templateDocument());
  if (template.isErr) throw new Error(template.error.message);
  client.close();
  for (const tenant of TENANTS) {
    if (!(await probe.applyAndMeasure(first, cluster.daemons, tenantDocument(tenant)))) {
      throw new Error(`tenant ${tenant.name} was not accepted`);
    }
  }
}

/** Starts a cluster, runs the scenario on it with a seeded load, and stops the cluster. */
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
    return await runOnCluster(cluster, probe, scenario, seed);
  } finally {
    probe.close();
    await cluster.stop();
  }
}

async function runOnCluster(
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
    tenants: tenants.slice(0, STEADY_TENANT_COUNT),
    requestsPerSecond: 30,
    seconds: scenario.seconds,
    deadlineMs: DEADLINE_MS,
    seed,
  });
  const stopped: StoppedDaemon[] = [];
  const ownerLosses: { zone: string; at: number }[] = [];
  const context = makeContext({ cluster, probe, load, tenants, stopped, ownerLosses });
  const revisionPoller = pollRevisions(cluster, probe);
  const loadDone = load.run();
  await scenario.injectFault(context);
  const records = await loadDone;
  await revisionPoller.stop();
  await sleep(SETTLE_MS);
  const caps = new Map<string, number>(TENANTS.map(({ name, maxReplicas }) => [name, maxReplicas]));
  const evidence: AuditEvidence = {
    engineEvents: cluster.engineEvents(),
    callers: records,
    maxDecidedReplicas: caps,
    stopped,
    changeRecords: probe.changeRecords,
    reversions: probe.reversions,
  };
  return summarize(scenario.name, evidence, placementGap(cluster, ownerLosses));
}

function pollRevisions(
  cluster: LocalCluster,
  probe: ConfigurationProbe,
): { stop(): Promise<void> } {
  let polling = true;
  const done = (async () => {
    while (polling) {
      await Promise.race([
        Promise.all(cluster.daemons.map((daemon) => probe.readRevision(daemon))),
        sleep(REVISION_POLL_MS * 2),
      ]);
      await sleep(REVISION_POLL_MS);
    }
  })();
  return {
    stop: () => {
      polling = false;
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
  readonly ownerLosses: { zone: string; at: number }[];
}

function makeContext(parts: ContextParts): ChaosContext {
  const { cluster, probe, load, tenants, stopped, ownerLosses } = parts;
  let changeCount = 0;
  return {
    cluster,
    probe,
    load,
    coldTenant: tenants[RARE_TENANT_INDEX] ?? { name: 'rare', key: TENANT_KEY },
    applyChange: (via, targets) => {
      const daemon = via ?? cluster.daemons[0];
      if (daemon === undefined) return Promise.resolve(false);
      changeCount += 1;
      const runningDaemons = cluster.daemons.filter((candidate) => candidate.process.isRunning);
      const document = tenantDocument(
        TENANTS[changeCount % TENANTS.length] ?? TENANTS[0],
        `k${changeCount}`,
      );
      return probe.applyAndMeasure(daemon, targets ?? runningDaemons, document);
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
      if (status.code !== 0)
        throw new Error(`${daemon.name} exited with code ${status.code} after SIGTERM`);
    },
    startDaemon: async (daemon) => {
      cluster.restartDaemon(daemon);
      await cluster.waitUntilDaemonReady(daemon);
    },
    recordOwnerLoss: (zone) => {
      ownerLosses.push({ zone, at: Date.now() });
      // Requests for cold tenants require model loads, which show when placement works again.
      tenants.slice(RARE_TENANT_INDEX + 1).forEach((tenant, index) => {
        setTimeout(() => load.sendOne(tenant), (index + 1) * COLD_REQUEST_INTERVAL_MS);
      });
    },
  };
}

/**
 * Queries the daemons until one reports an owner that is running. After a start, it takes
 * some time until a daemon has claimed the pool.
 */
async function findOwner(cluster: LocalCluster, zone: string): Promise<ClusterDaemon> {
  let found: ClusterDaemon | undefined;
  await waitFor(`an owner of pool ${zone}`, STARTUP_TIMEOUT_MS, async () => {
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

/** Waits until every daemon reports all decided replicas of every tenant as granted. */
async function waitForGrants(cluster: LocalCluster): Promise<void> {
  for (const daemon of cluster.daemons) {
    const client = new AdminClient(daemon.callers, ADMIN_KEY);
    await waitFor('all replicas to be granted', STARTUP_TIMEOUT_MS, async () => {
      const status = await client.status();
      return (
        status.isOk && status.value.tenants.every((tenant) => tenant.granted === tenant.decided)
      );
    });
    client.close();
  }
}

/**
 * Returns the longest time in milliseconds from the loss of an owner to the next model load
 * in its pool under a higher epoch, from the engine logs; undefined if there was none.
 */
function placementGap(
  cluster: LocalCluster,
  ownerLosses: readonly { zone: string; at: number }[],
): number | undefined {
  const gaps = ownerLosses.map(({ zone, at }) => {
    const engines = cluster.engines.filter((engine) => engine.zone === zone);
    const addresses = new Set(engines.map((engine) => engine.address));
    const holds = cluster
      .engineEvents()
      .filter((event) => event.event === 'hold' && addresses.has(event.engine));
    const epochBeforeLoss = Math.max(
      0,
      ...holds.filter((hold) => hold.at <= at).map((hold) => hold.epoch ?? 0),
    );
    const next = holds.find((hold) => hold.at > at && (hold.epoch ?? 0) > epochBeforeLoss);
    return next === undefined ? undefined : next.at - at;
  });
  const measuredGaps = gaps.filter((gap) => gap !== undefined);
  return measuredGaps.length === 0 ? undefined : Math.max(...measuredGaps);
}

function summarize(
  name: string,
  evidence: AuditEvidence,
  placementGapMs: number | undefined,
): ScenarioResult {
  const accepted = evidence.callers.filter((call) => !wasConnectionRefused(call));
  const changeDurationsMs = evidence.changeRecords.map((trial) => trial.inForceMs ?? Infinity);
  return {
    name,
    findings: audit(evidence),
    requests: accepted.length,
    served: accepted.filter((call) => call.answer.outcome === 'whole').length,
    refused: accepted.filter((call) => call.answer.outcome === 'refused').length,
    slowestChangeMs: changeDurationsMs.length === 0 ? undefined : Math.max(...changeDurationsMs),
    placementGapMs,
    records: evidence.callers,
  };
}
