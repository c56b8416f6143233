/** State and services that all requests of one gateway daemon share. */
import type { Logger } from '../common/logger.js';
import type { RunningClock } from '../common/running-clock.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendHealth } from '../core/backend-health.js';
import type { BackendBackoffs } from '../core/backend-backoffs.js';
import type { BackendSelection } from '../core/backend-selection.js';
import type { HoldPolicy } from '../core/hold-policy.js';
import type { RequestMemory } from '../core/request-memory.js';
import type { RetryBudget } from '../core/retry-budget.js';
import type { AnswerBuffer } from './answer-buffer.js';
import type { BackendAgent } from './backend-agent.js';
import type { BackendPaths } from './backend-paths.js';
import type { BackendWatch } from './backend-watch.js';
import type { BackendPermits } from './backend-permits.js';
import type { CallerAdmission } from './caller-admission.js';
import type { CrashTracker } from './crash-tracker.js';
import type { FaultRecorder } from './fault-recorder.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { ShutdownAnnouncer } from './shutdown-announcer.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { BackendControl, RequestDialect } from './ports.js';
import type { RequestExchange } from './request-exchange.js';
import type { RequestTracker } from './request-tracker.js';
import type { SlotAdmission } from './slot-admission.js';
import type { SharedLimits } from './shared-limits.js';
import type { StreamOriginExchange } from './stream-origin-exchange.js';

/** Shared state and services. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly dialect: RequestDialect;
  readonly directory: BackendDirectory;
  readonly health: BackendHealth;
  /** Which backends this daemon reaches over connections of its own. */
  readonly backendWatch: BackendWatch;
  /** Paths to backends, directly or through other daemons. */
  readonly paths: BackendPaths;
  readonly selection: BackendSelection;
  readonly tracker: RequestTracker;
  readonly hold: HoldPolicy;
  readonly agent: BackendAgent;
  readonly control: BackendControl;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Measures how long others have been silent. */
  readonly runningClock: RunningClock;
  /** Reports unexpected exceptions. */
  readonly faults: FaultRecorder;
  readonly admission: CallerAdmission;
  /** Rate limits of tenants. */
  readonly limits: SharedLimits;
  /** Permits for backends that have announced rate limits. */
  readonly permits: BackendPermits;
  readonly crashes: CrashTracker;
  readonly leavingNotices: ShutdownAnnouncer;
  /** Origins of streams. */
  readonly streamOrigins: StreamOriginExchange;
  readonly backoffs: BackendBackoffs;
  /** Allocates the backends' slots across all daemons; undefined if each daemon decides alone. */
  readonly slots: SlotAdmission | undefined;
  /** Accounts for buffered answers. */
  readonly answers: AnswerBuffer;
  /** Accounts for the requests that callers and other daemons send. */
  readonly requestMemory: RequestMemory;
  /** Requests that have not ended. */
  readonly exchanges: Set<RequestExchange>;
  /** Age in milliseconds of the list of backends; infinite if it was never confirmed. */
  backendsAgeMs(): number;
  /** Reads the configuration and the list of backends; true if both are now at least as new as the call. */
  confirmDirectory(): Promise<boolean>;
  budgetOf(service: string): RetryBudget;
  /**
   * Number of equal parts into which shared budgets are divided, one of them for this daemon; infinite if this
   * daemon has none.
   */
  budgetParts(): number;
  /** Records a caller's deadline. Returns true if the caller was most likely refused before. */
  recordCaller(route: string, deadlineMs: number | undefined): boolean;
  /** Sends the service's demand to its owner at once because a request has started to wait. */
  sendDemandNow(service: string): void;
  /** Schedules one recheck of the waiting requests for all recent changes. */
  recheckWaiting(): void;
  /** Whether answers ask callers to close their connections. */
  isDraining(): boolean;
  /** Whether new requests are refused because the daemon is about to stop. */
  refusesRequests(): boolean;
  /** Whether an accepted request that may take this many milliseconds may begin now. */
  mayBegin(allowedMs: number): boolean;
}
