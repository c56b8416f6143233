/** Reports that a daemon has known no owner of a service for longer than a takeover needs: no model of the service is loaded meanwhile. */
import type { Logger } from '../common/logger.js';
import type { GatewayMetrics } from './gateway-metrics.js';

/** Time without an owner after which the first line is logged, in milliseconds. */
const FIRST_REPORT_MS = 5_000;
/** Maximum time between two lines; the time doubles up to it. */
const MAX_REPORT_GAP_MS = 60_000;

/** What the service's owner depends on. */
export interface OwnerInputs {
  /** Daemons that this one reaches, itself included. */
  readonly live: number;
  /** Daemons that the platform's store lists, also those that are gone. */
  readonly listed: number;
  /** Milliseconds for which the owner's record has been unchanged in the reads of this daemon; 0 if it does not read it. */
  readonly recordUnchangedMs: number;
}

/** The reports of one service. */
export class UnownedService {
  private since: number | undefined;
  private nextReportMs = FIRST_REPORT_MS;

  constructor(
    private readonly service: string,
    private readonly logger: Logger,
    private readonly metrics: Pick<GatewayMetrics, 'unownedSeconds'>,
  ) {}

  /** Processes whether an owner is known, at a time in milliseconds of the steady clock. `inputs` is called only for a line. */
  observe(isOwned: boolean, inputs: () => OwnerInputs, now: number): void {
    const { service } = this;
    this.since = isOwned ? undefined : (this.since ?? now);
    const unownedMs = this.since === undefined ? 0 : now - this.since;
    this.metrics.unownedSeconds.set({ service }, unownedMs / 1_000);
    if (unownedMs < this.nextReportMs) {
      if (isOwned) this.nextReportMs = FIRST_REPORT_MS;
      return;
    }
    this.nextReportMs = unownedMs + Math.min(unownedMs, MAX_REPORT_GAP_MS);
    this.logger.warn('service_unowned', { service, unownedMs: Math.round(unownedMs), ...inputs() });
  }
}
