/**
 * A router's decisions: which requests wait, which replica takes a request, what
 * happens when a connection fails, and when a request is refused. Deterministic:
 * it performs no I/O and uses no clock and no random numbers.
 *
 * A request moves through the phases claiming (only with an idempotency key) ->
 * waiting -> sent -> streaming -> ended. Once a byte of a non-repeatable request may
 * have been sent, the router sends the request again only if the engine confirms that
 * it did not run.
 */
import { responseFor, type ErrorKind } from '../common/errors.js';
import type { ReplicaLoad, RequestRefusal } from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';
import { isRefusal, type TenantLocation } from './pool-messages.js';
import type { RoutedRequest, RouterEffect, RouterEvent } from './router-messages.js';
import { deadlineKind, type RequestState, type RouterOptions } from './router-request.js';
import { TenantRoute } from './tenant-route.js';
import { TokenBucket } from './token-bucket.js';

/** Minimum milliseconds between two wake messages for one tenant while requests wait. */
const WAKE_PERIOD_MS = 500;
/** Milliseconds between two wake messages that renew the subscription of a tenant with requests in flight. */
const RENEW_PERIOD_MS = 5_000;
/** Milliseconds without use after which a tenant's state is removed. */
const IDLE_ROUTE_TIMEOUT_MS = 20_000;
/** Delay in milliseconds before each attempt to resume a broken stream. */
const RESUME_DELAYS_MS = [0, 100, 400, 1_000] as const;
/** Number of engine refusals of one request after which the router refuses the caller. */
const MAX_REFUSALS = 8;
/** Second runs allowed per request. */
const RETRIES_PER_REQUEST = 0.1;
/** Second runs allowed per second, independent of the number of requests. */
const RETRIES_PER_SECOND = 1;
/** Maximum number of second runs that can accumulate. */
const RETRY_BURST = 10;

/** The requests and tenant locations at one router. */
export class Router {
  private readonly requests = new Map<string, RequestState>();
  private readonly routes = new Map<string, TenantRoute>();
  private readonly leavingEngines = new Set<string>();
  private readonly retryTokens: TokenBucket;
  private draining = false;
  private effects: RouterEffect[] = [];

  constructor(
    private readonly options: RouterOptions,
    now: number,
  ) {
    this.retryTokens = new TokenBucket(RETRIES_PER_SECOND, RETRY_BURST, now);
  }

  /** Number of requests that have not ended. */
  get size(): number {
    return this.requests.size;
  }

  /** Number of requests that wait in queues. */
  waitingCount(): number {
    let waiting = 0;
    for (const route of this.routes.values()) waiting += route.queue.size;
    return waiting;
  }

  /** Returns a tenant's state at this router, for the status page. */
  route(tenant: string): TenantRoute | undefined {
    return this.routes.get(tenant);
  }

  /** Handles one event and returns the effects to perform. */
  handle(event: RouterEvent, now: number): RouterEffect[] {
    this.effects = [];
    switch (event.type) {
      case 'arrived':
        this.requestArrived(event.request, now);
        break;
      case 'claim_settled':
        this.claimSettled(event.id, event.outcome, now);
        break;
      case 'accepted':
        this.requestAccepted(event.id, event.load, now);
        break;
      case 'token':
        this.tokenReceived(event.id);
        break;
      case 'refused':
        this.refusedByEngine(event.id, event.refusal, now);
        break;
      case 'broken':
        this.connectionBroken(event.id, event.sent, now);
        break;
      case 'cancelled':
        this.requestCancelled(event.id, event.ran, now);
        break;
      case 'done':
        this.finish(event.id, now);
        break;
      case 'deadline':
        this.deadlinePassed(event.id, now);
        break;
      case 'caller_gone':
        this.callerGone(event.id, now);
        break;
      case 'location':
        this.locationChanged(event.from, event.location, now);
        break;
      case 'engine_leaving':
        this.engineLeaving(event.engine, now);
        break;
      case 'configuration_changed':
        this.configurationChanged(now);
        break;
      case 'drain':
        this.drain(now);
        break;
      case 'tick':
        this.tick(now);
        break;
    }
    return this.effects;
  }

  private requestArrived(request: RoutedRequest, now: number): void {
    const spec = this.options.directory.tenant(request.tenant);
    const refusal = this.admissionRefusal(request, spec, now);
    if (refusal !== undefined) {
      this.effects.push({ type: 'refuse', id: request.id, ...refusal });
      return;
    }
    const needsClaim = request.idempotencyKey !== undefined;
    const state: RequestState = {
      request,
      phase: needsClaim ? 'claiming' : 'waiting',
      engine: '',
      incarnation: '',
      claimed: !needsClaim,
      started: false,
      mayHaveRun: false,
      tokens: 0,
      resumes: 0,
      refusals: 0,
    };
    this.requests.set(request.id, state);
    this.retryTokens.add(RETRIES_PER_REQUEST, now);
    if (needsClaim) this.effects.push({ type: 'claim', request });
    else this.enqueue(state, now);
  }

  private admissionRefusal(
    request: RoutedRequest,
    spec: TenantSpec | undefined,
    now: number,
  ): { kind: ErrorKind; reason: string; retryAfterMs?: number } | undefined {
    if (this.draining) return { kind: 'draining', reason: 'this daemon is stopping' };
    if (spec === undefined) return { kind: 'unknown_tenant', reason: 'the tenant does not exist' };
    if (request.deadline <= now) {
      return { kind: 'deadline_exceeded_waiting', reason: 'the deadline has already passed' };
    }
    const route = this.routeOf(spec, now);
    if (route.queue.size >= spec.limits.queue) {
      return { kind: 'queue_full', reason: `${route.queue.size} requests are already waiting` };
    }
    const allowed = Math.ceil(spec.limits.inFlight / route.routers());
    if (route.inFlight + route.queue.size >= allowed) {
      return {
        kind: 'concurrency_limited',
        reason: `${allowed} requests are already running or waiting`,
      };
    }
    const retryAfterMs = route.takeRateToken(spec, now);
    if (retryAfterMs === 0) return undefined;
    return {
      kind: 'rate_limited',
      reason: 'the limit of requests per second is exceeded',
      retryAfterMs,
    };
  }

  private routeOf(spec: TenantSpec, now: number): TenantRoute {
    const existing = this.routes.get(spec.name);
    if (existing !== undefined) return existing;
    const route = new TenantRoute(spec, now);
    this.routes.set(spec.name, route);
    return route;
  }

  private claimSettled(
    id: string,
    outcome: 'granted' | 'taken' | 'unavailable',
    now: number,
  ): void {
    const state = this.requests.get(id);
    if (state?.phase !== 'claiming') return;
    if (outcome === 'granted') {
      state.claimed = true;
      this.enqueue(state, now);
      return;
    }
    const kind = outcome === 'taken' ? 'duplicate_request' : 'claim_unavailable';
    this.refuse(state, kind, 'the idempotency key could not be claimed', now);
  }

  private enqueue(state: RequestState, now: number): void {
    const route = this.routes.get(state.request.tenant);
    if (route === undefined) {
      this.refuse(state, 'unknown_tenant', 'the tenant was deleted', now);
      return;
    }
    state.phase = 'waiting';
    state.engine = '';
    route.queue.push(state.request);
    route.lastUsedAt = now;
    this.dispatch(state.request.tenant, now);
    if (state.phase !== 'waiting') return;
    this.refuseIfUnserviceable(state, now);
    if (this.requests.has(state.request.id)) this.wake(state.request.tenant, now, false);
  }

  /** Sends waiting requests, most urgent first, while replicas have free capacity. */
  private dispatch(tenant: string, now: number): void {
    const route = this.routes.get(tenant);
    if (route === undefined) return;
    while (route.queue.size > 0) {
      const replica = this.options.choice.choose(route.usableReplicas(now, this.leavingEngines));
      if (replica === undefined) return;
      const request = route.queue.shift();
      const state = request === undefined ? undefined : this.requests.get(request.id);
      if (state === undefined) continue;
      state.phase = 'sent';
      state.engine = replica.engine;
      state.incarnation = replica.incarnation;
      route.countSent(replica.engine);
      route.lastUsedAt = now;
      const { engine, incarnation } = replica;
      this.effects.push({ type: 'send', id: state.request.id, engine, incarnation });
    }
  }

  /** Refuses a waiting request that no pool can serve before its deadline; the refusal carries a retry time if known. */
  private refuseIfUnserviceable(state: RequestState, now: number): void {
    const tenant = state.request.tenant;
    const route = this.routes.get(tenant);
    const pools = this.options.directory.routes(tenant);
    if (route === undefined || route.isLoaded()) return;
    if (pools.length === 0) {
      // A newly declared tenant receives its quota shortly; a tenant with a maximum of 0 replicas never does.
      const cap = this.options.directory.tenant(tenant)?.maxReplicas ?? 0;
      if (cap === 0) this.refuse(state, 'no_capacity', 'the tenant allows no replicas', now);
      return;
    }
    const locations = pools.map((pool) => route.locationOf(pool.pool));
    if (locations.every((location) => location !== undefined && isRefusal(location))) {
      const retryTimes = locations.map((location) => location?.retryAfterMs ?? 0);
      const failed = locations.some((location) => location?.state === 'load_failed');
      const kind = failed ? 'load_failed' : 'no_capacity';
      this.refuse(state, kind, 'no pool can load a replica now', now, Math.min(...retryTimes));
      return;
    }
    const loading = locations.find((location) => location?.state === 'loading');
    if (loading === undefined || now + loading.readyInMs <= state.request.deadline) return;
    const reason = `a replica is expected in ${Math.round(loading.readyInMs)} ms`;
    this.refuse(state, 'deadline_unreachable', reason, now, loading.readyInMs);
  }

  /** Sends a wake to the owner of the first suitable pool; the owner combines it with other routers' wakes. */
  private wake(tenant: string, now: number, force: boolean): void {
    const route = this.routes.get(tenant);
    if (route === undefined) return;
    if (!force && now - route.lastWakeAt < WAKE_PERIOD_MS) return;
    const target = route.wakeTarget(this.options.directory.routes(tenant));
    if (target === undefined) return;
    route.lastWakeAt = now;
    const deadline = route.queue.earliestDeadline();
    this.effects.push({
      type: 'wake',
      owner: target.owner,
      pool: target.pool,
      wake: {
        router: this.options.self,
        tenant,
        priority: route.queue.peek()?.priority ?? 0,
        deadline: Number.isFinite(deadline) ? deadline : 0,
        waiting: route.queue.size,
        inFlight: route.inFlight,
      },
    });
  }

  private requestAccepted(id: string, load: ReplicaLoad, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined || state.engine === '') return;
    state.phase = 'streaming';
    state.started = true;
    const reported = load.slots > 0 ? load.inFlight / load.slots : 0;
    this.routes.get(state.request.tenant)?.setReportedLoad(state.engine, reported, now);
  }

  private tokenReceived(id: string): void {
    const state = this.requests.get(id);
    if (state === undefined) return;
    state.tokens += 1;
    // The stream made progress, so the next break starts with the first resume delay again.
    state.resumes = 0;
  }

  /** Handles a refusal: the engine confirms that the request did not run, so another engine may take it. */
  private refusedByEngine(id: string, refusal: RequestRefusal, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined || state.engine === '') return;
    const route = this.routes.get(state.request.tenant);
    const engine = state.engine;
    this.release(state);
    if (refusal === 'busy') route?.pauseReplica(engine, now);
    else if (refusal === 'leaving') this.engineLeaving(engine, now);
    else route?.removeEngine(engine);
    state.refusals += 1;
    if (state.refusals >= MAX_REFUSALS) {
      this.refuse(
        state,
        'engine_refused',
        `engines refused the request ${state.refusals} times`,
        now,
      );
      return;
    }
    this.enqueue(state, now);
  }

  private connectionBroken(id: string, sent: boolean, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined || state.engine === '') return;
    if (!sent && state.phase === 'sent') {
      this.refusedByEngine(id, 'not_loaded', now);
      return;
    }
    const resumeDelayMs = RESUME_DELAYS_MS[state.resumes];
    if (resumeDelayMs !== undefined) {
      state.phase = 'resuming';
      state.resumes += 1;
      this.effects.push({ type: 'resume', id, engine: state.engine, delayMs: resumeDelayMs });
      return;
    }
    state.phase = 'cancelling';
    const { engine, incarnation } = state;
    this.effects.push({ type: 'cancel', id, engine, incarnation });
  }

  /** Handles a lost stream after its cancellation, depending on whether the engine reports that the request ran. */
  private requestCancelled(id: string, ran: 'no' | 'yes' | 'unknown', now: number): void {
    const state = this.requests.get(id);
    if (state?.phase !== 'cancelling') return;
    const engine = state.engine;
    this.release(state);
    this.routes.get(state.request.tenant)?.removeEngine(engine);
    // Once the engine has accepted the request, a later report that it did not run is wrong.
    const actuallyRan = state.started ? 'yes' : ran;
    if (actuallyRan === 'no') {
      state.refusals += 1;
      this.enqueue(state, now);
      return;
    }
    const hasNoTokens = state.tokens === 0;
    if (state.request.repeatable && hasNoTokens && this.retryTokens.take(now)) {
      state.started = false;
      state.mayHaveRun = true;
      this.enqueue(state, now);
      return;
    }
    const kind = actuallyRan === 'yes' ? 'engine_failed' : 'engine_outcome_unknown';
    this.refuse(state, kind, 'the engine failed during the answer', now);
  }

  private finish(id: string, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined) return;
    this.release(state);
    this.requests.delete(id);
    const route = this.routes.get(state.request.tenant);
    if (route !== undefined) route.lastUsedAt = now;
    this.dispatch(state.request.tenant, now);
  }

  private deadlinePassed(id: string, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined) return;
    const kind = deadlineKind(state);
    if (state.engine !== '') {
      this.effects.push({ type: 'abandon', id, engine: state.engine });
    }
    this.refuse(state, kind, 'the deadline has passed', now);
  }

  private callerGone(id: string, now: number): void {
    const state = this.requests.get(id);
    if (state === undefined) return;
    if (state.engine !== '') this.effects.push({ type: 'abandon', id, engine: state.engine });
    this.end(state, now);
  }

  private refuse(
    state: RequestState,
    kind: ErrorKind,
    reason: string,
    now: number,
    retryAfterMs?: number,
  ): void {
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    const claimsNotRun = responseFor(kind).ran === 'no';
    const mayHaveRun = state.mayHaveRun || state.engine !== '';
    const reportedKind = claimsNotRun && mayHaveRun ? 'engine_outcome_unknown' : kind;
    this.effects.push({
      type: 'refuse',
      id: state.request.id,
      kind: reportedKind,
      reason,
      ...retry,
    });
    this.end(state, now);
  }

  private end(state: RequestState, now: number): void {
    this.routes.get(state.request.tenant)?.queue.remove(state.request.id);
    this.release(state);
    this.requests.delete(state.request.id);
    this.dispatch(state.request.tenant, now);
  }

  private release(state: RequestState): void {
    if (state.engine === '') return;
    this.routes.get(state.request.tenant)?.countEnded(state.engine);
    state.engine = '';
  }

  private locationChanged(from: string, location: TenantLocation, now: number): void {
    const route = this.routes.get(location.tenant);
    if (route === undefined) return;
    if (location.state === 'not_owner') {
      const owner = this.ownerOf(location);
      if (owner === from) route.dropLocation(location.pool);
      return;
    }
    if (!route.setLocation(location)) return;
    this.serveWaiting(location.tenant, now);
    if (isRefusal(location) && route.queue.size > 0) this.wake(location.tenant, now, true);
  }

  private ownerOf(location: TenantLocation): string | undefined {
    const routes = this.options.directory.routes(location.tenant);
    return routes.find((route) => route.pool === location.pool)?.owner;
  }

  /** Dispatches waiting requests, and refuses those that cannot be served before their deadline. */
  private serveWaiting(tenant: string, now: number): void {
    this.dispatch(tenant, now);
    const route = this.routes.get(tenant);
    for (const request of route?.queue.items() ?? []) {
      const state = this.requests.get(request.id);
      if (state !== undefined) this.refuseIfUnserviceable(state, now);
    }
  }

  private engineLeaving(engine: string, now: number): void {
    this.leavingEngines.add(engine);
    for (const [tenant, route] of this.routes) {
      if (!route.removeEngine(engine)) continue;
      if (route.queue.size > 0) this.wake(tenant, now, true);
    }
  }

  private configurationChanged(now: number): void {
    for (const [tenant, route] of this.routes) {
      route.retainPools(this.options.directory.routes(tenant));
      if (this.options.directory.tenant(tenant) !== undefined) continue;
      for (const request of route.queue.items()) {
        const state = this.requests.get(request.id);
        // The refusal of the request before may have let this one be sent.
        if (state?.phase !== 'waiting') continue;
        this.refuse(state, 'unknown_tenant', 'the tenant was deleted', now);
      }
    }
  }

  /** Stops accepting requests and refuses unsent ones, so that callers can use another daemon at once. */
  private drain(now: number): void {
    this.draining = true;
    for (const state of [...this.requests.values()]) {
      if (state.engine !== '') continue;
      this.refuse(state, 'draining', 'this daemon is stopping', now);
    }
  }

  private tick(now: number): void {
    for (const [tenant, route] of this.routes) {
      if (route.queue.size > 0) {
        this.serveWaiting(tenant, now);
        if (route.queue.size > 0) this.wake(tenant, now, false);
      } else if (route.inFlight > 0 && now - route.lastWakeAt >= RENEW_PERIOD_MS) {
        this.wake(tenant, now, true);
      } else if (this.isIdle(route, now)) {
        this.routes.delete(tenant);
      }
    }
  }

  private isIdle(route: TenantRoute, now: number): boolean {
    return route.inFlight === 0 && now - route.lastUsedAt > IDLE_ROUTE_TIMEOUT_MS;
  }

  /** Allows the use of an engine that the platform's list shows as live again. */
  engineReturned(engine: string): void {
    this.leavingEngines.delete(engine);
  }
}
