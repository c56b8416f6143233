/**
 * Handles one caller's request from arrival to end: chooses a backend, sends the
 * request, checks the answer, retries where that is allowed, and forwards only
 * complete answers and events that belong to this request.
 */
import type http from 'node:http';
import type { Ran } from '../common/errors.js';
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { LogFields } from '../common/logger.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import { stepAfterFailure, firstByteTimeoutMs, stallTimeoutMs } from '../core/attempt-policy.js';
import { FIRST_PART_MS } from '../core/hold-policy.js';
import type { RouteMatch } from '../core/routing-table.js';
import type { BackendRecord, ModelReference } from '../core/service-configuration.js';
import { Attempt, type AttemptEnd } from './attempt.js';
import { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import { gapRecorder, type CapacityQuery } from './expected-capacity.js';
import type { GatewayContext } from './gateway-context.js';
import { InFlightEntry } from './in-flight-entry.js';
import { decisionState, sentFields, timingFields } from './decision-state.js';
import { hasBackendFailed, recordBackendHealth } from './attempt-health.js';
import type { RefusalKind } from './refusal-kind.js';
import { RequestDemand } from './request-demand.js';
import { RequestDispatch, type SlotDetails } from './request-dispatch.js';
import { RequestHold } from './request-hold.js';
import { requestLog, type RequestLog } from './request-log.js';
import { RequestRelays } from './request-relays.js';
import { RequestRetries } from './request-retries.js';
import { RequestStream } from './request-stream.js';
import { RequestSuspicion } from './request-suspicion.js';
import { slotDetailsOf } from './slot-details.js';
import { steadyNow } from './steady-clock.js';
import type { ResumedStream } from './stream-resumptions.js';
import { TenantAdmission, type TenantDenial } from './tenant-admission.js';

/** Time between the last moment for an answer and the caller's own deadline. */
const DEADLINE_MARGIN_MS = 30;
/** Interval between rechecks of a waiting request when nothing changes. */
const RECHECK_INTERVAL_MS = 50;
/**
 * Priority sent to backends whose slots are allocated across daemons. It is the same for all requests, because
 * a later request must not preempt a running one.
 */
const GRANTED_PRIORITY = 1;
/** Retry time for a caller whose request a defect of this daemon has ended before it was sent. */
const FAULT_RETRY_AFTER_MS = 1_000;

/** A running request. Whatever the event loop and other modules call runs inside the boundary of the request. */
export class RequestExchange {
  private readonly boundary: FaultBoundary;
  private readonly log: RequestLog;
  private readonly deadlineAt: number;
  private readonly answer: CallerAnswer;
  private attempt: Attempt | undefined;
  private recheckTimer: NodeJS.Timeout | undefined;
  private deadlineTimeout: ReplyTimeout | undefined;
  private runs = 0;
  private sends = 0;
  private ended = false;
  private lastRan: Ran = 'no';
  private readonly admission: TenantAdmission;
  private readonly search: RequestDispatch;
  /** Whether the caller was most likely refused before, by this daemon or another. */
  private readonly wasRefused: boolean;
  private readonly demand: RequestDemand;
  private readonly inFlight: InFlightEntry;
  /** Steady time at which the answer must begin to meet the route's goal. */
  private readonly dueAt: number;
  /** The model that a backend must have loaded; undefined if the service's backends do not load models. */
  private readonly model: ModelReference | undefined;
  private readonly capacityQuery: CapacityQuery;
  private readonly suspicion: RequestSuspicion;
  private readonly hold: RequestHold;
  private readonly relays: RequestRelays;
  private readonly stream: RequestStream;
  private readonly retries: RequestRetries;

  constructor(
    private readonly context: GatewayContext,
    private readonly match: RouteMatch,
    /** Version of the configuration that chose the route. */
    private readonly configurationVersion: number,
    readonly request: CallerRequest,
    response: http.ServerResponse,
    /** The stream that the request resumes; undefined for a new one. */
    resumed?: ResumedStream,
  ) {
    this.answer = new CallerAnswer(context, request.head, response);
    this.boundary = context.faults.boundaryOf('request', {
      fields: () => ({
        request: request.head.attemptId,
        backend: this.inFlight.backend,
        mayHaveRun: this.mayHaveRun(),
        sends: this.sends,
      }),
      end: () => this.endAfterFault(),
      // A closed connection tells the caller nothing about the request.
      abandon: () => {
        this.ended = true;
        context.exchanges.delete(this);
        this.answer.disconnect();
      },
    });
    this.model = match.service.modelHost === undefined ? undefined : request.head.model;
    const { route } = match;
    this.capacityQuery = { service: match.service.name, route, model: this.model };
    this.admission = new TenantAdmission(context, route, request.head);
    this.log = requestLog(context, route, request.head, () => this.admission.tenant?.name);
    this.retries = new RequestRetries(context, match.service.name, () => {
      this.log('retry_denied', { sends: this.sends, runs: this.runs });
    });
    this.wasRefused = context.recordCaller(route.name, request.head.deadlineMs);
    const allowed = Math.min(request.head.deadlineMs ?? Infinity, route.timeoutMs);
    this.deadlineAt = request.arrivedAt + allowed - DEADLINE_MARGIN_MS;
    this.dueAt = request.arrivedAt + route.goalMs - FIRST_PART_MS;
    const waitingCaller = { dueAt: this.dueAt, goalMs: route.goalMs };
    this.inFlight = new InFlightEntry(context.tracker, match.service.name, this.model);
    this.demand = new RequestDemand(context, match, this.model, waitingCaller);
    this.suspicion = new RequestSuspicion(context.crashes, request, () => this.answer.hasBegun);
    this.stream = new RequestStream(context, match, request, resumed);
    this.hold = new RequestHold(context, {
      match,
      model: this.model,
      arrivedAt: request.arrivedAt,
      deadlineAt: this.deadlineAt,
      isRetry: this.wasRefused,
      mayRunAt: this.stream.mayRunAt,
    });
    this.search = this.makeSearch();
    this.relays = new RequestRelays(context);
    response.on(
      'close',
      this.boundary.guard(() => this.callerClosed()),
    );
  }

  /** Starts handling the request. */
  start(): void {
    this.boundary.run(() => this.begin());
  }

  private begin(): void {
    this.context.budgetOf(this.match.service.name).countRequest(steadyNow());
    this.context.exchanges.add(this);
    this.context.answers.addBuffered(this.request.body.length);
    const remaining = Math.max(0, this.deadlineAt - steadyNow());
    const endAtDeadline = this.boundary.guard(() => this.deadlinePassed());
    this.deadlineTimeout = startReplyTimeout(remaining, endAtDeadline);
    // The body may have taken longer than the caller waits.
    if (steadyNow() >= this.deadlineAt) return this.deadlinePassed();
    const denial = this.admission.checkKey();
    if (denial !== undefined) return this.refuseDenied(denial);
    const unitsCharged = this.boundary.guard((denied: TenantDenial | undefined) => {
      if (this.ended) return;
      if (denied === undefined) this.admitted();
      else this.refuseDenied(denied);
    });
    this.admission.chargeUnits(unitsCharged);
  }

  /**
   * Counts the request as demand only once it is admitted, so that owners do not load models for requests that
   * a tenant may not make.
   */
  private admitted(): void {
    this.demand.recordArrival();
    this.dispatch();
  }

  private refuseDenied({ kind, retryAfterMs, inputs }: TenantDenial): void {
    this.refuse(kind, retryAfterMs, inputs);
  }

  /** Rechecks a waiting request after a change that may allow it to be sent. */
  recheck(): void {
    this.boundary.run(() => this.recheckNow());
  }

  private recheckNow(): void {
    // A condemned request that is queued or has just started at a backend is withdrawn before it crashes that
    // backend too.
    if (!this.ended && !this.answer.hasBegun && this.isCondemned()) return this.refuseCrashing();
    if (this.attempt !== undefined) return;
    if (this.demand.isWaiting || this.search.isPending) this.dispatch();
  }

  /** Handles a restart of a backend under the same id: earlier refusals and sends no longer count. */
  backendRestarted(backend: BackendRecord): void {
    this.boundary.run(() => this.resetBackend(backend));
  }

  private resetBackend(backend: BackendRecord): void {
    const wasPending = this.search.isPending;
    this.search.clearBackend(backend.id);
    // The request lost its place in the queue, and nothing else would recheck it.
    if (wasPending && !this.search.isPending) return this.wait();
    if (this.attempt?.backendId !== backend.id) return;
    this.inFlight.end();
    this.attempt.backendRestarted(backend.address);
  }

  /** Handles a partition from all backends: sends the request again on another path if it may be repeated. */
  partitioned(): void {
    this.boundary.run(() => this.attempt?.pathLost());
  }

  /**
   * Ends the request because the daemon stops. A stream ends after a complete event, so that its caller can
   * resume it.
   */
  interrupt(): void {
    this.boundary.run(() => this.endAtStop());
  }

  private endAtStop(): void {
    if (this.ended) return;
    if (!this.mayHaveRun()) return this.refuse('draining', undefined);
    this.giveUp(this.lastRan === 'no' ? 'yes' : this.lastRan, 'the daemon stops');
  }

  private dispatch(): void {
    if (this.ended) return;
    if (this.isCondemned()) this.refuseCrashing();
    else this.search.next();
  }

  private isCondemned(): boolean {
    return this.suspicion.verdict() === 'condemned';
  }

  /**
   * Refuses a request that crashes backends. Its caller gets no retry time, because the next backend would
   * crash as well.
   */
  private refuseCrashing(): void {
    const suspicion = this.suspicion.strongestSuspicion();
    this.suspicion.recordRefusal();
    if (this.attempt !== undefined) return this.giveUp('unknown', 'crashes_backends');
    this.refuse('crashes_backends', undefined, { ...suspicion });
  }

  private makeSearch(): RequestDispatch {
    return new RequestDispatch(this.context, {
      service: this.match.service,
      model: this.model,
      sharedPrompt: this.request.head.sharedPrompt,
      capacityQuery: this.capacityQuery,
      slotDetails: () => this.slotDetails(),
      fitsVersion: this.stream.mayRunAt,
      mayRunAt: (backend) => this.suspicion.mayTakeTurn(backend),
      sends: () => this.sends,
      boundary: this.boundary,
      onSlot: (backend) => this.send(backend),
      // A request stays in the queue of a full backend regardless of its latency goal: a refused caller that retries would be
      // queued behind those that waited. The slot allocator refuses at once any request that cannot be served in time.
      onQueued: () => this.demand.setWaiting(false),
      onNone: () => this.holdOrRefuse(),
      onFull: (retryAfterMs) => this.backendsFull(retryAfterMs),
      onBackoff: (backoffMs) => this.backendsBackOff(backoffMs),
      onLimited: (retryAfterMs) => this.backendsLimited(retryAfterMs),
    });
  }

  private slotDetails(): SlotDetails {
    const { request, admission, wasRefused, dueAt, deadlineAt } = this;
    return slotDetailsOf({
      request,
      route: this.match.route,
      admission,
      needsModel: this.model !== undefined,
      hasBegun: this.answer.hasBegun,
      isResumed: this.stream.isResumed,
      wasSent: this.sends > 0,
      wasRefused,
      dueAt,
      deadlineAt,
    });
  }

  /** Refuses a request at once if its backends can be reached on no path: to wait would not help its caller. */
  private backendsUnreachable(): void {
    this.search.release();
    if (this.answer.hasBegun) return this.wait();
    const { retryAfterMs } = this.context.paths;
    const unreachable = this.context.backendWatch.reachability.unreachableCount;
    this.demand.expectRetry(retryAfterMs);
    this.refuseFull(retryAfterMs, { unreachable });
  }

  private backendsFull(retryAfterMs: number): void {
    if (this.answer.hasBegun) return this.wait();
    this.search.withdrawUntil(retryAfterMs);
    this.refuseFull(retryAfterMs, { fullForMs: Math.round(retryAfterMs) });
  }

  private holdOrRefuse(): void {
    if (this.context.paths.isCutOff()) return this.backendsUnreachable();
    if (this.stream.hasLostVersion()) {
      return this.refuse('stream_not_resumable', undefined, {
        version: this.stream.softwareVersion,
      });
    }
    // A suspect is sent once the suspects before it have begun to answer or have crashed their backends.
    if (this.suspicion.verdict() === 'suspect') return this.wait();
    const readyInMs = this.hold.readyInMs();
    const decision = this.hold.decide(readyInMs);
    if (decision.type === 'refuse' && !this.answer.hasBegun) {
      this.demand.expectRetry(decision.retryAfterMs);
      return this.refuseFull(decision.retryAfterMs, { readyInMs });
    }
    this.hold.begin(readyInMs);
    this.wait();
  }

  private refuseFull(
    retryAfterMs: number,
    reasons: Readonly<Record<string, number | undefined>>,
  ): void {
    const now = steadyNow();
    const waitedMs = Math.round(now - this.request.arrivedAt);
    const hasComeBack = Number(this.wasRefused);
    const inputs = { ...reasons, waitedMs, hasComeBack, ...this.stateFields(now) };
    this.refuse('no_capacity', retryAfterMs, inputs);
  }

  private stateFields(now: number): Record<string, number | undefined> {
    return decisionState(this.context, this.match.service, this.configurationVersion, now);
  }

  private wait(): void {
    this.demand.setWaiting(true);
    clearTimeout(this.recheckTimer);
    this.recheckTimer = setTimeout(() => this.recheck(), RECHECK_INTERVAL_MS);
  }

  private send(backend: BackendRecord): void {
    const { context, match, request } = this;
    const { route } = match;
    const now = steadyNow();
    const denial = this.admission.checkKey();
    if (denial !== undefined) return this.refuseDenied(denial);
    if (this.isCondemned()) return this.refuseCrashing();
    // Since the slot was granted, the backend may have announced that it is leaving or requested a backoff.
    if (!this.search.isUsable(backend.id)) return this.restartSearch();
    if (!this.suspicion.takeTurn(backend.id)) return this.waitForTurn();
    const path = this.relays.pathTo(backend.address);
    if (path === undefined) return this.backendsUnreachable();
    if (this.sends > 0 && !this.retries.take()) return this.stopRetrying();
    const relay = path.type === 'relay' ? path.peer : undefined;
    this.demand.setWaiting(false);
    clearTimeout(this.recheckTimer);
    this.hold.end(true);
    this.sends += 1;
    this.search.recordSent(backend.id);
    this.inFlight.begin(backend.id);
    if (this.sends === 1) {
      context.metrics.waitSeconds.observe({ route: route.name }, (now - request.arrivedAt) / 1000);
    }
    const lastEventId = this.answer.lastEventId ?? request.head.lastEventId;
    this.log('sent', {
      ...sentFields(context, { backend, request, lastEventId, relay, now }),
      inFlight: this.search.inFlightAt(backend),
      sends: this.sends,
      remainingMs: Math.round(this.deadlineAt - now),
      ...this.stateFields(now),
    });
    const rateLimit = context.permits.recordedLimit(backend);
    const isResumed = this.answer.hasBegun || request.head.lastEventId !== undefined;
    this.attempt = new Attempt(context, {
      backend,
      route,
      request,
      sendNumber: this.sends,
      tenant: this.admission.tenant,
      priority: context.slots && GRANTED_PRIORITY,
      relay,
      remainingMs: this.deadlineAt - now,
      lastEventId,
      firstByteTimeoutMs: firstByteTimeoutMs(route, this.runs, this.sends),
      stallTimeoutMs: stallTimeoutMs(route, this.runs, this.sends),
      hasAlternative: () => this.search.hasAlternative(),
      reserveRetry: () => this.retries.reserve(),
      onLeaving: () => context.leavingNotices.recordShutdown(backend, request.head.attemptId),
      onLimits: (limits) =>
        context.permits.recordAnswer(backend, limits, rateLimit, request.head.attemptId),
      onBackoff: (backoffMs) => this.handleBackoff(backend, backoffMs),
      onTimeout: () => this.backendSilent(backend),
      onEvent: () => this.stream.recordForwarding(backend),
      gaps: gapRecorder(context, this.capacityQuery, backend.id, isResumed),
      answer: this.answer,
      boundary: this.boundary,
      onEnd: (end) => this.attemptEnded(backend, end),
    });
    this.relays.begin(path);
  }

  private restartSearch(): void {
    this.search.release();
    this.search.next();
  }

  /** Releases the slot and waits, because another suspect request was just sent to the backend. */
  private waitForTurn(): void {
    this.search.release();
    this.wait();
  }

  /**
   * Records a backoff. Nothing is sent to the backend until it ends, and requests that wait for the backend
   * here search for another one.
   */
  private handleBackoff(backend: BackendRecord, askedMs: number): void {
    const { backoffs, metrics } = this.context;
    const backoffMs = Math.round(backoffs.recordBackoff(backend, askedMs, steadyNow()));
    metrics.backoffs.inc();
    this.log('backend_rests', {
      backend: backend.id,
      askedMs: Math.round(askedMs),
      restMs: backoffMs,
    });
    this.context.recheckWaiting();
  }

  /**
   * Handles a backoff of all suitable backends: refuses the request at once, with the end of the first backoff
   * as retry time, unless another backend has the model sooner.
   */
  private backendsBackOff(backoffMs: number): void {
    if (this.answer.hasBegun) return this.wait();
    const readyInMs = this.hold.readyInMs();
    if (readyInMs !== undefined && readyInMs < backoffMs) return this.holdOrRefuse();
    this.demand.expectRetry(backoffMs);
    this.refuseFull(backoffMs, { restForMs: Math.round(backoffMs) });
  }

  /**
   * Handles a lack of permits at all suitable backends: waits if a permit or another backend is expected in
   * time, otherwise refuses with a retry time.
   */
  private backendsLimited(retryAfterMs: number): void {
    const forecastMs = this.hold.readyInMs() ?? Infinity;
    const readyInMs = Math.min(retryAfterMs, forecastMs);
    const decision = this.hold.decide(readyInMs);
    if (decision.type === 'hold' || this.answer.hasBegun) return this.wait();
    this.demand.expectRetry(decision.retryAfterMs);
    this.refuseFull(decision.retryAfterMs, { limitedForMs: Math.round(retryAfterMs) });
  }

  /**
   * Leaves the request at an unresponsive backend, but reports it as waiting so that the owner loads its model
   * at another one.
   */
  private backendSilent(backend: BackendRecord): void {
    this.context.health.recordNoResponse(backend.id, steadyNow());
    this.demand.setWaiting(true);
    this.log('backend_awaited', { backend: backend.id, ...this.stateFields(steadyNow()) });
  }

  private stopRetrying(): void {
    if (this.runs > 0) return this.giveUp(this.lastRan, 'the retry budget is exhausted');
    this.refuse('engine_refused', 500);
  }

  private attemptEnded(backend: BackendRecord, end: AttemptEnd): void {
    if (this.ended) return;
    const relay = this.attempt?.relay;
    const connection = this.attempt?.connection;
    const attempt = { backend, relay, model: this.model, end };
    this.releaseAttempt(hasBackendFailed(this.context, attempt));
    if (relay !== undefined && this.relayEnded(relay, backend, end)) return;
    recordBackendHealth(this.context, attempt, () => this.search.recordRefusal(backend.id));
    if (end.type === 'done') {
      this.suspicion.recordAnswer(end.status < 400);
      return this.finish(end.status < 400 ? 'served' : 'failed');
    }
    this.log('attempt_failed', {
      backend: backend.id,
      ran: end.ran,
      reached: end.reached,
      reason: end.reason,
      relay,
      localPort: connection?.localPort,
      reused: connection?.isReused,
      sends: this.sends,
    });
    // An attempt that never reached its backend does not count as a send.
    if (!end.reached) this.sends -= 1;
    if (end.ran !== 'no') {
      this.runs += 1;
      this.lastRan = end.ran;
    }
    const history = { runs: this.runs, sends: this.sends };
    const step = stepAfterFailure(this.match.route, end, history);
    const examined = this.suspicion.examine(backend, relay, end);
    if (step === 'retry') return this.dispatchAfter(examined);
    if (end.answer !== undefined && !this.answer.hasBegun) {
      this.answer.sendComplete(end.answer);
      return this.finish('failed');
    }
    if (step === 'refuse') return this.refuse('engine_refused', 300);
    this.giveUp(this.lastRan, end.reason);
  }

  /** Handles the end of an attempt through another daemon. Returns true if that daemon refused, and the request is sent again. */
  private relayEnded(relay: string, backend: BackendRecord, end: AttemptEnd): boolean {
    const failure = end.type === 'failed' ? end.relayFailure : undefined;
    if (!this.relays.end(relay, failure)) return false;
    this.log('relay_refused', { relay, backend: backend.id, reason: failure });
    this.sends -= 1;
    this.search.recordNotSent(backend.id);
    this.dispatch();
    return true;
  }

  /** Dispatches the request again once it is known whether it has crashed its backend. */
  private dispatchAfter(examined: Promise<void> | undefined): void {
    if (examined === undefined) return this.dispatch();
    this.boundary.watch(examined.then(() => this.dispatch()));
  }

  /** Releases what an ended attempt holds: the backend no longer works on the request. */
  private releaseAttempt(hasFailed = false): void {
    this.inFlight.end();
    this.attempt = undefined;
    this.suspicion.endTurn();
    this.search.release(hasFailed);
    this.demand.setWaiting(false);
  }

  private deadlinePassed(): void {
    if (this.ended) return;
    if (this.sends === 0 || (this.attempt === undefined && this.runs === 0)) {
      return this.refuse('deadline_unreachable', undefined);
    }
    this.giveUp('unknown', 'the deadline has passed', 'deadline_exceeded_running');
  }

  private callerClosed(): void {
    if (this.ended) return;
    this.log('caller_left', { sends: this.sends });
    this.finish('caller_left');
  }

  private refuse(
    kind: RefusalKind,
    retryAfterMs: number | undefined,
    inputs: LogFields = {},
  ): void {
    // A refusal states that the request has not run.
    if (this.answer.hasBegun || this.runs > 0) return this.giveUp(this.lastRan, kind);
    this.context.metrics.refusals.inc({ kind, tenant: this.admission.tenant?.name ?? '' });
    this.log('refused', {
      kind,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
      ...inputs,
    });
    this.answer.sendError(kind, retryAfterMs);
    this.finish('refused');
  }

  /** Ends a request that has run or may have run. */
  private giveUp(
    ran: Ran,
    reason: string,
    kind: 'deadline_exceeded_running' | undefined = undefined,
  ): void {
    this.log('given_up', { ran, reason, begun: this.answer.hasBegun });
    const fallback = ran === 'yes' ? 'engine_failed' : 'engine_outcome_unknown';
    if (this.answer.hasBegun) this.answer.disconnect();
    else this.answer.sendError(kind ?? fallback, undefined);
    this.finish('failed');
  }

  /** Whether the request has run, or may be running at a backend. */
  private mayHaveRun(): boolean {
    return this.runs > 0 || this.attempt !== undefined || this.inFlight.backend !== undefined;
  }

  /** Ends the request after an unexpected exception, which is a defect of this program. All other requests go on. */
  private endAfterFault(): void {
    if (this.ended) return this.answer.disconnectIfIncomplete();
    if (this.answer.isComplete) return this.finish('failed');
    // The exception may have come before the end of the last attempt was recorded.
    if (this.sends > 0 || this.mayHaveRun()) this.giveUp('unknown', 'internal');
    else this.refuse('internal_not_sent', FAULT_RETRY_AFTER_MS);
  }

  private finish(end: 'served' | 'failed' | 'refused' | 'caller_left'): void {
    if (this.ended) return;
    this.demand.setWaiting(false);
    this.hold.end(false);
    this.ended = true;
    clearTimeout(this.recheckTimer);
    this.deadlineTimeout?.cancel();
    const mayHaveRun = end === 'served' || this.mayHaveRun();
    if (this.attempt !== undefined) {
      if (this.attempt.relay !== undefined) this.context.paths.recordEnded(this.attempt.relay);
      this.attempt.abort();
    }
    this.inFlight.end();
    this.attempt = undefined;
    this.suspicion.endTurn();
    this.search.release();
    this.admission.end(mayHaveRun);
    this.context.exchanges.delete(this);
    this.context.answers.addBuffered(-this.request.body.length);
    const { route } = this.match;
    const timing = timingFields(route, this.answer, this.request.arrivedAt);
    this.context.metrics.requests.inc({ route: route.name, end });
    this.context.metrics.answerSeconds.observe({ route: route.name }, timing.milliseconds / 1000);
    this.log('request_ended', { end, ...timing, sends: this.sends });
  }
}
