/** Learns the capacity of one service's backends at its owner, with logs and metrics. */
import type { Logger } from '../common/logger.js';
import { CapacityEstimate } from '../core/capacity/capacity-estimate.js';
import type { PlanningCapacity } from '../core/capacity/copy-quality.js';
import type { CapacityFigures } from '../core/capacity/learned-capacity.js';
import type { DemandReport } from '../core/demand-report.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Between two fits: as often as daemons report. */
const SETTLE_PERIOD_MS = 250;

/** Options of {@link CapacityWatch}. */
export interface CapacityWatchOptions {
  readonly service: string;
  readonly epoch: number;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Whether the service has the backend: what is told of others is left out. */
  readonly isListed: (backend: string) => boolean;
}

/** What one owner learns; nothing of it outlives the owner. */
export class CapacityWatch {
  private readonly estimate = new CapacityEstimate();
  private settledAt = -Infinity;

  constructor(private readonly options: CapacityWatchOptions) {}

  /** What is believed, for the daemons. */
  get figures(): CapacityFigures {
    return this.estimate.figures;
  }

  /** What the planner goes by. */
  planned(): PlanningCapacity {
    const { estimate } = this;
    return { view: estimate.steadyView(), pauseGoalMs: (model) => estimate.pauseGoalMs(model) };
  }

  /** Takes what a daemon has seen of streams. */
  hear(report: DemandReport, now: number): void {
    if (report.gaps === undefined) return;
    const { service, epoch, logger, isListed } = this.options;
    const samples = report.gaps.samples.filter(({ backend }) => isListed(backend));
    const dropped = this.estimate.addReport(report.daemon, { ...report.gaps, samples }, now);
    if (dropped === 0) return;
    logger.warn('gaps_dropped', { service, epoch, daemon: report.daemon, dropped });
  }

  /** Another process may have the backend's id from now on. */
  forget(backend: string): void {
    this.estimate.forget(backend);
    this.options.metrics.backendSpeed.remove({ service: this.options.service, backend });
  }

  /** Works out what is believed; call it with each round. */
  settle(now: number): void {
    if (now - this.settledAt < SETTLE_PERIOD_MS) return;
    this.settledAt = now;
    const { service, epoch, logger, metrics } = this.options;
    for (const { backend, from, to, gaps, ageMs } of this.estimate.recompute(now)) {
      metrics.backendSpeed.set({ service, backend }, to);
      logger.info('backend_speed', {
        service,
        epoch,
        backend,
        from: from.toFixed(2),
        to: to.toFixed(2),
        gaps,
        ageMs: Math.round(ageMs),
      });
    }
  }
}
