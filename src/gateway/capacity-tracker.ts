/** Estimates the capacity of one service's backends at the service's owner, with log lines and metrics. */
import type { Logger } from '../common/logger.js';
import { CapacityEstimate } from '../core/capacity/capacity-estimate.js';
import type { PlanningCapacity } from '../core/capacity/copy-quality.js';
import type { CapacityFigures } from '../core/capacity/learned-capacity.js';
import type { DemandReport } from '../core/demand-report.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Minimum interval between two computations of the estimate; daemons report at the same interval. */
const RECOMPUTE_INTERVAL_MS = 250;

/** Options of {@link CapacityTracker}. */
export interface CapacityTrackerOptions {
  readonly service: string;
  readonly epoch: number;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Whether the service has the backend. Samples of other backends are ignored. */
  readonly isListed: (backend: string) => boolean;
}

/** The capacity estimate of one owner. It is discarded with the owner. */
export class CapacityTracker {
  private readonly estimate = new CapacityEstimate();
  private recomputedAt = -Infinity;

  constructor(private readonly options: CapacityTrackerOptions) {}

  /** The current estimate, which the owner sends to the daemons. */
  get figures(): CapacityFigures {
    return this.estimate.figures;
  }

  /** Returns the capacity that the planner uses. */
  planningCapacity(): PlanningCapacity {
    const { estimate } = this;
    return { view: estimate.steadyView(), pauseGoalMs: (model) => estimate.pauseGoalMs(model) };
  }

  /** Adds the gaps between stream events that a daemon has measured. */
  addReport(report: DemandReport, now: number): void {
    if (report.gaps === undefined) return;
    const { service, epoch, logger, isListed } = this.options;
    const samples = report.gaps.samples.filter(({ backend }) => isListed(backend));
    const dropped = this.estimate.addReport(report.daemon, { ...report.gaps, samples }, now);
    if (dropped === 0) return;
    logger.warn('gaps_dropped', { service, epoch, daemon: report.daemon, dropped });
  }

  /** Deletes the estimate of a backend. Another process may use its id from now on. */
  forget(backend: string): void {
    this.estimate.forget(backend);
    this.options.metrics.backendSpeed.remove({ service: this.options.service, backend });
  }

  /** Recomputes the estimate if the interval has passed; call it in each planning round. */
  recompute(now: number): void {
    if (now - this.recomputedAt < RECOMPUTE_INTERVAL_MS) return;
    this.recomputedAt = now;
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
