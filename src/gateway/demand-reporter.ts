/** Reports the demand of this daemon's callers to the owners of the services. */
import type { BackendHealth } from '../core/backend-health.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { encodeDemand } from './gateway-codec.js';
import type { RequestTracker } from './request-tracker.js';
import type { ServiceOwnerships } from './service-ownerships.js';
import { steadyNow } from './steady-clock.js';

/**
 * Interval at which an unchanged report is repeated, in milliseconds: twice within the time for which an owner
 * counts a report.
 */
const REPEAT_MS = 1_000;

/** Options of {@link DemandReporter}. */
export interface DemandReporterOptions {
  readonly self: string;
  readonly ownerships: Pick<ServiceOwnerships, 'applyDemand' | 'ownerAddress'>;
  readonly tracker: () => RequestTracker;
  readonly health: () => BackendHealth;
  /** Version of the configuration in force. */
  readonly version: () => number;
  readonly send: (to: string, body: PeerBody) => void;
}

/** The demand reports of one daemon. */
export class DemandReporter {
  private lastFullReport = 0;

  constructor(private readonly options: DemandReporterOptions) {}

  /** Reports changed demand, and periodically all demand, before the owner considers this daemon's reports outdated. */
  reportAll(now: number): void {
    const tracker = this.options.tracker();
    const isFullReport = now - this.lastFullReport >= REPEAT_MS;
    if (isFullReport) this.lastFullReport = now;
    for (const service of tracker.activeServices()) {
      if (isFullReport || tracker.hasChanged(service)) this.report(service);
    }
  }

  /** Reports the demand for one service now. */
  report(service: string): void {
    const { self, ownerships, tracker, health, version, send } = this.options;
    const failing = health().failingBackends(steadyNow());
    const report = tracker().report(service, self, failing, steadyNow());
    if (ownerships.applyDemand(service, report)) return;
    const owner = ownerships.ownerAddress(service);
    if (owner !== undefined) send(owner, encodeDemand(service, report, version()));
  }
}
