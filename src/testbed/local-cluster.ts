/**
 * Runs a whole system on loopback as separate processes: stand-ins of the platform,
 * the weight store and the engines, and real daemons. Used by the demonstration,
 * the failure tests and the benchmarks.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { HttpClient, parseJson } from '../common/http-client.js';
import { sleep } from '../common/process.js';
import { hashKey } from '../core/admission/api-keys.js';
import type { EngineReport } from '../engines/engine-client.js';
import type { Machine } from '../platform/platform-client.js';
import type { EngineFaults, EngineLogEvent } from '../standin/engine-stand-in-options.js';
import type { PlatformFaults } from '../standin/platform-stand-in.js';
import { findFreePorts } from './free-ports.js';
import { ManagedProcess } from './managed-process.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 5_000;
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 25;
/** Milliseconds between attempts to remove a folder in which a process that is being killed may still create a file. */
const REMOVAL_RETRY_MS = 50;
const REMOVAL_RETRIES = 5;

/** Folders of the running clusters: removed when this program exits, after `managed-process.ts`, imported above, has killed its processes. */
const folders = new Set<string>();
process.once('exit', () => {
  for (const folder of folders) removeFolder(folder);
});

/** The administration key of local clusters. */
export const ADMIN_KEY = 'admin-key';

/** The zones, process counts and flags of a cluster. */
export interface ClusterOptions {
  /** Each zone has one pool, which has the zone's name. */
  readonly zones: readonly { readonly zone: string; readonly site: string }[];
  readonly daemonsPerZone: number;
  readonly enginesPerZone: number;
  readonly engineFlags?: readonly string[];
  readonly weightStoreFlags?: readonly string[];
  readonly extraSettings?: object;
}

/** A daemon's location, addresses, settings file and process. */
export interface ClusterDaemon {
  readonly name: string;
  readonly zone: string;
  readonly site: string;
  /** The address for callers, as `ip:port`. */
  readonly callers: string;
  /** The address for other daemons, as `ip:port`. */
  readonly peers: string;
  readonly settingsFile: string;
  process: ManagedProcess;
}

/** An engine's location, address, event log and process. */
export interface ClusterEngine {
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  readonly logFile: string;
  process: ManagedProcess;
}

/** A running cluster. */
export class LocalCluster {
  readonly directory = mkdtempSync(path.join(tmpdir(), 'scaleslip-'));
  readonly daemons: ClusterDaemon[] = [];
  readonly engines: ClusterEngine[] = [];
  platformAddress = '';
  weightStoreAddress = '';
  private readonly standIns: ManagedProcess[] = [];
  private readonly http = new HttpClient();
  private readonly unlistedMachines = new Set<string>();
  private readonly leavingMachines = new Set<string>();

  private constructor(private readonly shape: ClusterOptions) {
    folders.add(this.directory);
  }

  /** Starts all processes and waits until every daemon is ready. */
  static async start(shape: ClusterOptions): Promise<LocalCluster> {
    const cluster = new LocalCluster(shape);
    try {
      await cluster.startStandIns();
      await cluster.startDaemons();
      await cluster.waitUntilReady();
    } catch (fault) {
      await cluster.stop();
      throw fault;
    }
    return cluster;
  }

  /** Kills every process of the cluster and removes the cluster's files. */
  async stop(): Promise<void> {
    const all = [
      ...this.daemons.map((daemon) => daemon.process),
      ...this.engines.map((engine) => engine.process),
      ...this.standIns,
    ];
    for (const process of all) process.signal('SIGCONT');
    await Promise.all(all.map((process) => process.kill()));
    this.http.close();
    removeFolder(this.directory);
    folders.delete(this.directory);
  }

  /** Starts a daemon's process again after it has exited. */
  restartDaemon(daemon: ClusterDaemon): void {
    daemon.process = this.spawnDaemon(daemon.name, daemon.settingsFile);
  }

  /** Starts an engine's process again after it has exited. */
  restartEngine(engine: ClusterEngine): void {
    engine.process = this.spawnEngine(engine.address, engine.logFile);
  }

  /** The standard output and error of the process with this name. */
  readLog(name: string): string {
    return readFileSync(this.logFile(name), 'utf8');
  }

  /** The events in the logs of all engines, sorted by time. */
  engineEvents(): EngineLogEvent[] {
    const events = this.engines.flatMap((engine) => readEvents(engine.logFile));
    return events.sort((a, b) => a.at - b.at);
  }

  /** Sets the given fault switches of the platform; the others stay as they are. */
  async setPlatformFaults(faults: Partial<PlatformFaults>): Promise<void> {
    await this.post(this.platformAddress, '/control/faults', faults);
  }

  /** Stalls or resumes all transfers of the weight store. */
  async setWeightStoreStalled(stalled: boolean): Promise<void> {
    await this.post(this.weightStoreAddress, '/control/faults', { stalled });
  }

  /** Sets the given fault switches of an engine; the others stay as they are. */
  async setEngineFaults(engine: ClusterEngine, faults: Partial<EngineFaults>): Promise<void> {
    await this.post(engine.address, '/control/faults', faults);
  }

  /** Notifies an engine that its machine is about to be reclaimed. */
  async announceLeaving(engine: ClusterEngine): Promise<void> {
    await this.post(engine.address, '/control/leave', {});
  }

  /** Drops a daemon's traffic to the `outbound` addresses and from the `inbound` addresses. */
  async setLinkFaults(
    daemon: ClusterDaemon,
    outbound: readonly string[],
    inbound: readonly string[],
  ): Promise<void> {
    await this.post(daemon.callers, '/debug/links', { outbound, inbound });
  }

  /** Removes the `absent` machines from the platform's list and marks others as leaving. */
  async setMachineStates(absent: readonly string[], leaving: readonly string[]): Promise<void> {
    this.unlistedMachines.clear();
    this.leavingMachines.clear();
    for (const address of absent) this.unlistedMachines.add(address);
    for (const address of leaving) this.leavingMachines.add(address);
    await this.publishMachines();
  }

  /** Reads an engine's status report. */
  async engineStatus(engine: ClusterEngine): Promise<EngineReport> {
    const request = { address: engine.address, path: '/status', timeoutMs: CALL_TIMEOUT_MS };
    const answer = await this.http.send({ method: 'GET', ...request });
    if (answer.isErr) throw new Error(answer.error.message);
    return parseJson(answer.value.body).unwrapOr({}) as EngineReport;
  }

  /** Number of calls that the platform has received, by method and first path segment. */
  async platformCalls(): Promise<Readonly<Record<string, number>>> {
    const body = await this.post(this.platformAddress, '/control/counts', {});
    return (body as { calls: Record<string, number> }).calls;
  }

  /** Waits until the daemon reports that it is ready for requests. */
  async waitUntilDaemonReady(daemon: ClusterDaemon): Promise<void> {
    await waitFor(`${daemon.name} to be ready`, READY_TIMEOUT_MS, async () => {
      const request = { address: daemon.callers, path: '/readyz', timeoutMs: 500 };
      const answer = await this.http.send({ method: 'GET', ...request });
      return answer.isOk && answer.value.status === 200;
    });
  }

  private async waitUntilReady(): Promise<void> {
    for (const daemon of this.daemons) await this.waitUntilDaemonReady(daemon);
  }

  private async startStandIns(): Promise<void> {
    const { zones, enginesPerZone } = this.shape;
    const ports = await findFreePorts(2 + zones.length * enginesPerZone);
    const [platformPort = 0, storePort = 0, ...enginePorts] = ports;
    this.platformAddress = `${HOST}:${platformPort}`;
    this.weightStoreAddress = `${HOST}:${storePort}`;
    this.standIns.push(
      this.spawnStandIn('platform', ['platform', '--port', String(platformPort)]),
      this.spawnStandIn('weight-store', [
        'weight-store',
        '--port',
        String(storePort),
        ...(this.shape.weightStoreFlags ?? []),
      ]),
    );
    for (const { zone, site } of zones) {
      for (let index = 0; index < enginesPerZone; index++) {
        const address = `${HOST}:${enginePorts.shift() ?? 0}`;
        const logFile = path.join(this.directory, `engine-${zone}-${index}.jsonl`);
        writeFileSync(logFile, '');
        const process = this.spawnEngine(address, logFile);
        this.engines.push({ address, zone, site, logFile, process });
      }
    }
    await this.waitUntilReachable(this.platformAddress);
    for (const engine of this.engines) await this.waitUntilReachable(engine.address);
  }

  private async startDaemons(): Promise<void> {
    const { zones, daemonsPerZone } = this.shape;
    const ports = await findFreePorts(2 * zones.length * daemonsPerZone);
    for (const { zone, site } of zones) {
      for (let index = 0; index < daemonsPerZone; index++) {
        const [callerPort = 0, peerPort = 0] = ports.splice(0, 2);
        const name = `daemon-${zone}-${index}`;
        const settingsFile = this.writeSettings({ name, zone, site, callerPort, peerPort });
        this.daemons.push({
          name,
          zone,
          site,
          callers: `${HOST}:${callerPort}`,
          peers: `${HOST}:${peerPort}`,
          settingsFile,
          process: this.spawnDaemon(name, settingsFile),
        });
      }
    }
    await this.publishMachines();
  }

  private writeSettings(place: {
    name: string;
    zone: string;
    site: string;
    callerPort: number;
    peerPort: number;
  }): string {
    const file = path.join(this.directory, `${place.name}.yaml`);
    const settings = {
      ...place,
      address: HOST,
      platform: this.platformAddress,
      adminKeyHashes: [hashKey(ADMIN_KEY)],
      faultInjection: true,
      ...this.shape.extraSettings,
    };
    writeFileSync(file, stringify(settings));
    return file;
  }

  private async publishMachines(): Promise<void> {
    const daemons = this.daemons.map((daemon) =>
      this.machineOf(daemon.peers, 'daemon', daemon, ''),
    );
    const engines = this.engines.map((engine) =>
      this.machineOf(engine.address, 'engine', engine, engine.zone),
    );
    const listed = [...daemons, ...engines].filter(
      (machine) => !this.unlistedMachines.has(machine.address),
    );
    await this.post(this.platformAddress, '/control/machines', listed);
  }

  private machineOf(
    address: string,
    kind: Machine['kind'],
    place: { readonly zone: string; readonly site: string },
    pool: string,
  ): Machine {
    const { zone, site } = place;
    const state = this.leavingMachines.has(address) ? 'leaving' : 'live';
    return { address, kind, zone, site, pool, state };
  }

  private async waitUntilReachable(address: string): Promise<void> {
    await waitFor(`${address} to be reachable`, READY_TIMEOUT_MS, async () => {
      const request = { address, path: '/control/counts', timeoutMs: 500 };
      const answer = await this.http.send({ method: 'POST', ...request, body: {} });
      return answer.isOk;
    });
  }

  private async post(address: string, target: string, body: unknown): Promise<unknown> {
    const request = { address, path: target, body, timeoutMs: CALL_TIMEOUT_MS };
    const answer = await this.http.send({ method: 'POST', ...request });
    if (answer.isErr) throw new Error(`${address}${target}: ${answer.error.message}`);
    return parseJson(answer.value.body).unwrapOr({});
  }

  private logFile(name: string): string {
    return path.join(this.directory, `${name}.log`);
  }

  private spawnStandIn(name: string, args: readonly string[]): ManagedProcess {
    return new ManagedProcess(name, scriptPath('../standin/main.js'), args, this.logFile(name));
  }

  private spawnEngine(address: string, logFile: string): ManagedProcess {
    const port = address.split(':')[1] ?? '0';
    const flags = ['--port', port, '--weight-store', this.weightStoreAddress, '--log', logFile];
    return this.spawnStandIn(`engine-${port}`, [
      'engine',
      ...flags,
      ...(this.shape.engineFlags ?? []),
    ]);
  }

  private spawnDaemon(name: string, settingsFile: string): ManagedProcess {
    const args = ['daemon', '--settings', settingsFile];
    return new ManagedProcess(name, scriptPath('../cli/main.js'), args, this.logFile(name));
  }
}

/** Polls a condition until it is true; throws after `timeoutMs`. */
export async function waitFor(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<void> {
  const timeoutAt = Date.now() + timeoutMs;
  while (Date.now() < timeoutAt) {
    if (await condition()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}`);
}

/** Returns the path of a compiled program, also when a test loads this module from its source. */
function scriptPath(relative: string): string {
  const built = import.meta.url.replace('/src/testbed/', '/dist/testbed/');
  return fileURLToPath(new URL(relative, built));
}

function removeFolder(folder: string): void {
  const retries = { maxRetries: REMOVAL_RETRIES, retryDelay: REMOVAL_RETRY_MS };
  rmSync(folder, { recursive: true, force: true, ...retries });
}

function readEvents(file: string): EngineLogEvent[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as EngineLogEvent);
}
