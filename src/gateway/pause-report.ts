/** Reports the pauses of this process: times in which it got no processor or was frozen. */
import type { Logger } from '../common/logger.js';
import type { RunningClock } from '../common/running-clock.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Options of {@link reportPauses}. */
export interface PauseReportOptions {
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'processPauseSeconds'>;
  /** Number of requests that have not ended. */
  readonly unfinished: () => number;
}

/** Logs and counts the pauses from now on. */
export function reportPauses(
  clock: RunningClock,
  { logger, metrics, unfinished }: PauseReportOptions,
): void {
  clock.beat();
  clock.onPause = (pausedMs) => {
    metrics.processPauseSeconds.observe(pausedMs / 1_000);
    const milliseconds = Math.round(pausedMs);
    logger.warn('process_paused', { milliseconds, unfinished: unfinished() });
  };
}
