/**
 * Finds the next backend for one request and a slot at that backend: chooses among the backends
 * that can take the request, requests a slot from the backend's slot allocator, and moves to another backend when
 * that is faster.
 */
import type { FaultBoundary } from '../common/fault-boundary.js';
import type { SlotResponse } from '../core/admission/slot-allocator.js';
import type { BackendCandidate } from '../core/backend-selection.js';
import type { BackendRecord, ModelReference, Service } from '../core/service-configuration.js';
import { poolOfSend, type ConnectionPool } from './backend-agent.js';
import type { BackendPermit, PermitDecision } from './backend-permits.js';
import { capacityFor, exemptFromEjection, type CapacityQuery } from './expected-capacity.js';
import type { GatewayContext } from './gateway-context.js';
import type { SlotClaim, SlotClaimParams } from './slot-admission.js';
import { steadyNow } from './steady-clock.js';
import type { TriedBackends } from './tried-backends.js';

/**
 * A request leaves a queue only for a wait that is shorter by this time, which the messages for the move take.
 */
const MIN_MOVE_GAIN_MS = 50;
/**
 * Maximum number of queues that one request leaves. The figures of other backends are delayed, and all requests
 * may move at once.
 */
const MAX_MOVES = 3;
/**
 * A request does not leave its queue for a backend with this share of failures or more, because such a backend
 * has free slots only as a result of its failures.
 */
const MAX_FAILURE_SHARE_TO_MOVE = 0.5;

/**
 * Maximum age of the service owner's load figures. The owner announces them 0.3 to 0.5 s late, and only when
 * they change.
 */
const MAX_OWNER_LOAD_AGE_MS = 1_500;

/** Properties of a request that are sent to slot allocators. */
export type SlotDetails = Omit<SlotClaimParams, 'backend' | 'ownerLoad' | 'onDecision'>;

/** Options of {@link RequestDispatch}. */
export interface DispatchOptions {
  readonly service: Service;
  /** The model that a backend must have loaded; undefined if the service's backends do not load models. */
  readonly model: ModelReference | undefined;
  readonly sharedPrompt: string | undefined;
  /** Properties of the request that the capacity estimates depend on. */
  readonly capacityQuery: CapacityQuery;
  readonly slotDetails: () => SlotDetails;
  /** What earlier attempts of the request have shown. */
  readonly tried: TriedBackends;
  /** Returns whether this search may choose a backend. */
  readonly maySelect: (backend: BackendRecord) => boolean;
  /** Returns whether the request may run at a backend together with the requests that run there. */
  readonly mayRunAt: (backend: string) => boolean;
  /** Returns the number of attempts so far. */
  readonly attempts: () => number;
  /** Runs the decisions of slot allocators and permit holders, which may arrive at any time. */
  readonly boundary: FaultBoundary;
  /** Called when the request may be sent to the backend. */
  readonly onSlot: (backend: BackendRecord) => void;
  /** Called when the request is queued at a backend, and again when the expected wait changes. */
  readonly onQueued: () => void;
  /** Called when no backend can take the request. */
  readonly onNone: () => void;
  /** Called when all suitable backends have requested a backoff, with the shortest remaining one. */
  readonly onBackoff: (backoffMs: number) => void;
  /**
   * Called when the suitable backends have rate limits and no permit left, with the time until the first
   * permit.
   */
  readonly onLimited: (retryAfterMs: number) => void;
  /** Called when all suitable backends are full for longer than the request can wait. */
  readonly onFull: (retryAfterMs: number) => void;
}

interface PendingSlot {
  readonly backend: BackendRecord;
  /** Steady time at which the wait should end; undefined until the slot allocator has replied. */
  expectedAt: number | undefined;
}

/** Finds backends and slots for one request. */
export class RequestDispatch {
  private permit: BackendPermit | undefined;
  private claim: SlotClaim | undefined;
  /**
   * Claim that was refused at once. If no other backend serves the request, the caller's retry is announced to
   * the claim's slot allocator.
   */
  private refusedClaim: SlotClaim | undefined;
  private pending: PendingSlot | undefined;
  /** Backend at which the queued request counts as in flight although it was not sent. */
  private countedAt: string | undefined;
  private moves = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: DispatchOptions,
  ) {}

  /** Searches for a backend. Call it again when the state of the backends has changed. */
  next(): void {
    const { pending } = this;
    if (pending !== undefined) {
      if (this.isUsable(pending.backend.id)) return this.moveIfSooner(pending);
      this.release();
    }
    const backend = this.choose();
    if (backend !== undefined) return this.requestSlot(backend);
    const fullForMs = this.options.tried.fullForMs(steadyNow());
    if (fullForMs !== undefined) return this.options.onFull(fullForMs);
    this.countQueuedAt(undefined);
    const limitedMs = this.options.tried.limitedForMs(steadyNow());
    if (limitedMs !== undefined) return this.options.onLimited(limitedMs);
    const backoffMs = this.shortestBackoffMs(steadyNow());
    if (backoffMs !== undefined) return this.options.onBackoff(backoffMs);
    this.options.onNone();
  }

  /** Returns whether the request may be sent to a backend now. */
  isUsable(backend: string): boolean {
    return this.usableBackends(steadyNow()).some(({ id }) => id === backend);
  }

  /** Whether a slot or permit was requested and not granted yet. */
  get isPending(): boolean {
    return this.pending !== undefined;
  }

  /** Records that the request was sent to a backend. */
  recordSent(backend: string): void {
    this.options.tried.recordSent(backend);
    this.permit?.use();
  }

  /** Releases the request's place at a backend that has restarted under the same id. */
  backendRestarted(backend: string): void {
    if (this.pending?.backend.id === backend) this.release();
  }

  /**
   * Releases the request's slot, permit and place in a queue.
   *
   * @param hasFailed - Whether the backend has failed the request.
   */
  release(hasFailed = false): void {
    this.permit?.release();
    this.permit = undefined;
    this.claim?.release(0, hasFailed);
    this.claim = undefined;
    this.pending = undefined;
    this.countQueuedAt(undefined);
  }

  /**
   * Counts the queued request as in flight at its full backend. The service owner adds copies of the model
   * based on this count. A request for a model that no backend has loaded is reported separately.
   */
  private countQueuedAt(backend: string | undefined): void {
    if (this.countedAt === backend) return;
    if (this.countedAt !== undefined) this.count(this.countedAt, -1);
    this.countedAt = backend;
    if (backend !== undefined) this.count(backend, 1);
  }

  private count(backend: string, change: 1 | -1): void {
    this.context.tracker.addInFlight(
      this.options.service.name,
      backend,
      this.options.model,
      change,
    );
  }

  /**
   * Withdraws the request from its queue because its caller gets a retry time. The request stays counted at the
   * backend until the caller is due to retry.
   */
  withdrawUntil(retryAfterMs: number): void {
    const backend = this.countedAt;
    (this.claim ?? this.refusedClaim)?.release(retryAfterMs);
    this.refusedClaim = undefined;
    this.release();
    if (backend === undefined) return;
    this.count(backend, 1);
    setTimeout(() => this.count(backend, -1), retryAfterMs).unref();
  }

  /** Returns the healthy backends that have a free slot, and as far as is known a permit, for the request; untried ones only, if so asked. */
  alternatives(onlyUntried: boolean): BackendRecord[] {
    const now = steadyNow();
    const healthy = this.healthy(this.usableBackends(now), now);
    return (onlyUntried ? this.untried(healthy) : healthy).filter(
      (backend) =>
        this.inFlightAt(backend) < backend.slots && !this.context.permits.isExhausted(backend, now),
    );
  }

  /**
   * Returns the number of requests in flight at a backend and queued for it, as its slot allocator announced.
   * Without that it uses the reports of all daemons, which are delayed. Both may be lower than this daemon's
   * own count, because it may have sent more requests since.
   */
  inFlightAt(backend: BackendRecord): number {
    const { tracker, directory, slots } = this.context;
    const now = steadyNow();
    const own = tracker.inFlightAt(backend.id);
    const status = slots?.statusOf(backend.id, now);
    if (status !== undefined) return Math.max(own, status.inFlight + status.waiting);
    return Math.max(own, directory.inFlightAt(backend, now));
  }

  /** Returns the backends that may be sent the request now. */
  private usableBackends(now: number): BackendRecord[] {
    const { backoffs, paths } = this.context;
    if (paths.isCutOff()) return [];
    return this.suitableBackends(now)
      .filter((backend) => !this.options.tried.isRefusing(backend.id, now))
      .filter((backend) => backoffs.remainingMs(backend, now) === 0)
      .filter((backend) => !this.isLimited(backend, now))
      .filter((backend) => !this.isBrittleAndFull(backend))
      .filter((backend) => this.options.mayRunAt(backend.id));
  }

  /** Returns whether a brittle backend has this daemon's part of its slots in use. Slot allocators count for all daemons. */
  private isBrittleAndFull(backend: BackendRecord): boolean {
    const { slots, permits, tracker } = this.context;
    if (slots !== undefined || permits.brittleBackends === 0) return false;
    const daemons = Math.ceil(this.context.budgetParts());
    return permits.isFull(backend, tracker.inFlightAt(backend.id), daemons);
  }

  /** Returns whether a backend has no permit for the request and still has a rate limit. */
  private isLimited(backend: BackendRecord, now: number): boolean {
    if (!this.options.tried.isLimited(backend.id, now)) return false;
    return this.context.permits.perSecond(backend) !== undefined;
  }

  /** Returns the backends that could serve the request now or later. */
  private suitableBackends(now: number): BackendRecord[] {
    const { directory } = this.context;
    const { service, model } = this.options;
    return directory
      .servingBackends(service.name)
      .filter((backend) => this.options.maySelect(backend))
      .filter((backend) => model === undefined || directory.holds(backend, model, now));
  }

  /**
   * Returns the shortest remaining backoff in milliseconds if all suitable backends have requested one;
   * otherwise undefined.
   */
  private shortestBackoffMs(now: number): number | undefined {
    const suitable = this.suitableBackends(now);
    const backoffs = suitable.map((backend) => this.context.backoffs.remainingMs(backend, now));
    const shortest = Math.min(...backoffs);
    return shortest > 0 && Number.isFinite(shortest) ? shortest : undefined;
  }

  /** Returns the usable backends that are not ejected and that the request was not sent to yet. */
  private untriedHealthy(now: number): BackendRecord[] {
    return this.untried(this.healthy(this.usableBackends(now), now));
  }

  private healthy(backends: readonly BackendRecord[], now: number): BackendRecord[] {
    return backends.filter(({ id }) => !this.context.health.isEjected(id, now));
  }

  private untried(backends: readonly BackendRecord[]): BackendRecord[] {
    return backends.filter(({ id }) => !this.options.tried.has(id));
  }

  private choose(): BackendRecord | undefined {
    const { context } = this;
    const { model, sharedPrompt } = this.options;
    const now = steadyNow();
    const usable = this.usableBackends(now);
    const healthy = this.healthy(usable, now);
    const untriedHealthy = this.untried(healthy);
    const withPermits = untriedHealthy.filter(
      (backend) => !context.permits.isExhausted(backend, now),
    );
    // The owner can load a model at another backend. A service without models has only these backends.
    const lastResort = model === undefined ? usable : [];
    const groups = [withPermits, untriedHealthy, healthy, lastResort];
    const best = groups.find((group) => group.length > 0) ?? this.exemptBackends(usable, now);
    const candidates = this.candidates(best, now);
    const chosen = context.selection.choose(candidates, sharedPrompt);
    return chosen === undefined ? undefined : context.directory.get(chosen.id);
  }

  /** Returns the pool of the connections that the request may use when it is sent next. */
  private nextPool(): ConnectionPool {
    return poolOfSend(this.options.attempts() + 1);
  }

  private exemptBackends(usable: readonly BackendRecord[], now: number): BackendRecord[] {
    return this.untried(exemptFromEjection(this.context, this.options.service.name, usable, now));
  }

  private candidate(
    backend: BackendRecord,
    capacity: ReturnType<typeof capacityFor>,
    now: number,
  ): BackendCandidate {
    const { context } = this;
    return {
      id: backend.id,
      sameZone: backend.zone === context.settings.zone,
      hasConnection: context.agent.hasIdleConnection(backend.address, this.nextPool()),
      slots: backend.slots,
      inFlight: this.inFlightAt(backend),
      failureShare: this.failureShare(backend.id, now),
      ...capacity(backend.id),
    };
  }

  /**
   * Returns the share of failed requests, 0 to 1: the higher of this daemon's own figure and the slot
   * allocator's figure for all daemons. A daemon that sends few requests notices failures late.
   */
  private failureShare(backend: string, now: number): number {
    const { health, slots } = this.context;
    return Math.max(health.failureShare(backend), slots?.failureShareOf(backend, now) ?? 0);
  }

  private candidates(backends: readonly BackendRecord[], now: number): BackendCandidate[] {
    const capacity = capacityFor(this.context, this.options.capacityQuery, now);
    return backends.map((backend) => this.candidate(backend, capacity, now));
  }

  private requestSlot(backend: BackendRecord): void {
    const { slots } = this.context;
    if (slots === undefined) return this.slotGranted(backend);
    const claim = slots.claim({
      ...this.options.slotDetails(),
      backend,
      ownerLoad: this.ownerLoad(backend),
      onDecision: this.options.boundary.guard((answer) => this.handleResponse(backend, answer)),
    });
    this.claim = claim;
    if (claim.isHeld) {
      this.countQueuedAt(undefined);
      return this.slotGranted(backend);
    }
    this.pending = { backend, expectedAt: undefined };
  }

  /**
   * Requests a permit only once the slot is granted: requests that wait in a queue with permits would reach the
   * backend in bursts.
   */
  private slotGranted(backend: BackendRecord): void {
    const { permits } = this.context;
    if (permits.perSecond(backend) === undefined) return this.options.onSlot(backend);
    this.pending = { backend, expectedAt: undefined };
    const { request } = this.options.slotDetails();
    const decided = this.options.boundary.guard((decision: PermitDecision) =>
      this.permitDecided(backend, decision),
    );
    this.permit = permits.request(backend, request, decided);
  }

  private permitDecided(backend: BackendRecord, decision: PermitDecision): void {
    this.pending = undefined;
    if (decision.type === 'granted') return this.options.onSlot(backend);
    this.options.tried.recordLimited(backend.id, steadyNow() + decision.retryAfterMs);
    this.release();
    this.next();
  }

  private ownerLoad(backend: BackendRecord): number | undefined {
    const { directory } = this.context;
    const now = steadyNow();
    const isRecent = directory.placementAgeMs(backend.service, now) <= MAX_OWNER_LOAD_AGE_MS;
    return isRecent ? directory.inFlightAt(backend, now) : undefined;
  }

  private handleResponse(backend: BackendRecord, answer: SlotResponse): void {
    const now = steadyNow();
    if (answer.type === 'granted') {
      this.pending = undefined;
      this.countQueuedAt(undefined);
      return this.slotGranted(backend);
    }
    if (answer.type === 'queued') {
      this.countQueuedAt(backend.id);
      const { expectedWaitMs } = answer;
      const pending = { backend, expectedAt: now + expectedWaitMs };
      this.pending = pending;
      this.moveIfSooner(pending);
      if (this.pending === pending) this.options.onQueued();
      return;
    }
    const { claim } = this;
    const hasWaited = this.pending?.expectedAt !== undefined;
    this.claim = undefined;
    this.pending = undefined;
    if (answer.type === 'refused') {
      this.refusedClaim = hasWaited ? undefined : claim;
      this.options.tried.recordFull(backend.id, now + answer.retryAfterMs);
      this.countQueuedAt(backend.id);
    }
    this.options.tried.recordRefusal(backend.id, now);
    this.next();
  }

  /** Moves from a queue to another backend that is expected to have a free slot sooner. */
  private moveIfSooner({ backend, expectedAt }: PendingSlot): void {
    if (expectedAt === undefined || this.moves >= MAX_MOVES) return;
    const now = steadyNow();
    const isEjected = this.context.health.isEjected(backend.id, now);
    const waitMs = isEjected ? Infinity : expectedAt - now - MIN_MOVE_GAIN_MS;
    const sooner = this.untriedHealthy(now).filter(
      (other) =>
        other.id !== backend.id &&
        this.expectedWaitMs(other, now) < waitMs &&
        this.failureShare(other.id, now) < MAX_FAILURE_SHARE_TO_MOVE,
    );
    const candidates = this.candidates(sooner, now);
    const chosen = this.context.selection.choose(candidates, undefined);
    const better = sooner.find(({ id }) => id === chosen?.id);
    if (better === undefined) return;
    this.moves += 1;
    this.release();
    this.requestSlot(better);
  }

  /**
   * Returns the wait in milliseconds that the slot allocator last announced. Without that it is 0 for a backend
   * with a free slot and infinite for others.
   */
  private expectedWaitMs(backend: BackendRecord, now: number): number {
    const status = this.context.slots?.statusOf(backend.id, now);
    if (status !== undefined) return status.expectedWaitMs;
    return this.inFlightAt(backend) < backend.slots ? 0 : Infinity;
  }
}
