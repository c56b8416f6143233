/** A child process that the demonstration or a test starts, signals by id, and ends. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';

/** How a process has ended. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One Node.js program in a process of its own. */
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
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.status = { code, signal };
        resolve(this.status);
      });
    });
  }

  /** The process id. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Resident memory in megabytes, from the kernel's own count; 0 once it has ended. */
  residentMegabytes(): number {
    if (!this.isRunning) return 0;
    const status = readFileSync(`/proc/${this.pid ?? 0}/status`, 'utf8');
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(status)?.[1];
    return Number(kilobytes ?? 0) / 1000;
  }

  /** Whether the process still runs. */
  get isRunning(): boolean {
    return this.status === undefined;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Resolves when the process has ended. */
  waitForExit(): Promise<ExitStatus> {
    return this.exited;
  }

  /** Ends the process at once and waits until it is gone. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }
}
