/** Stops one gateway daemon gracefully: requests in flight may complete within the time for a stop. */
import type { Logger } from '../common/logger.js';
import { sleep } from '../common/process.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { OpenWork } from './open-work.js';
import { steadyNow } from './steady-clock.js';

/** Time after the start of a drain during which the load balancer may still send requests, in milliseconds. */
const BALANCER_DELAY_MS = 2_300;
/** Time before the end of a stop at which requests still in flight are interrupted, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** Interval between checks for unfinished work, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Time for the answers of interrupted requests to be written, in milliseconds. */
const INTERRUPT_MS = 50;

/** Options of {@link Drain}. */
export interface DrainOptions {
  /** Seconds from the stop signal until the process is killed. */
  readonly stopSeconds: number;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'interruptedRequests'>;
  /** Leaves the group of daemons. */
  readonly leave: () => Promise<void>;
  readonly work: OpenWork;
  /** Closes all ports. */
  readonly close: () => void;
}

/** The graceful stop of one daemon. */
export class Drain {
  private startedAt: number | undefined;
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
   * Starts the stop and resolves at its end. A further call waits for the same stop, because a second stop signal must not end the
   * process while requests that the first one lets complete are in flight.
   */
  run(): Promise<void> {
    this.running ??= this.finish();
    return this.running;
  }

  private async finish(): Promise<void> {
    const { logger, metrics, stopSeconds } = this.options;
    const startedAt = steadyNow();
    this.startedAt = startedAt;
    logger.info('draining', { ...this.options.work.counts() });
    await this.options.leave();
    const limit = startedAt + stopSeconds * 1_000 - STOP_MARGIN_MS;
    while (steadyNow() < limit && !this.isDrained()) await sleep(CHECK_INTERVAL_MS);
    const interrupted = this.options.work.interrupt();
    metrics.interruptedRequests.inc(interrupted);
    await sleep(INTERRUPT_MS);
    const milliseconds = Math.round(steadyNow() - startedAt);
    logger.info('stopped', { milliseconds, interrupted, ...this.options.work.counts() });
    this.options.close();
  }

  private isDrained(): boolean {
    return this.refusesRequests && this.options.work.closeIdle();
  }
}
