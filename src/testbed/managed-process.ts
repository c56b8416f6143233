/** Child processes that the demonstration and the tests start, signal by process id, and kill. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';
import { constants } from 'node:os';

/** Added to a signal's number, this is the exit code of a program that the signal has ended. */
const SIGNAL_EXIT_CODE = 128;
/** Signals by which a terminal or a supervisor ends a program. */
const END_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** All running children: killed when this program exits, so that none outlives it. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Makes signals end this program through `process.exit`; by default, they end it without its exit handlers. */
export function exitOnSignals(): void {
  for (const signal of END_SIGNALS) {
    process.on(signal, () => process.exit(SIGNAL_EXIT_CODE + constants.signals[signal]));
  }
}

/** The exit code of a process, or the signal that killed it. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A Node.js program that runs in its own process. */
export class ManagedProcess {
  private readonly child: ChildProcess;
  private readonly exited: Promise<ExitStatus>;
  private status: ExitStatus | undefined;

  /** Starts `node script args`; standard output and error go to `logFile`. */
  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    logFile: string,
  ) {
    const log = openSync(logFile, 'a');
    this.child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', log, log] });
    closeSync(log);
    running.add(this.child);
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        running.delete(this.child);
        this.status = { code, signal };
        resolve(this.status);
      });
    });
  }

  /** The process id. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Resident memory in megabytes, read from /proc; 0 after the process has exited. */
  residentMegabytes(): number {
    if (!this.isRunning) return 0;
    const status = readFileSync(`/proc/${this.pid ?? 0}/status`, 'utf8');
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(status)?.[1];
    return Number(kilobytes ?? 0) / 1000;
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return this.status === undefined;
  }

  /** Sends a signal; does nothing after the process has exited. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Resolves when the process has exited. */
  waitForExit(): Promise<ExitStatus> {
    return this.exited;
  }

  /** Kills the process with SIGKILL and waits until it has exited. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }
}
