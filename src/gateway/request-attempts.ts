/** Starts the attempts of one request, and counts what they mean for it: how often it was sent, and whether it may have run. */
import type { Ran } from '../common/errors.js';
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { LogFields } from '../common/logger.js';
import {
  firstByteTimeoutMs,
  mayReplaceBackup,
  stallTimeoutMs,
  type AttemptHistory,
} from '../core/attempt-policy.js';
import type { BackendRecord, CallerTenant, Route } from '../core/service-configuration.js';
import { Attempt, type AttemptEnd } from './attempt.js';
import { poolOfSend, type ConnectionPool } from './backend-agent.js';
import type { BackendPath } from './backend-paths.js';
import type { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import { sentFields } from './decision-state.js';
import { gapRecorder, type CapacityQuery } from './expected-capacity.js';
import type { GatewayContext } from './gateway-context.js';
import type { AttemptResources } from './request-backup.js';
import type { RequestLog } from './request-log.js';
import type { RequestRelays } from './request-relays.js';
import type { RequestStream } from './request-stream.js';
import { steadyNow } from './steady-clock.js';
import type { TriedBackends } from './tried-backends.js';

/**
 * Priority sent to backends whose slots are allocated across daemons. It is the same for all requests, because
 * a later request must not preempt a running one.
 */
const GRANTED_PRIORITY = 1;

/** How a request is sent to its backend. */
interface SendOptions {
  /** Peer address of the daemon that relays the request; undefined to send it directly. */
  readonly relay: string | undefined;
  readonly pool: ConnectionPool;
  /** Number of requests in flight at the backend, for the log. */
  readonly inFlight: number;
}

/** An attempt that ended without an answer for the caller. */
export type FailedEnd = Extract<AttemptEnd, { type: 'failed' }>;

/** Options of {@link RequestAttempts}. */
export interface RequestAttemptsOptions {
  readonly context: GatewayContext;
  readonly route: Route;
  readonly request: CallerRequest;
  readonly capacityQuery: CapacityQuery;
  readonly answer: CallerAnswer;
  readonly stream: RequestStream;
  readonly tried: TriedBackends;
  readonly relays: RequestRelays;
  readonly boundary: FaultBoundary;
  readonly log: RequestLog;
  /** Returns the tenant of the caller's key; undefined if the route needs none. */
  readonly tenant: () => CallerTenant | undefined;
  /** Steady time of the request's deadline. */
  readonly deadlineAt: number;
  /** Returns the state that a decision is based on, for log lines. */
  readonly stateFields: (now: number) => LogFields;
  readonly onOpened: (attempt: Attempt) => void;
  readonly onSilent: (attempt: Attempt, backend: BackendRecord) => void;
  readonly onProgress: (attempt: Attempt) => void;
  readonly onEnd: (attempt: Attempt, backend: BackendRecord, end: AttemptEnd) => void;
}

/** The attempts of one request. */
export class RequestAttempts implements AttemptHistory {
  private sendCount = 0;
  private runCount = 0;
  private startCount = 0;
  private ran: Ran = 'no';

  constructor(private readonly options: RequestAttemptsOptions) {}

  /** Number of times the request was sent. */
  get sends(): number {
    return this.sendCount;
  }

  /** Number of ended attempts in which the request ran or may have run. */
  get runs(): number {
    return this.runCount;
  }

  get isAnswerBegun(): boolean {
    return this.options.answer.hasBegun;
  }

  /** Whether the request could be sent once more beside its first attempt, its backup, and that many overdue ones. */
  mayReplaceBackup(overdue: number): boolean {
    return mayReplaceBackup(this.options.route, this.runCount + overdue, this.sendCount);
  }

  /** Number of attempts, including those that do not count as sends. */
  get started(): number {
    return this.startCount;
  }

  /** Whether the request has run, as far as the last attempt tells in which it may have. */
  get lastRan(): Ran {
    return this.ran;
  }

  /** Sends the request to a backend that has a slot for it. */
  start(backend: BackendRecord, path: BackendPath, resources: AttemptResources): Attempt {
    return this.startOnPool(poolOfSend(this.startCount + 1), backend, path, resources);
  }

  /**
   * Sends the request to a second backend, over a new connection: a kept one may have gone silent without a reset, and a reply to a
   * liveness check would not show that the request has arrived.
   */
  startBackup(backend: BackendRecord, path: BackendPath, resources: AttemptResources): Attempt {
    return this.startOnPool('single', backend, path, resources);
  }

  private startOnPool(
    pool: ConnectionPool,
    backend: BackendRecord,
    path: BackendPath,
    resources: AttemptResources,
  ): Attempt {
    const { relays } = this.options;
    const relay = path.type === 'relay' ? path.peer : undefined;
    if (this.sendCount === 0) this.observeWait();
    this.sendCount += 1;
    this.startCount += 1;
    resources.search.recordSent(backend.id);
    resources.inFlight.begin(backend.id);
    const inFlight = resources.search.inFlightAt(backend);
    const attempt = this.send(backend, { relay, pool, inFlight });
    relays.begin(path);
    return attempt;
  }

  private send(backend: BackendRecord, { relay, pool, inFlight }: SendOptions): Attempt {
    const { context, route, request, answer, stream, deadlineAt } = this.options;
    const now = steadyNow();
    const lastEventId = answer.lastEventId ?? request.head.lastEventId;
    this.options.log('sent', {
      ...sentFields(context, { backend, request, lastEventId, relay, now }),
      inFlight,
      sends: this.sendCount,
      remainingMs: Math.round(deadlineAt - now),
      ...this.options.stateFields(now),
    });
    const { attemptId } = request.head;
    const rateLimit = context.permits.recordedLimit(backend);
    const isResumed = answer.hasBegun || request.head.lastEventId !== undefined;
    const attempt: Attempt = new Attempt(context, {
      backend,
      route,
      request,
      pool,
      tenant: this.options.tenant(),
      priority: context.slots && GRANTED_PRIORITY,
      relay,
      remainingMs: deadlineAt - now,
      lastEventId,
      firstByteTimeoutMs: () => firstByteTimeoutMs(route, this.runCount, this.sendCount),
      stallTimeoutMs: () => stallTimeoutMs(route, this.runCount, this.sendCount),
      onOpened: () => this.options.onOpened(attempt),
      onSilent: () => this.options.onSilent(attempt, backend),
      onProgress: () => this.options.onProgress(attempt),
      onLeaving: () => context.leavingNotices.recordShutdown(backend, attemptId),
      onLimits: (limits) => context.permits.recordAnswer(backend, limits, rateLimit, attemptId),
      onBackoff: (backoffMs) => this.recordBackoff(backend, backoffMs),
      onEvent: () => stream.recordForwarding(backend),
      gaps: gapRecorder(context, this.options.capacityQuery, backend.id, isResumed),
      answer,
      boundary: this.options.boundary,
      onEnd: (end) => this.options.onEnd(attempt, backend, end),
    });
    return attempt;
  }

  /**
   * Records a backoff. Nothing is sent to the backend until it ends, and requests that wait for the backend
   * here search for another one.
   */
  private recordBackoff(backend: BackendRecord, askedMs: number): void {
    const { context } = this.options;
    const backoffMs = Math.round(context.backoffs.recordBackoff(backend, askedMs, steadyNow()));
    context.metrics.backoffs.inc();
    this.options.log('backend_rests', {
      backend: backend.id,
      askedMs: Math.round(askedMs),
      restMs: backoffMs,
    });
    context.recheckWaiting();
  }

  /** Records the end of an attempt through another daemon. Returns true if that daemon refused, so that the attempt does not count. */
  recordRelayEnd({ relay }: Attempt, backend: BackendRecord, end: AttemptEnd): boolean {
    if (relay === undefined) return false;
    const failure = end.type === 'failed' ? end.relayFailure : undefined;
    if (!this.options.relays.end(relay, failure)) return false;
    this.options.log('relay_refused', { relay, backend: backend.id, reason: failure });
    this.sendCount -= 1;
    this.options.tried.recordNotSent(backend.id);
    return true;
  }

  /** Records an attempt that ended without an answer for the caller. */
  recordFailure(attempt: Attempt, backend: BackendRecord, end: FailedEnd): void {
    const { connection, relay } = attempt;
    this.options.log('attempt_failed', {
      backend: backend.id,
      ran: end.ran,
      reached: end.reached,
      reason: end.reason,
      sentMs: Math.round(attempt.ageMs),
      relay,
      localPort: connection.localPort,
      reused: connection.isReused,
      sends: this.sendCount,
    });
    // An attempt that never reached its backend does not count as a send.
    if (!end.reached) this.sendCount -= 1;
    if (end.ran !== 'no') this.recordRun(end.ran);
  }

  /** Records an attempt that was cancelled because another one has the answer. */
  recordCancelled({ backendId, relay }: Attempt): void {
    this.options.log('backup_cancelled', { backend: backendId, sends: this.sendCount });
    if (relay !== undefined) this.options.context.paths.recordEnded(relay);
    this.recordRun('unknown');
  }

  /** Ends the attempts that are left when the request has ended. */
  abort(...attempts: readonly (Attempt | undefined)[]): void {
    for (const attempt of attempts) {
      if (attempt?.relay !== undefined) this.options.context.paths.recordEnded(attempt.relay);
      attempt?.abort();
    }
  }

  /** Observes how long the request has waited before its first send. */
  private observeWait(): void {
    const { context, route, request } = this.options;
    const waitedMs = steadyNow() - request.arrivedAt;
    context.metrics.waitSeconds.observe({ route: route.name }, waitedMs / 1000);
  }

  private recordRun(ran: Ran): void {
    this.runCount += 1;
    this.ran = ran;
  }
}
