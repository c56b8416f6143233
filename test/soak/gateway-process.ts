/** One gateway of a soak: runs the deployed bundle as a child process and records its faults. */
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { appendFileSync, closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { catchesSignal, type ProcessExit, type SentSignal } from './process-signals.js';
import { LIMIT_EXCESS, LIMIT_SLACK, LIMIT_WINDOW_MS, REVOCATION_MS } from './soak-tenants.js';

/** Longest time for a stop, as documented by the platform. */
export const STOP_SECONDS = 8;
/** Time from the start of a process until it serves. */
const START_MS = 1_500;
/** Time from the exit of a process until the next one is started. */
const RESTART_DELAY_MS = 150;
const BUILD_FOLDER = 'target/soak';
/** The deployed program, built from the adapter. */
const BUNDLE = `${BUILD_FOLDER}/scaleslip-gateway.cjs`;

/** Template of the deployed settings, and the command line of the deployed program. */
const DEPLOYED_SETTINGS = 'deploy/settings.json';
const DEPLOYMENT = 'deploy/system.toml';

/** Installs the signal handlers as early as the entry of the program does, then loads the fault modules and the program. */
const ENTRY = 'test/soak/gateway-entry.cjs';
const SILENT_LINKS = 'test/soak/silent-links.cjs';
const PARTITIONED_BACKENDS = 'test/soak/partitioned-backends.cjs';
const SUSPENDED_CLOCK = 'test/soak/suspended-clock.cjs';
/** Variables of this process that a deployed process has too. */
const DEPLOYED_VARIABLES = ['PATH', 'HOME', 'LANG'];

/** A signal that must not cut a request: SIGHUP notifies of changed settings, the others ask for a stop. */
export type GatewaySignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/** A span in which a gateway was stopped, killed, paused, starting or cut off. */
export interface Disturbance {
  readonly kind: 'killed' | 'frozen' | 'suspended' | 'stopped' | 'paused_at_stop' | 'cut_off';
  readonly from: number;
  /** When the gateway should have recovered. */
  readonly until: number;
  /** When the disturbance ended: the process resumed, its links were restored, or its successor started. */
  endedAt: number;
}

/** Kinds of disturbance through which a process must complete the requests that it has. */
const PLANNED_KINDS: ReadonlySet<Disturbance['kind']> = new Set(['stopped', 'paused_at_stop']);

/** What happens to a partitioned gateway's connections to replicas: open ones and new ones. */
export type BackendCut = 'hang' | 'reset' | 'refuse';

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
  /** Whether the settings bound how long a removed key is still served; true by default. */
  readonly promisesRevocation?: boolean;
  /** Whether replicas reject orders of a lower epoch; true by default. */
  readonly backendsCheckEpochs?: boolean;
  /** Ports on which gateways listen for each other; set if their connections may be silenced. */
  readonly silencedPorts?: readonly number[];
  /** All ports to which gateways connect that are not replicas; set if the gateway may be partitioned from replicas. */
  readonly otherPorts?: readonly number[];
  /** Whether its monotonic clock stops while the process is paused; false by default. */
  readonly isSuspendable?: boolean;
  /**
   * Time for which each new process is stopped before its first instruction, like on a machine without a free processor;
   * 0 by default. It excuses nothing.
   */
  readonly startHoldMs?: number;
  /** Called before a fault or signal is injected into the process. */
  readonly onFault?: (kind: Disturbance['kind'] | GatewaySignal, forMs: number) => void;
  /** Called after a signal was sent, other than SIGKILL, SIGSTOP and SIGCONT. */
  readonly onSignalSent?: (sent: SentSignal) => void;
}

/** All running children: killed when the soak process exits, so that none outlives it. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Builds the program as for deployment. */
export function buildGateway(): void {
  execFileSync(process.execPath, ['scripts/build-gateway.mjs', BUILD_FOLDER]);
}

/** The deployed policies, so that a soak tests the same product. Throws if the template has none. */
function deployedPolicies(): Record<string, boolean> {
  const template = readFileSync(DEPLOYED_SETTINGS, 'utf8');
  const [, policies = ''] = /"policies": (\{[^}]*\})/.exec(template) ?? [];
  return JSON.parse(policies) as Record<string, boolean>;
}

/** Node flags of the deployed program, such as the memory limit. */
function deployedFlags(): string[] {
  const [, flags = ''] = /run = "node ((?:--\S+ )*)/.exec(readFileSync(DEPLOYMENT, 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}

/** Other variables alter the process: with NODE_EXTRA_CA_CERTS, reading certificates takes Node many times the rest of its start. */
function deployedVariables(): Record<string, string> {
  const named = DEPLOYED_VARIABLES.map((name) => [name, process.env[name]] as const);
  return Object.fromEntries(
    named.filter((pair): pair is [string, string] => pair[1] !== undefined),
  );
}

/** A gateway that is restarted whenever its process exits. */
export class GatewayProcess {
  readonly disturbances: Disturbance[] = [];
  /** How its processes ended, in order, except for the last one. */
  readonly exits: ProcessExit[] = [];
  /** Signals that were sent to its processes, in order, other than SIGKILL, SIGSTOP and SIGCONT. */
  readonly sentSignals: SentSignal[] = [];
  /** Whether its machine was lost for good. */
  isGone = false;
  private child: ChildProcess | undefined;
  /** When the current process was started, in Unix milliseconds. */
  private startedAt = 0;
  private isExpectedToEnd = false;
  private backendCut: BackendCut | undefined;
  private isEnded = false;

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

  /** Number of exits that no fault or stop of the soak caused. */
  get unexpectedExits(): number {
    return this.exits.filter(({ isExpected }) => !isExpected).length;
  }

  /** Id of the current process. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  private get settingsFile(): string {
    return path.join(this.options.folder, `${this.options.name}.json`);
  }

  private get logFile(): string {
    return path.join(this.options.folder, `${this.options.name}.log`);
  }

  /** Lines of its log about messages that it could not encode, and so did not send. */
  unencodedMessages(): string[] {
    return this.linesWith(/ event=message_not_encoded /);
  }

  /** Lines of its log about unexpected exceptions. */
  unexpectedFaults(): string[] {
    return this.linesWith(/ event=\w+_fault /);
  }

  /** Lines of its log about backups of requests whose replicas were silent as well. */
  silentBackups(): string[] {
    return this.linesWith(/ event=backup_backend_silent /);
  }

  private linesWith(pattern: RegExp): string[] {
    const lines = readFileSync(this.logFile, 'utf8').split('\n');
    return lines.filter((line) => pattern.test(line));
  }

  start(): void {
    const log = openSync(this.logFile, 'a');
    const { silencedPorts, otherPorts, isSuspendable = false } = this.options;
    const links = silencedPorts === undefined ? [] : [SILENT_LINKS];
    if (otherPorts !== undefined) links.push(PARTITIONED_BACKENDS);
    const files = [...links, ...(isSuspendable ? [SUSPENDED_CLOCK] : []), BUNDLE];
    const child = spawn(process.execPath, [...deployedFlags(), ENTRY, ...files], {
      stdio: links.length === 0 ? ['ignore', log, log] : ['ignore', log, log, 'ipc'],
      env: {
        ...deployedVariables(),
        SCALESLIP_SETTINGS: this.settingsFile,
        SOAK_PEER_PORTS: silencedPorts?.join(','),
        SOAK_OTHER_PORTS: otherPorts?.join(','),
      },
    });
    closeSync(log);
    this.child = child;
    this.isExpectedToEnd = false;
    this.startedAt = Date.now();
    running.add(child);
    child.once('exit', (code, signal) => {
      running.delete(child);
      if (!this.isEnded) this.handleExit(code, signal);
    });
    this.holdStart(child);
    this.endDisturbances(['killed', 'stopped']);
    if (this.backendCut !== undefined) this.sendLinkCommand(`backends:${this.backendCut}`);
  }

  /** Starts a gateway for the first time while others already run. */
  startLate(): void {
    const from = Date.now();
    const until = from + START_MS;
    this.disturbances.push({ kind: 'killed', from, until, endedAt: until });
    this.start();
  }

  /** Kills the process; it is restarted automatically. */
  kill(): void {
    this.recordDisturbance('killed', START_MS);
    this.isExpectedToEnd = true;
    this.child?.kill('SIGKILL');
  }

  /** Sends SIGHUP, which notifies the process that its settings file has changed. */
  signalSettingsChange(): void {
    this.signal('SIGHUP');
  }

  /** Sends a signal without excusing any failure; SIGTERM and SIGINT only to a process that is already stopping. */
  signal(signal: GatewaySignal): void {
    this.options.onFault?.(signal, 0);
    this.sendSignal(signal);
  }

  private sendSignal(signal: GatewaySignal): void {
    const { child } = this;
    const isRunning = child?.exitCode === null && child.signalCode === null;
    const sent: SentSignal = {
      gateway: this.name,
      signal,
      pid: isRunning ? child.pid : undefined,
      ageMs: Date.now() - this.startedAt,
      wasCaught: isRunning && catchesSignal(child.pid ?? 0, signal),
    };
    child?.kill(signal);
    this.sentSignals.push(sent);
    this.options.onSignalSent?.(sent);
  }

  /** Silences its open connections with other gateways; new connections work. */
  silenceLinks(): void {
    this.sendLinkCommand('silence');
  }

  /** Cuts all traffic with other gateways for a time. */
  cutOff(milliseconds: number): void {
    this.recordDisturbance('cut_off', milliseconds + 500);
    this.sendLinkCommand('cut');
    setTimeout(() => {
      this.sendLinkCommand('heal');
      this.endDisturbances(['cut_off']);
    }, milliseconds).unref();
  }

  /**
   * Partitions it from all replicas, also across restarts, until {@link healBackends}. This excuses nothing: callers, the
   * store and the other gateways still reach it.
   */
  cutBackends(how: BackendCut): void {
    this.backendCut = how;
    this.sendLinkCommand(`backends:${how}`);
  }

  healBackends(): void {
    this.backendCut = undefined;
    this.sendLinkCommand('backends:heal');
  }

  private sendLinkCommand(
    command: 'silence' | 'cut' | 'heal' | `backends:${BackendCut | 'heal'}`,
  ): void {
    // A process that is already down needs no command.
    if (this.child?.connected === true) this.child.send(command, () => {});
  }

  /** Stops the process gracefully, and kills it after STOP_SECONDS; it is restarted automatically. */
  stopGracefully(signal: 'SIGTERM' | 'SIGINT' = 'SIGTERM'): void {
    this.recordDisturbance('stopped', STOP_SECONDS * 1_000 + 1_500);
    this.isExpectedToEnd = true;
    const { child } = this;
    this.sendSignal(signal);
    setTimeout(() => child?.kill('SIGKILL'), STOP_SECONDS * 1_000).unref();
  }

  /** Pauses the process with SIGSTOP for a time. */
  freeze(milliseconds: number): void {
    this.pause('frozen', milliseconds);
  }

  /** Pauses the process like a suspended machine: when it resumes, it must not use leases from before. */
  suspend(milliseconds: number): void {
    this.pause('suspended', milliseconds);
  }

  /**
   * Pauses a stopping process for a time, like one that gets no processor. This excuses only what ends late by no more than
   * the pause.
   */
  pauseWhileStopping(milliseconds: number): void {
    this.pause('paused_at_stop', milliseconds);
  }

  private holdStart(child: ChildProcess): void {
    const { startHoldMs = 0 } = this.options;
    if (startHoldMs === 0) return;
    child.kill('SIGSTOP');
    setTimeout(() => child.kill('SIGCONT'), startHoldMs).unref();
  }

  private pause(kind: 'frozen' | 'suspended' | 'paused_at_stop', milliseconds: number): void {
    this.recordDisturbance(kind, milliseconds + 500);
    const { child } = this;
    child?.kill('SIGSTOP');
    setTimeout(() => {
      child?.kill('SIGCONT');
      this.endDisturbances([kind]);
    }, milliseconds).unref();
  }

  /** Kills the process for good: its machine is lost. */
  loseForGood(): void {
    this.recordDisturbance('killed', Infinity);
    this.isGone = true;
    void this.end();
  }

  /** Kills the process without a restart. */
  async end(): Promise<void> {
    this.isEnded = true;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
  }

  /** Whether the process was stopped, killed, paused, started or cut off in a span. */
  wasDisturbed(from: number, until: number): boolean {
    return this.disturbances.some((each) => each.from <= until && each.endedAt >= from);
  }

  /** The same without network cuts. */
  wasInterrupted(from: number, until: number): boolean {
    return this.disturbances.some((each) => {
      return each.kind !== 'cut_off' && each.from <= until && each.endedAt >= from;
    });
  }

  /** Whether the process was paused during a part of a span, or its links were restored in it. */
  wasJustResumed(from: number, until: number): boolean {
    return this.disturbances.some((each) => {
      const isPause = each.kind === 'frozen' || each.kind === 'paused_at_stop';
      if (isPause) return each.from <= until && each.endedAt >= from;
      return each.kind === 'cut_off' && each.endedAt >= from && each.endedAt <= until;
    });
  }

  /** Whether the process had a disturbance other than a planned stop, or a pause in one, in a span, including its recovery. */
  hadFault(from: number, until: number): boolean {
    return this.disturbances.some(
      (each) => !PLANNED_KINDS.has(each.kind) && each.from <= until && each.until >= from,
    );
  }

  /** Pauses during planned stops that overlap a span. */
  pausesAtStop(from: number, until: number): { from: number; until: number }[] {
    return this.disturbances
      .filter((each) => each.kind === 'paused_at_stop')
      .map((each) => ({ from: each.from, until: each.endedAt }))
      .filter((pause) => pause.from <= until && pause.until >= from);
  }

  /** When a planned stop began that overlaps a span; undefined without one. */
  stopDuring(from: number, until: number): number | undefined {
    const stop = this.disturbances.find(
      (each) => each.kind === 'stopped' && each.from <= until && each.until >= from,
    );
    return stop?.from;
  }

  private recordDisturbance(kind: Disturbance['kind'], milliseconds: number): void {
    this.options.onFault?.(kind, milliseconds);
    const from = Date.now();
    this.disturbances.push({ kind, from, until: from + milliseconds, endedAt: Infinity });
  }

  private endDisturbances(kinds: readonly Disturbance['kind'][]): void {
    for (const each of this.disturbances) {
      if (kinds.includes(each.kind)) each.endedAt = Math.min(each.endedAt, Date.now());
    }
  }

  private handleExit(code: number | null, signal: NodeJS.Signals | null): void {
    const at = Date.now();
    const ageMs = at - this.startedAt;
    const exit = { gateway: this.name, code, signal, ageMs, isExpected: this.isExpectedToEnd };
    this.exits.push(exit);
    const line = `event=ended code=${code} signal=${signal} ageMs=${ageMs}`;
    appendFileSync(this.logFile, `time=${new Date(at).toISOString()} ${line}\n`);
    setTimeout(() => {
      if (!this.isEnded) this.start();
    }, RESTART_DELAY_MS);
  }
}
