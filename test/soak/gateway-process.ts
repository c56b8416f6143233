/** One gateway of a soak: the bundle that is deployed, as a process of its own, and what was done to it. */
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { appendFileSync, closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { LIMIT_EXCESS, LIMIT_SLACK, LIMIT_WINDOW_MS, REVOCATION_MS } from './soak-tenants.js';

/** Time that a stop may take, as the platform's sheets have it. */
export const STOP_SECONDS = 8;
/** A process that starts serves after so long. */
const START_MS = 1_500;
const BUILD_FOLDER = 'target/soak';
/** The program that is deployed, built from the adapter. */
const BUNDLE = `${BUILD_FOLDER}/scaleslip-gateway.cjs`;

/** The template of the settings that are deployed, and how the program is run there. */
const DEPLOYED_SETTINGS = 'deploy/settings.json';
const DEPLOYMENT = 'deploy/system.toml';

/** Sets the handlers that the program's entry sets, at the same moment after a start, and then loads what lets a gateway fail. */
const ENTRY = 'test/soak/gateway-entry.cjs';
const SILENT_LINKS = 'test/soak/silent-links.cjs';
const SUSPENDED_CLOCK = 'test/soak/suspended-clock.cjs';
/** The variables that a process gets where it is deployed, of those that this one has. */
const DEPLOYED_VARIABLES = ['PATH', 'HOME', 'LANG'];

/** A time in which a gateway was not its own master. */
export interface Disturbance {
  readonly kind: 'killed' | 'frozen' | 'suspended' | 'stopped' | 'cut_off';
  readonly from: number;
  /** When the gateway should be over it. */
  readonly until: number;
  /** When the process ran again, or its successor started. */
  endedAt: number;
}

/** Loopback ports of one gateway. */
export interface GatewayPorts {
  readonly peers: number;
  readonly callers: number;
  readonly readiness: number;
  /** 0 for none. */
  readonly metrics: number;
}

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly name: string;
  readonly folder: string;
  readonly store: string;
  readonly ports: GatewayPorts;
  /** Whether the operator promises how soon a key that was taken away is served no more; so by default. */
  readonly promisesRevocation?: boolean;
  /** Whether replicas refuse orders of a lower epoch; so by default. */
  readonly backendsCheckEpochs?: boolean;
  /** Ports on which all gateways hear each other, if their connections are to go silent. */
  readonly silencedPorts?: readonly number[];
  /** Whether its steady clock stands still while the process does; not by default. */
  readonly isSuspendable?: boolean;
  /** Something is done to the process; called before it is. */
  readonly onStruck?: (kind: Disturbance['kind'] | 'SIGHUP' | 'SIGTERM', forMs: number) => void;
}

/** All processes that run: none may outlive a soak that is ended itself. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Builds the program as it is built where it is deployed. */
export function buildGateway(): void {
  execFileSync(process.execPath, ['scripts/build-gateway.mjs', BUILD_FOLDER]);
}

/** The policies as they are deployed: a soak plays the same product. Fails if the template has none. */
function deployedPolicies(): Record<string, boolean> {
  const template = readFileSync(DEPLOYED_SETTINGS, 'utf8');
  const [, policies = ''] = /"policies": (\{[^}]*\})/.exec(template) ?? [];
  return JSON.parse(policies) as Record<string, boolean>;
}

/** Flags of Node with which the program is run where it is deployed: the bound on its memory for one. */
function deployedFlags(): string[] {
  const [, flags = ''] = /run = "node ((?:--\S+ )*)/.exec(readFileSync(DEPLOYMENT, 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}

/** Others change the process: with NODE_EXTRA_CA_CERTS Node reads certificates for many times the rest of its start. */
function deployedVariables(): Record<string, string> {
  const named = DEPLOYED_VARIABLES.map((name) => [name, process.env[name]] as const);
  return Object.fromEntries(
    named.filter((pair): pair is [string, string] => pair[1] !== undefined),
  );
}

/** A gateway that is started again whenever it ends. */
export class GatewayProcess {
  readonly disturbances: Disturbance[] = [];
  private child: ChildProcess | undefined;
  /** Exits that nobody asked for. */
  unaskedExits = 0;
  private isExpectedToEnd = false;
  private isOver = false;

  constructor(private readonly options: GatewayProcessOptions) {
    const { name, store, ports, promisesRevocation = true, backendsCheckEpochs = true } = options;
    const settings = {
      name,
      zone: 'a',
      processorShare: 1,
      processorSpeed: 1,
      address: '127.0.0.1',
      peerPort: ports.peers,
      metricsPort: ports.metrics,
      callers: `127.0.0.1:${ports.callers}`,
      readiness: `127.0.0.1:${ports.readiness}`,
      store,
      seeds: [],
      backendsCheckEpochs,
      policies: deployedPolicies(),
      bounds: {
        stopSeconds: STOP_SECONDS,
        retryRatio: 0.2,
        retryWindowSeconds: 10,
        retrySlack: 40,
        storeLoadWindowSeconds: 5,
        storeLoadExcess: 1.1,
        ...(promisesRevocation ? { revocationMs: REVOCATION_MS } : {}),
        configurationMs: 2_000,
        limitWindowSeconds: LIMIT_WINDOW_MS / 1_000,
        limitExcess: LIMIT_EXCESS,
        limitSlack: LIMIT_SLACK,
      },
    };
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  get name(): string {
    return this.options.name;
  }

  get callers(): string {
    return `127.0.0.1:${this.options.ports.callers}`;
  }

  get metrics(): string {
    return `127.0.0.1:${this.options.ports.metrics}`;
  }

  /** "ip:port" for other gateways. */
  get peers(): string {
    return `127.0.0.1:${this.options.ports.peers}`;
  }

  /** The running process's id. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  private get settingsFile(): string {
    return path.join(this.options.folder, `${this.options.name}.json`);
  }

  private get logFile(): string {
    return path.join(this.options.folder, `${this.options.name}.log`);
  }

  start(): void {
    const log = openSync(this.logFile, 'a');
    const { silencedPorts, isSuspendable = false } = this.options;
    const links = silencedPorts === undefined ? [] : [SILENT_LINKS];
    const files = [...links, ...(isSuspendable ? [SUSPENDED_CLOCK] : []), BUNDLE];
    const child = spawn(process.execPath, [...deployedFlags(), ENTRY, ...files], {
      stdio: silencedPorts === undefined ? ['ignore', log, log] : ['ignore', log, log, 'ipc'],
      env: {
        ...deployedVariables(),
        SCALESLIP_SETTINGS: this.settingsFile,
        SOAK_PEER_PORTS: silencedPorts?.join(','),
      },
    });
    closeSync(log);
    this.child = child;
    this.isExpectedToEnd = false;
    const startedAt = Date.now();
    running.add(child);
    child.once('exit', (code, signal) => {
      running.delete(child);
      const age = Date.now() - startedAt;
      const end = `event=ended code=${code} signal=${signal} ageMs=${age}`;
      if (!this.isOver) appendFileSync(this.logFile, `time=${new Date().toISOString()} ${end}\n`);
      this.exited();
    });
    this.endDisturbances(['killed', 'stopped']);
  }

  /** Starts a process that has not run before, among others that do. */
  startLate(): void {
    const from = Date.now();
    const until = from + START_MS;
    this.disturbances.push({ kind: 'killed', from, until, endedAt: until });
    this.start();
  }

  /** Ends the process at once; it starts again by itself. */
  kill(): void {
    this.disturbed('killed', START_MS);
    this.isExpectedToEnd = true;
    this.child?.kill('SIGKILL');
  }

  /** Tells the process that its settings file has changed. */
  signalSettings(): void {
    this.signal('SIGHUP');
  }

  /** Sends a signal, which nothing excuses: SIGTERM only to a process that was asked to stop before. */
  signal(signal: 'SIGHUP' | 'SIGTERM'): void {
    this.options.onStruck?.(signal, 0);
    this.child?.kill(signal);
  }

  /** Its open connections with other gateways go silent; new ones work. */
  silenceLinks(): void {
    this.tellLinks('silence');
  }

  /** Nothing passes between it and other gateways for a time. */
  cutOff(milliseconds: number): void {
    this.disturbed('cut_off', milliseconds + 500);
    this.tellLinks('cut');
    setTimeout(() => {
      this.tellLinks('heal');
      this.endDisturbances(['cut_off']);
    }, milliseconds).unref();
  }

  private tellLinks(wanted: 'silence' | 'cut' | 'heal'): void {
    // A process that ends meanwhile needs no word.
    if (this.child?.connected === true) this.child.send(wanted, () => {});
  }

  /** Asks the process to end; it starts again by itself. */
  stopInTurn(): void {
    this.disturbed('stopped', STOP_SECONDS * 1_000 + 1_500);
    this.isExpectedToEnd = true;
    const { child } = this;
    child?.kill('SIGTERM');
    setTimeout(() => child?.kill('SIGKILL'), STOP_SECONDS * 1_000).unref();
  }

  /** Holds the process up. */
  freeze(milliseconds: number): void {
    this.standStill('frozen', milliseconds);
  }

  /** Holds the process up as a machine that is suspended does: nothing that its leases allowed may come after. */
  suspend(milliseconds: number): void {
    this.standStill('suspended', milliseconds);
  }

  private standStill(kind: 'frozen' | 'suspended', milliseconds: number): void {
    this.disturbed(kind, milliseconds + 500);
    const { child } = this;
    child?.kill('SIGSTOP');
    setTimeout(() => {
      child?.kill('SIGCONT');
      this.endDisturbances([kind]);
    }, milliseconds).unref();
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.isOver = true;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
  }

  /** Whether the process was stopped, killed, held up or started in a time. */
  wasDisturbed(from: number, until: number): boolean {
    return this.disturbances.some((each) => each.from <= until && each.endedAt >= from);
  }

  /** The same without cuts of its links. */
  wasInterrupted(from: number, until: number): boolean {
    return this.disturbances.some((each) => {
      return each.kind !== 'cut_off' && each.from <= until && each.endedAt >= from;
    });
  }

  /** Whether the process was held up for a part of a time, or its links healed in it. */
  wasJustFreed(from: number, until: number): boolean {
    return this.disturbances.some((each) => {
      if (each.kind === 'frozen') return each.from <= until && each.endedAt >= from;
      return each.kind === 'cut_off' && each.endedAt >= from && each.endedAt <= until;
    });
  }

  /** Whether something was done to the process in a time, other than a planned stop. */
  wasHarmed(from: number, until: number): boolean {
    return this.disturbances.some(
      (each) => each.kind !== 'stopped' && each.from <= until && each.until >= from,
    );
  }

  /** When the process was asked to stop while a request was under way; undefined if it was not. */
  stopDuring(from: number, until: number): number | undefined {
    const stop = this.disturbances.find(
      (each) => each.kind === 'stopped' && each.from <= until && each.until >= from,
    );
    return stop?.from;
  }

  private disturbed(kind: Disturbance['kind'], milliseconds: number): void {
    this.options.onStruck?.(kind, milliseconds);
    const from = Date.now();
    this.disturbances.push({ kind, from, until: from + milliseconds, endedAt: Infinity });
  }

  private endDisturbances(kinds: readonly Disturbance['kind'][]): void {
    for (const each of this.disturbances) {
      if (kinds.includes(each.kind)) each.endedAt = Math.min(each.endedAt, Date.now());
    }
  }

  private exited(): void {
    if (this.isOver) return;
    if (!this.isExpectedToEnd) this.unaskedExits += 1;
    setTimeout(() => {
      if (!this.isOver) this.start();
    }, 150);
  }
}
