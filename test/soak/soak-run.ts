/** One soak: gateways as processes, stand-ins of everything else, faults drawn from a seed. */
import { mkdirSync, rmSync } from 'node:fs';
import path from 'node:path';
import { sleep } from '../../src/common/process.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import { audit } from './audit.js';
import { call, type CallRecord, type SoakRequest } from './caller.js';
import type { ConfigurationProbe, StoreFault, TimeSpan, Violation } from './evidence.js';
import { planFaults, type Fault } from './fault-plan.js';
import { GatewayProcess } from './gateway-process.js';
import { ObjectStoreStandIn } from './object-store-stand-in.js';
import { MODELS_THAT_FIT, ReplicaStandIn } from './replica-stand-in.js';
import { RunLog } from './run-log.js';
import { configurationOf, newestDropped } from './soak-configuration.js';
import { drawCaller, STEADY_TENANT } from './soak-tenants.js';
import { SeededRandom } from './seeded-random.js';

/** What to play. */
export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly gateways?: number;
  readonly requestsPerSecond?: number;
  /** Whether replicas refuse orders with too low an epoch; so by default. */
  readonly checksEpochs?: boolean;
}

/** What came of it. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  readonly faults: number;
  readonly loads: number;
  readonly storeCalls: number;
}

const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6', 'm7'];
const MODEL_REPLICAS = 4;
const PLAIN_REPLICAS = 2;
const START_MS = 3_000;
/** From the last fault's end until callers are served as before. */
const RECOVERY_MS = 9_000;
const CALM_MS = 4_000;
/** The entry sends new callers elsewhere so long after a stop was asked for. */
const ENTRY_NOTICES_MS = 2_000;
const PROBE_PERIOD_MS = 250;
/** The newest versions whose routes are probed: a quick successor must not hide a late version. */
const PROBED_VERSIONS = 4;

/** Plays one soak to its end. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const soak = new SoakRun(options);
  return soak.play();
}

class SoakRun {
  private readonly random: SeededRandom;
  private readonly store: ObjectStoreStandIn;
  private readonly log = new RunLog();
  private readonly replicas: ReplicaStandIn[] = [];
  private readonly gateways = new Map<string, GatewayProcess>();
  private readonly calls: CallRecord[] = [];
  private readonly probes: ConfigurationProbe[] = [];
  private readonly pending = new Set<Promise<void>>();
  private readonly storeFaults: StoreFault[] = [];
  private readonly replicaFaults: TimeSpan[] = [];
  private readonly accepted = new Map<number, number>();
  private version = 0;
  private sequence = 0;
  private endsAt = 0;

  constructor(private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed);
    this.store = new ObjectStoreStandIn(new SeededRandom(options.seed + 1));
  }

  async play(): Promise<SoakResult> {
    await this.start();
    const plan = planFaults(this.random, this.options.faultMs);
    const begun = Date.now() + START_MS;
    const calmSince = begun + this.options.faultMs + RECOVERY_MS;
    this.endsAt = calmSince + CALM_MS;
    for (const { at, fault } of plan) {
      setTimeout(() => this.strike(fault), begun + at - Date.now());
    }
    await sleep(START_MS);
    await Promise.all([this.sendRequests(), this.sendProbes()]);
    await Promise.all(this.pending);
    const violations = audit({
      calls: this.calls,
      probes: this.probes,
      runs: this.log.runs,
      replicaViolations: this.log.violations,
      accepted: this.accepted,
      gateways: {
        wasDisturbed: (name, { from, until }) => this.gateway(name).wasDisturbed(from, until),
        wasFrozen: (name, { from, until }) => this.gateway(name).wasFrozen(from, until),
        wasHarmed: (name, { from, until }) => this.gateway(name).wasHarmed(from, until),
        stopDuring: (name, { from, until }) => this.gateway(name).stopDuring(from, until),
      },
      storeFaults: this.storeFaults,
      replicaFaults: this.replicaFaults,
      calmSince,
      unaskedExits: [...this.gateways.values()].reduce((sum, each) => sum + each.unaskedExits, 0),
    });
    await this.stop();
    return {
      violations,
      calls: this.calls.length,
      served: this.calls.filter((each) => each.status === 200 && each.isWhole).length,
      faults: plan.length,
      loads: this.log.loads,
      storeCalls: this.store.calls,
    };
  }

  private async start(): Promise<void> {
    const { folder, gateways = 4 } = this.options;
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    await this.store.start();
    for (let index = 0; index < MODEL_REPLICAS + PLAIN_REPLICAS; index++) {
      const replica = this.makeReplica(index);
      this.replicas.push(replica);
      await replica.start();
    }
    this.changeConfiguration();
    const ports = await findFreePorts(gateways * 3);
    for (let index = 0; index < gateways; index++) {
      const [peers = 0, callers = 0, readiness = 0] = ports.splice(0, 3);
      const name = `gateway-${index}`;
      const where = { peers, callers, readiness, metrics: 0 };
      const process = new GatewayProcess({ name, folder, store: this.store.address, ports: where });
      this.gateways.set(name, process);
      process.start();
    }
  }

  private makeReplica(index: number): ReplicaStandIn {
    const { seed, checksEpochs = true } = this.options;
    const hasModels = index < MODEL_REPLICAS;
    const models = hasModels ? MODELS.slice(index, index + MODELS_THAT_FIT) : [];
    return new ReplicaStandIn({
      name: `replica-${index}`,
      service: hasModels ? 'models' : 'plain',
      models,
      hasModels,
      store: this.store,
      log: this.log,
      random: new SeededRandom(seed + 100 + index),
      checksEpochs,
    });
  }

  private async stop(): Promise<void> {
    await Promise.all([...this.gateways.values()].map((gateway) => gateway.end()));
    for (const replica of this.replicas) replica.end();
    this.store.stop();
  }

  private gateway(name: string): GatewayProcess {
    const found = this.gateways.get(name);
    if (found === undefined) throw new Error(`no gateway ${name}`);
    return found;
  }

  private changeConfiguration(): void {
    this.version += 1;
    this.store.put('config', 'main', configurationOf(this.version, MODELS));
    this.accepted.set(this.version, Date.now());
  }

  private strike(fault: Fault): void {
    switch (fault.kind) {
      case 'gateway_killed':
        for (let count = 0; count < fault.count; count++) this.anyGateway()?.kill();
        return;
      case 'gateway_frozen':
        return this.anyGateway()?.freeze(fault.milliseconds);
      case 'gateway_stopped':
        return this.anyGateway()?.stopInTurn();
      case 'store':
        return this.strikeStore(fault.condition, fault.milliseconds);
      case 'store_compacted':
        return this.store.compact();
      case 'replica_crashed':
        return this.crashReplica(fault.milliseconds);
      case 'replica_left':
        return this.replaceReplica();
      case 'replica':
        return this.strikeReplica(fault.condition, fault.milliseconds);
      case 'configuration_changed':
        return this.changeConfiguration();
    }
  }

  private anyGateway(): GatewayProcess | undefined {
    const now = Date.now();
    const untouched = [...this.gateways.values()].filter(
      (each) => !each.disturbances.some(({ until }) => until > now),
    );
    // One gateway is left alone, so that callers have somewhere to go.
    return untouched.length > 1 ? this.random.pick(untouched) : undefined;
  }

  private strikeStore(condition: ObjectStoreStandIn['condition'], milliseconds: number): void {
    if (this.store.condition !== 'sound') return;
    this.store.condition = condition;
    const fault = { from: Date.now(), until: Infinity };
    this.storeFaults.push(fault);
    setTimeout(() => {
      this.store.condition = 'sound';
      fault.until = Date.now();
    }, milliseconds);
  }

  private soundReplica(): ReplicaStandIn | undefined {
    const sound = this.replicas.filter((each) => each.isUp && each.condition === 'sound');
    return sound.length > 2 ? this.random.pick(sound) : undefined;
  }

  private strikeReplica(condition: ReplicaStandIn['condition'], milliseconds: number): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    replica.condition = condition;
    this.noteReplicaFault(milliseconds);
    setTimeout(() => (replica.condition = 'sound'), milliseconds);
  }

  private crashReplica(milliseconds: number): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    this.noteReplicaFault(milliseconds);
    replica.crash();
    setTimeout(() => void replica.start(), milliseconds);
  }

  /** The replica leaves after its notice; a new one takes its place. */
  private replaceReplica(): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    const serveMs = this.random.between(2_500, 4_000);
    this.noteReplicaFault(serveMs);
    void replica.leave(serveMs).then(() => replica.start());
  }

  private noteReplicaFault(milliseconds: number): void {
    this.replicaFaults.push({ from: Date.now(), until: Date.now() + milliseconds });
  }

  private async sendRequests(): Promise<void> {
    const { requestsPerSecond = 30 } = this.options;
    while (Date.now() < this.endsAt) {
      this.send(this.drawRequest());
      await sleep(this.random.between(0.3, 1.7) * (1_000 / requestsPerSecond));
    }
  }

  private async sendProbes(): Promise<void> {
    while (Date.now() < this.endsAt) {
      const versions = this.probedVersions();
      for (const name of this.gateways.keys()) {
        for (const version of versions) this.probe(name, version);
      }
      await sleep(PROBE_PERIOD_MS);
    }
  }

  /** The newest versions, and the newest one whose route is gone. */
  private probedVersions(): number[] {
    const newest = Array.from({ length: PROBED_VERSIONS }, (_, back) => this.version - back);
    return [...newest, newestDropped(this.version)].filter((version) => version > 0);
  }

  private probe(gateway: string, version: number): void {
    const request = this.requestOf('probe', `/plain/v${version}/x`, undefined, {}, 1_000);
    const done = call(request, gateway, this.gateway(gateway).callers).then((seen) => {
      this.probes.push({ call: seen, version });
    });
    this.track(done);
  }

  private drawRequest(): SoakRequest {
    const events = Math.ceil(this.random.between(1, 60));
    // The busy models change with time.
    const hot = Math.floor((Date.now() / 8_000) % MODELS.length);
    const model = this.random.chance(0.6) ? MODELS[hot] : this.random.pick(MODELS);
    const draw = this.random.between(0, 1);
    if (draw < 0.35) return this.requestOf('resumable', '/models/s/x', model, { events }, 6_000);
    if (draw < 0.55) return this.requestOf('stream_once', '/models/o/x', model, { events }, 6_000);
    if (draw < 0.8) return this.requestOf('once', '/plain/once/x', undefined, { events }, 1_500);
    return this.requestOf('any', '/plain/any/x', undefined, { events }, 1_500);
  }

  private requestOf(
    kind: SoakRequest['kind'],
    requestPath: string,
    model: string | undefined,
    content: Record<string, unknown>,
    deadlineMs: number,
  ): SoakRequest {
    this.sequence += 1;
    const attemptId = `a${this.options.seed}-${this.sequence}`;
    const body = JSON.stringify({ ...content, attemptId });
    const caller =
      kind === 'probe'
        ? { tenant: STEADY_TENANT, key: `${STEADY_TENANT}-key` }
        : drawCaller(this.random, this.version, Date.now());
    return { attemptId, kind, path: requestPath, model, body, deadlineMs, caller };
  }

  private send(request: SoakRequest): void {
    const now = Date.now();
    const open = [...this.gateways].filter(([, each]) => {
      const stoppedAt = each.stopDuring(now, now);
      return stoppedAt === undefined || now - stoppedAt < ENTRY_NOTICES_MS;
    });
    const [name, gateway] = this.random.pick(open) ?? [];
    if (name === undefined || gateway === undefined) return;
    this.track(
      call(request, name, gateway.callers).then((seen) => {
        this.calls.push(seen);
      }),
    );
  }

  private track(done: Promise<void>): void {
    this.pending.add(done);
    void done.finally(() => this.pending.delete(done));
  }
}

/** The folder of one soak's settings and logs. */
export function soakFolder(seed: number): string {
  return path.join('results', `soak-${seed}`);
}
