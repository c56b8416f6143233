/** Stops one gateway daemon gracefully: requests in flight may complete within the time for a stop. */
import { faultText, type Logger } from '../common/logger.js';
import { inputRead, sleep } from '../common/process.js';
import type { RunningClock } from '../common/running-clock.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { OpenWork } from './open-work.js';
import { steadyNow } from './steady-clock.js';

/** Time after the start of a drain during which the load balancer may still send requests, in milliseconds. */
const BALANCER_DELAY_MS = 2_300;
/** Time before the end of a stop at which requests still in flight are interrupted, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** Least share of the time for a stop that requests get, however late the signal was handled. */
const MIN_STOP_SHARE = 0.5;
/** Interval between checks for unfinished work, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/**
 * Most checks after requests were interrupted, in which their answers are written and requests that come meanwhile are refused. Checks
 * are counted, not time: a pause of this process must not take them away.
 */
const MAX_CHECKS_AFTER_INTERRUPT = 4;

/** Options of {@link Drain}. */
export interface DrainOptions {
  /** Seconds from the stop signal until the process is killed. */
  readonly stopSeconds: number;
  readonly runningClock: Pick<RunningClock, 'earliestArrivalAt'>;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'interruptedRequests'>;
  /** Leaves the group of daemons. Requests are served on meanwhile, because the store may not answer. */
  readonly leave: () => Promise<void>;
  readonly work: OpenWork;
  /** Closes all ports. */
  readonly close: () => void;
}

/** The graceful stop of one daemon. */
export class Drain {
  private startedAt: number | undefined;
  /** Steady time at which requests still in flight are interrupted. */
  private limitAt = Infinity;
  private isInterrupting = false;
  private hasLeft = false;
  private running: Promise<void> | undefined;

  constructor(private readonly options: DrainOptions) {}

  /** Whether the stop has started. */
  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Whether to refuse new requests: one accepted late in a drain might be interrupted at the end of it. */
  get refusesRequests(): boolean {
    return steadyNow() - (this.startedAt ?? Infinity) >= BALANCER_DELAY_MS;
  }

  /**
   * Returns whether a request that was accepted may begin now. One whose body took long must be able to end within the stop.
   *
   * @param allowedMs - Longest time that the request may take, in milliseconds.
   */
  mayBegin(allowedMs: number): boolean {
    if (this.isInterrupting) return false;
    return !this.refusesRequests || steadyNow() + allowedMs <= this.limitAt;
  }

  /**
   * Starts the stop and resolves at its end. A further call waits for the same stop, because a second stop signal must not end the
   * process while requests that the first one lets complete are in flight.
   */
  run(): Promise<void> {
    this.running ??= this.finish();
    return this.running;
  }

  private async finish(): Promise<void> {
    const { logger, work, close } = this.options;
    const startedAt = steadyNow();
    this.startedAt = startedAt;
    this.limitAt = this.limitFrom(startedAt);
    const limitMs = Math.round(this.limitAt - startedAt);
    logger.info('draining', { ...work.counts(), limitMs });
    void this.leave();
    while (steadyNow() < this.limitAt && !this.isDrained()) await nextCheck();
    const interrupted = await this.interrupt();
    const milliseconds = Math.round(steadyNow() - startedAt);
    logger.info('stopped', { milliseconds, interrupted, ...work.counts() });
    close();
  }

  /** The supervisor counts from when it sent the signal, which may have waited for this process. */
  private limitFrom(startedAt: number): number {
    const stopMs = this.options.stopSeconds * 1_000;
    const signalAt = this.options.runningClock.earliestArrivalAt;
    return Math.max(signalAt + stopMs - STOP_MARGIN_MS, startedAt + stopMs * MIN_STOP_SHARE);
  }

  private async leave(): Promise<void> {
    try {
      await this.options.leave();
    } catch (fault) {
      this.options.logger.error('leave_fault', { reason: faultText(fault) });
    }
    this.hasLeft = true;
  }

  /** Whether the ports may be closed in this turn of the event loop. */
  private isDrained(): boolean {
    return this.refusesRequests && this.hasLeft && this.options.work.closeIdle();
  }

  /** Ends the requests that have not ended by themselves. Returns their number. */
  private async interrupt(): Promise<number> {
    const { work, metrics } = this.options;
    if (this.isDrained()) return 0;
    await inputRead();
    this.isInterrupting = true;
    const interrupted = work.interrupt();
    metrics.interruptedRequests.inc(interrupted);
    for (let check = 0; check < MAX_CHECKS_AFTER_INTERRUPT && !work.closeIdle(); check++) {
      await nextCheck();
    }
    return interrupted;
  }
}

/** Resolves when unfinished work is to be checked again. A connection is idle only if no request has arrived on it. */
async function nextCheck(): Promise<void> {
  await sleep(CHECK_INTERVAL_MS);
  await inputRead();
}
