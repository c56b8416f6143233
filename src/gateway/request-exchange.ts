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
import { stepAfterFailure } from '../core/attempt-policy.js';
import { FIRST_PART_MS } from '../core/hold-policy.js';
import type { RouteMatch } from '../core/routing-table.js';
import type { BackendRecord, ModelReference } from '../core/service-configuration.js';
import type { Attempt, AttemptEnd } from './attempt.js';
import { CallerAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import type { CapacityQuery } from './expected-capacity.js';
import type { GatewayContext } from './gateway-context.js';
import { InFlightEntry } from './in-flight-entry.js';
import { decisionState, timingFields } from './decision-state.js';
import { hasBackendFailed, recordBackendHealth } from './attempt-health.js';
import type { RefusalKind } from './refusal-kind.js';
import { RequestAttempts } from './request-attempts.js';
import { RequestBackup, type AttemptResources } from './request-backup.js';
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
import { TriedBackends } from './tried-backends.js';

/** Time between the last moment for an answer and the caller's own deadline. */
const DEADLINE_MARGIN_MS = 30;
/** Interval between rechecks of a waiting request when nothing changes. */
const RECHECK_INTERVAL_MS = 50;
/** Retry time for a caller whose request a defect of this daemon has ended before it was sent. */
const FAULT_RETRY_AFTER_MS = 1_000;

/** A running request. Whatever the event loop and other modules call runs inside the boundary of the request. */
export class RequestExchange {
  private readonly boundary: FaultBoundary;
  private readonly log: RequestLog;
  private readonly deadlineAt: number;
  private readonly answer: CallerAnswer;
  private attempt: Attempt | undefined;
  /** The attempt beside one at a silent backend. */
  private readonly backup: RequestBackup;
  /** The attempt that was reported to wait for its backend. */
  private awaited: Attempt | undefined;
  private recheckTimer: NodeJS.Timeout | undefined;
  private deadlineTimeout: ReplyTimeout | undefined;
  private ended = false;
  private readonly attempts: RequestAttempts;
  private readonly admission: TenantAdmission;
  private readonly tried = new TriedBackends();
  private search: RequestDispatch;
  /** Whether the caller was most likely refused before, by this daemon or another. */
  private readonly wasRefused: boolean;
  private readonly demand: RequestDemand;
  private inFlight: InFlightEntry;
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
        sends: this.attempts.sends,
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
    this.wasRefused = context.recordCaller(route.name, request.head.deadlineMs);
    const allowed = Math.min(request.head.deadlineMs ?? Infinity, route.timeoutMs);
    this.deadlineAt = request.arrivedAt + allowed - DEADLINE_MARGIN_MS;
    const logRetry = (event: string, fields: LogFields): void =>
      this.log(event, { ...fields, sends: this.attempts.sends, runs: this.attempts.runs });
    this.retries = new RequestRetries(context, match.service.name, this.deadlineAt, logRetry);
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
    this.backup = this.makeBackup();
    this.search = this.makeSearch();
    this.relays = new RequestRelays(context);
    this.attempts = this.makeAttempts();
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
    const remaining = Math.max(0, this.deadlineAt - steadyNow());
    const endAtDeadline = this.boundary.guard(() => this.deadlinePassed());
    this.deadlineTimeout = startReplyTimeout(remaining, endAtDeadline);
    // The body may have taken longer than the caller waits.
    if (steadyNow() >= this.deadlineAt) return this.deadlinePassed();
    const denial = this.admission.checkKey();
    if (denial !== undefined) return this.refuse(denial.kind, denial.retryAfterMs, denial.inputs);
    const unitsCharged = this.boundary.guard((denied: TenantDenial | undefined) => {
      if (this.ended) return;
      if (denied === undefined) this.admitted();
      else this.refuse(denied.kind, denied.retryAfterMs, denied.inputs);
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

  /** Rechecks a waiting request after a change that may allow it to be sent. */
  recheck(): void {
    this.boundary.run(() => this.recheckNow());
  }

  private recheckNow(): void {
    // A condemned request that is queued or has just started at a backend is withdrawn before it crashes that
    // backend too.
    if (!this.ended && !this.answer.hasBegun && this.suspicion.isCondemned)
      return this.refuseCrashing();
    if (this.attempt !== undefined) return this.backup.recheck();
    if (this.demand.isWaiting || this.search.isPending) this.dispatch();
  }

  /** Handles a restart of a backend under the same id: earlier refusals and sends no longer count. */
  backendRestarted(backend: BackendRecord): void {
    this.boundary.run(() => this.resetBackend(backend));
  }

  private resetBackend(backend: BackendRecord): void {
    const wasPending = this.search.isPending;
    this.tried.clear(backend.id);
    this.search.backendRestarted(backend.id);
    this.backup.backendRestarted(backend);
    // The request lost its place in the queue, and nothing else would recheck it.
    if (wasPending && !this.search.isPending) return this.wait();
    if (this.attempt?.backendId !== backend.id) return;
    this.inFlight.end();
    this.attempt.backendRestarted(backend.address);
  }

  /** Handles a partition from all backends: sends the request again on another path if it may be repeated. */
  partitioned(): void {
    this.boundary.run(() => {
      if (this.attempt?.relay === undefined && !this.context.paths.isCutOff()) this.backup.start();
    });
  }

  /** Reserves a retry if the request may soon need one: a daemon that stops gives up its share of the retry budget. */
  reserveRetry(): void {
    const mayNeedOne = this.backup.isOpen || this.retries.isBackingOff;
    if (mayNeedOne) this.boundary.run(() => this.retries.reserve());
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
    this.giveUp(this.attempts.lastRan === 'no' ? 'yes' : this.attempts.lastRan, 'the daemon stops');
  }

  private dispatch(): void {
    if (this.ended) return;
    if (this.suspicion.isCondemned) this.refuseCrashing();
    else if (this.retries.isBackingOff) this.wait();
    else this.search.next();
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

  private makeAttempts(): RequestAttempts {
    return new RequestAttempts({
      context: this.context,
      route: this.match.route,
      request: this.request,
      capacityQuery: this.capacityQuery,
      answer: this.answer,
      stream: this.stream,
      tried: this.tried,
      relays: this.relays,
      boundary: this.boundary,
      log: this.log,
      tenant: () => this.admission.tenant,
      deadlineAt: this.deadlineAt,
      stateFields: (now) => this.stateFields(now),
      onOpened: (attempt) => this.backup.attemptOpened(attempt),
      onSilent: (attempt, backend) => this.attemptSilent(attempt, backend),
      onProgress: (attempt) => this.backup.attemptProgressed(attempt),
      onEnd: (attempt, backend, end) => this.attemptEnded(attempt, backend, end),
    });
  }

  private makeBackup(): RequestBackup {
    return new RequestBackup({
      context: this.context,
      boundary: this.boundary,
      log: this.log,
      first: () => this.attempt,
      alternatives: () => this.search.alternatives(this.retries.isBackingOff),
      makeSearch: () => this.makeSearch(),
      makeInFlightEntry: () =>
        new InFlightEntry(this.context.tracker, this.match.service.name, this.model),
      // A request that may crash backends is sent to one at a time.
      reserve: () => this.suspicion.isSound && this.retries.reserve(),
      send: (backend, resources) => this.sendBackup(backend, resources),
      mayReplace: (overdue) => this.attempts.mayReplaceBackup(overdue),
      onCancelled: (attempt) => this.attempts.recordCancelled(attempt),
    });
  }

  /** Makes a search for a backend: for the backup as long as that owns it, otherwise for the request itself. */
  private makeSearch(): RequestDispatch {
    const isBackup = (): boolean => this.backup.owns(search);
    const search: RequestDispatch = new RequestDispatch(this.context, {
      service: this.match.service,
      model: this.model,
      sharedPrompt: this.request.head.sharedPrompt,
      capacityQuery: this.capacityQuery,
      slotDetails: () => this.slotDetails(),
      tried: this.tried,
      maySelect: (backend) =>
        this.stream.mayRunAt(backend) && (!isBackup() || this.backup.maySelect(backend)),
      mayRunAt: (backend) => this.suspicion.mayTakeTurn(backend),
      attempts: () => this.attempts.started,
      boundary: this.boundary,
      onSlot: (backend) => (isBackup() ? this.backup.sendTo(backend) : this.send(backend)),
      // A request stays in the queue of a full backend regardless of its latency goal: a refused caller that retries would be
      // queued behind those that waited. The slot allocator refuses at once any request that cannot be served in time.
      onQueued: () => {
        if (!isBackup()) this.demand.setWaiting(false);
      },
      onNone: () => (isBackup() ? this.backup.end() : this.holdOrRefuse()),
      onFull: (retryAfterMs) => (isBackup() ? this.backup.end() : this.backendsFull(retryAfterMs)),
      onBackoff: (backoffMs) => (isBackup() ? this.backup.end() : this.backendsBackOff(backoffMs)),
      onLimited: (retryAfterMs) =>
        isBackup() ? this.backup.end() : this.backendsLimited(retryAfterMs),
    });
    return search;
  }

  private slotDetails(): SlotDetails {
    const { request, admission, answer, stream, attempts, wasRefused, dueAt, deadlineAt } = this;
    const { route } = this.match;
    const needsModel = this.model !== undefined;
    const progress = { answer, stream, attempts };
    const times = { wasRefused, dueAt, deadlineAt };
    return slotDetailsOf({ request, route, admission, needsModel, ...progress, ...times });
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

  private refuseFull(retryAfterMs: number, reasons: LogFields): void {
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
    const denial = this.admission.checkKey();
    if (denial !== undefined) return this.sendDenied(denial);
    if (this.suspicion.isCondemned) return this.refuseCrashing();
    // Since the slot was granted, the backend may have announced that it is leaving or requested a backoff.
    if (!this.search.isUsable(backend.id)) {
      this.search.release();
      return this.search.next();
    }
    // Another suspect request was just sent to the backend.
    if (!this.suspicion.takeTurn(backend.id)) {
      this.search.release();
      return this.wait();
    }
    const path = this.relays.pathTo(backend.address);
    if (path === undefined) return this.backendsUnreachable();
    if (this.attempts.sends > 0 && !this.retries.take()) return this.stopRetrying();
    this.demand.setWaiting(false);
    clearTimeout(this.recheckTimer);
    this.hold.end(true);
    const { search, inFlight } = this;
    this.attempt = this.attempts.start(backend, path, { search, inFlight });
  }

  /** Handles a denied send: a caller that can't be refused any more waits for a daemon that may serve its key soon. */
  private sendDenied({ kind, retryAfterMs, inputs }: TenantDenial): void {
    const mayBeRefused = !this.answer.hasBegun && this.attempts.runs === 0;
    if (kind !== 'not_ready' || mayBeRefused) return this.refuse(kind, retryAfterMs, inputs);
    this.search.release();
    this.wait();
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
    const readyInMs = Math.min(retryAfterMs, this.hold.readyInMs() ?? Infinity);
    const decision = this.hold.decide(readyInMs);
    if (decision.type === 'hold' || this.answer.hasBegun) return this.wait();
    this.demand.expectRetry(decision.retryAfterMs);
    this.refuseFull(decision.retryAfterMs, { limitedForMs: Math.round(retryAfterMs) });
  }

  /** Starts a backup for an attempt at a silent backend, if another backend can take the request; otherwise waits. */
  private attemptSilent(attempt: Attempt, backend: BackendRecord): void {
    // Other requests avoid the backend from now on, also that of a backup.
    if (!attempt.wasSilent) this.context.health.recordNoResponse(backend.id, steadyNow());
    if (attempt !== this.attempt) return;
    if (this.backup.isOpen) return this.backup.replaceIfOverdue();
    this.backup.startIfPossible();
    if (this.ended || this.backup.isOpen || this.awaited === attempt) return;
    // The request stays at the backend, but is reported as waiting so that the owner loads its model at another one.
    this.awaited = attempt;
    this.demand.setWaiting(true);
    this.log('backend_awaited', { backend: backend.id, ...this.stateFields(steadyNow()) });
  }

  /** Sends the request to a second backend. Returns undefined if that is not allowed any more. */
  private sendBackup(backend: BackendRecord, resources: AttemptResources): Attempt | undefined {
    if (this.admission.checkKey() !== undefined || !this.suspicion.isSound) return undefined;
    if (!resources.search.isUsable(backend.id)) return undefined;
    const path = this.relays.pathTo(backend.address);
    if (path === undefined || !this.retries.take()) return undefined;
    if (this.tried.has(backend.id)) this.retries.backOff();
    return this.attempts.startBackup(backend, path, resources);
  }

  /** Handles an exhausted retry budget: a request whose caller has a part of the answer waits for it up to its deadline. */
  private stopRetrying(): void {
    if (this.answer.hasBegun) {
      this.search.release();
      this.retries.backOff();
      return this.wait();
    }
    if (this.attempts.runs > 0)
      return this.giveUp(this.attempts.lastRan, 'the retry budget is exhausted');
    this.refuse('engine_refused', 500);
  }

  private attemptEnded(attempt: Attempt, backend: BackendRecord, end: AttemptEnd): void {
    if (this.ended) return;
    const isBackup = this.backup.attempts.includes(attempt);
    const isSilent = attempt.wasSilent && end.type === 'failed' && end.unresponsive;
    const ended = { backend, relay: attempt.relay, model: this.model, end };
    const hasFailed = hasBackendFailed(this.context, ended);
    if (isBackup) this.backup.attemptEnded(attempt, hasFailed);
    else this.releaseAttempt(hasFailed);
    if (this.attempts.recordRelayEnd(attempt, backend, end))
      return isBackup ? undefined : this.continueAfter(undefined);
    if (!isSilent) recordBackendHealth(this.context, ended, this.tried);
    if (end.type === 'done') {
      this.suspicion.recordAnswer(end.status < 400);
      return this.finish(end.status < 400 ? 'served' : 'failed');
    }
    this.attempts.recordFailure(attempt, backend, end);
    const examined = this.suspicion.examine(backend, attempt.relay, end);
    // The first attempt goes on.
    if (isBackup) return;
    if (this.backup.isOpen) return this.continueAfter(examined);
    const step = stepAfterFailure(this.match.route, end, this.attempts);
    if (step === 'retry_after_backoff') this.retries.backOff();
    if (step === 'retry' || step === 'retry_after_backoff') return this.continueAfter(examined);
    if (end.answer !== undefined && !this.answer.hasBegun) {
      this.answer.sendComplete(end.answer);
      return this.finish('failed');
    }
    if (step === 'refuse') return this.refuse('engine_refused', 300);
    this.giveUp(this.attempts.lastRan, end.reason);
  }

  /**
   * Continues with a backup that was sent, or dispatches the request again.
   *
   * @param examined - Resolves when it is known whether the request has crashed its backend; undefined if nothing suggests that.
   */
  private continueAfter(examined: Promise<void> | undefined): void {
    const backup = this.backup.take();
    if (backup !== undefined) {
      ({ search: this.search, inFlight: this.inFlight, attempt: this.attempt } = backup);
      if (this.attempt !== undefined) return this.backup.resumeOverdue();
    }
    if (examined === undefined) return this.dispatch();
    this.search.release();
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
    if (this.attempts.sends === 0 || (this.attempt === undefined && this.attempts.runs === 0)) {
      return this.refuse('deadline_unreachable', undefined);
    }
    this.giveUp('unknown', 'the deadline has passed', 'deadline_exceeded_running');
  }

  private callerClosed(): void {
    if (this.ended) return;
    this.log('caller_left', { sends: this.attempts.sends });
    this.finish('caller_left');
  }

  private refuse(
    kind: RefusalKind,
    retryAfterMs: number | undefined,
    inputs: LogFields = {},
  ): void {
    // A refusal states that the request has not run.
    if (this.answer.hasBegun || this.attempts.runs > 0)
      return this.giveUp(this.attempts.lastRan, kind);
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
  private giveUp(ran: Ran, reason: string, kind?: 'deadline_exceeded_running'): void {
    this.log('given_up', { ran, reason, begun: this.answer.hasBegun });
    const fallback = ran === 'yes' ? 'engine_failed' : 'engine_outcome_unknown';
    if (this.answer.hasBegun) this.answer.disconnect();
    else this.answer.sendError(kind ?? fallback, undefined);
    this.finish('failed');
  }

  /** Whether the request has run, or may be running at a backend. */
  private mayHaveRun(): boolean {
    const isAtBackend = this.attempt !== undefined || this.inFlight.backend !== undefined;
    return this.attempts.runs > 0 || isAtBackend;
  }

  /** Ends the request after an unexpected exception, which is a defect of this program. All other requests go on. */
  private endAfterFault(): void {
    if (this.ended) return this.answer.disconnectIfIncomplete();
    if (this.answer.isComplete) return this.finish('failed');
    // The exception may have come before the end of the last attempt was recorded.
    if (this.attempts.sends > 0 || this.mayHaveRun()) this.giveUp('unknown', 'internal');
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
    this.attempts.abort(this.attempt, ...this.backup.attempts);
    this.backup.endAll();
    this.retries.end();
    this.inFlight.end();
    this.attempt = undefined;
    this.suspicion.endTurn();
    this.search.release();
    this.admission.end(mayHaveRun);
    this.context.exchanges.delete(this);
    const { route } = this.match;
    const timing = timingFields(route, this.answer, this.request.arrivedAt);
    this.context.metrics.requests.inc({ route: route.name, end });
    this.context.metrics.answerSeconds.observe({ route: route.name }, timing.milliseconds / 1000);
    this.log('request_ended', { end, ...timing, sends: this.attempts.sends });
  }
}
