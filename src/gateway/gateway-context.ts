/** What all requests of one gateway daemon share. */
import type { Logger } from '../common/logger.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendHealth } from '../core/backend-health.js';
import type { BackendBackoffs } from '../core/backend-backoffs.js';
import type { BackendSelection } from '../core/backend-selection.js';
import type { HoldPolicy } from '../core/hold-policy.js';
import type { RetryBudget } from '../core/retry-budget.js';
import type { AnswerBuffer } from './answer-buffer.js';
import type { BackendAgent } from './backend-agent.js';
import type { BackendPermits } from './backend-permits.js';
import type { CallerAdmission } from './caller-admission.js';
import type { CrashWatch } from './crash-watch.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { LeavingNews } from './leaving-news.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { RequestDialect } from './ports.js';
import type { RequestExchange } from './request-exchange.js';
import type { RequestTracker } from './request-tracker.js';
import type { SlotAdmission } from './slot-admission.js';
import type { SharedLimits } from './shared-limits.js';

/** Shared state and services. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly dialect: RequestDialect;
  readonly directory: BackendDirectory;
  readonly health: BackendHealth;
  readonly selection: BackendSelection;
  readonly tracker: RequestTracker;
  readonly hold: HoldPolicy;
  readonly agent: BackendAgent;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly admission: CallerAdmission;
  /** Limits of tenants. */
  readonly limits: SharedLimits;
  /** Permits for backends that name rate limits. */
  readonly permits: BackendPermits;
  readonly crashes: CrashWatch;
  readonly leavings: LeavingNews;
  readonly backoffs: BackendBackoffs;
  /** Keeps backends' slots over all daemons; undefined if each daemon chooses alone. */
  readonly slots: SlotAdmission | undefined;
  /** What is held of answers and bodies. */
  readonly answers: AnswerBuffer;
  /** Requests that have not ended. */
  readonly exchanges: Set<RequestExchange>;
  /** Age of what is known of the backends, in milliseconds; infinite if nothing has confirmed it. */
  backendsAgeMs(): number;
  budgetOf(service: string): RetryBudget;
  /** Parts into which common budgets are divided, one for this daemon; infinite if it has none. */
  budgetParts(): number;
  /** Notes a caller's deadline; true if it has most likely been refused before. */
  noteCaller(route: string, deadlineMs: number | undefined): boolean;
  /** A request has begun to wait: the owner should hear at once. */
  demandUrgent(service: string): void;
  /** Waiting requests look again, once for all that has changed. */
  lookAgain(): void;
  /** Whether callers are asked to close their connections. */
  isDraining(): boolean;
  /** Whether new requests are refused because the daemon is about to end. */
  refusesRequests(): boolean;
}
