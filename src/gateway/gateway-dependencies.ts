/** The external systems of one gateway daemon. */
import type { Logger } from '../common/logger.js';
import type { BackendAgent } from './backend-agent.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { BackendControl, PlatformDirectory, RecordStore, RequestDialect } from './ports.js';

/** External systems that a gateway uses. */
export interface GatewayDependencies {
  readonly directory: PlatformDirectory;
  readonly store: RecordStore;
  readonly control: BackendControl;
  readonly dialect: RequestDialect;
  /** Pools the connections to backends. */
  readonly agent: BackendAgent;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
}
