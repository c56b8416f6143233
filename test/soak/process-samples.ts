/**
 * Records how the kernel ran the processes of a soak, in `processes.log` next to the logs of the gateways. If a process
 * did not act for some time, the samples tell whether it waited for a processor, was stopped, was blocked or was busy.
 * The log is for inspection only; audits read the most memory.
 */
import { appendFileSync, readFileSync } from 'node:fs';
import path from 'node:path';

const PERIOD_MS = 250;
const NANOSECONDS_PER_MS = 1_000_000;
/** Position of the time stolen by the hypervisor among the fields of the first line of /proc/stat. */
const STEAL_FIELD = 8;

/** A process to sample; its id changes when it is restarted. */
interface SampledProcess {
  readonly name: string;
  readonly pid: number | undefined;
}

/** Most resident memory of a process, in units of 1,024 x 1,024 bytes. */
export interface ProcessMemory {
  readonly name: string;
  readonly megabytes: number;
}

/** Times of the main thread of a process since its start, as in /proc/PID/schedstat, in milliseconds. */
interface SchedulerTimes {
  readonly pid: number;
  readonly ranMs: number;
  /** Time for which the thread was runnable, but had no processor. */
  readonly waitedMs: number;
}

const NEW_PROCESS = { ranMs: 0, waitedMs: 0 };

/** Samples processes periodically until stopped. */
export class ProcessSamples {
  private readonly last = new Map<string, SchedulerTimes>();
  private lastAt = performance.now();
  private lastSteal = readSteal();
  private readonly peaks = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly folder: string,
    private readonly processes: () => readonly SampledProcess[],
  ) {}

  start(): void {
    this.timer = setInterval(() => this.sample(), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Most memory of each process in any of the samples. */
  get mostMemory(): ProcessMemory[] {
    return [...this.peaks].map(([name, megabytes]) => ({ name, megabytes }));
  }

  /** Appends one line: the length of the period, the stolen time of all processors, then each process. */
  private sample(): void {
    const now = performance.now();
    const steal = readSteal();
    const each = this.processes().map((sampled) => this.describe(sampled));
    const period = `periodMs=${Math.round(now - this.lastAt)} stealTicks=${steal - this.lastSteal}`;
    this.lastAt = now;
    this.lastSteal = steal;
    const line = `${new Date().toISOString()} ${period} ${each.join(' ')}\n`;
    appendFileSync(path.join(this.folder, 'processes.log'), line);
  }

  /** Describes a process as name=state,ran,waited: both times in milliseconds since the last sample. */
  private describe({ name, pid }: SampledProcess): string {
    const times = pid === undefined ? undefined : readTimes(pid);
    if (times === undefined) return `${name}=gone`;
    this.peaks.set(name, Math.max(this.peaks.get(name) ?? 0, readPeakMegabytes(times.pid)));
    const last = this.last.get(name);
    this.last.set(name, times);
    const since = last !== undefined && last.pid === pid ? last : NEW_PROCESS;
    const ran = Math.round(times.ranMs - since.ranMs);
    const waited = Math.round(times.waitedMs - since.waitedMs);
    return `${name}=${readState(times.pid)},${ran},${waited}`;
  }
}

/** The text of a file of /proc; empty if the process has ended or the system has no such file. */
function readProc(file: string): string {
  try {
    return readFileSync(`/proc/${file}`, 'utf8');
  } catch {
    return '';
  }
}

function readTimes(pid: number): SchedulerTimes | undefined {
  const [ran, waited] = readProc(`${pid}/schedstat`).split(' ').map(Number);
  if (ran === undefined || waited === undefined) return undefined;
  return { pid, ranMs: ran / NANOSECONDS_PER_MS, waitedMs: waited / NANOSECONDS_PER_MS };
}

/** The most resident memory of a process since its start. */
function readPeakMegabytes(pid: number): number {
  const kilobytes = /VmHWM:\s+(\d+)/.exec(readProc(`${pid}/status`))?.[1] ?? 0;
  return Math.round(Number(kilobytes) / 1024);
}

/** The letter of the state, such as S for sleeping, R for runnable, D for blocked and T for stopped. */
function readState(pid: number): string {
  return /\) (\w)/.exec(readProc(`${pid}/stat`))?.[1] ?? '?';
}

/** Ticks for which the hypervisor ran none of the processors though they were runnable, summed over all. */
function readSteal(): number {
  return Number(readProc('stat').split('\n')[0]?.split(/\s+/)[STEAL_FIELD] ?? 0);
}
