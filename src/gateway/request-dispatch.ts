/**
 * Finds the backend that one request is sent to next, and a slot there: chooses among those that
 * can take it, asks the keeper of the slots, and asks elsewhere when that is sooner.
 */
import type { SlotResponse } from '../core/admission/slot-allocator.js';
import type { BackendCandidate } from '../core/backend-selection.js';
import type { BackendRecord, ModelReference, Service } from '../core/service-configuration.js';
import type { BackendPermit, PermitDecision } from './backend-permits.js';
import { capacityFor, sparedOf, type CapacityNeed } from './expected-capacity.js';
import type { GatewayContext } from './gateway-context.js';
import type { SlotClaim, SlotWish } from './slot-admission.js';
import { steadyNow } from './steady-clock.js';

/** A backend that has refused the request, or was not reached, is not asked again for so long. */
const REFUSED_PAUSE_MS = 250;
/** A place in a queue is given up only for a wait that is shorter by this: the messages take as long. */
const MOVE_GAIN_MS = 50;
/** Places in queues that one request gives up: what is known of others is late, and all may move at once. */
const MOST_MOVES = 3;
/** No place in a queue is given up for a backend that fails so large a share: it is free because it fails. */
const MOST_FAILURES_TO_MOVE = 0.5;

/** The owner's word on loads counts for so long: it is told 0.3 to 0.5 s late, and only when it changes. */
const OWNER_LOAD_BELIEVED_MS = 1_500;

/** What a request says of itself to the keepers of slots. */
export type SlotStanding = Omit<SlotWish, 'backend' | 'ownerLoad' | 'onAnswer'>;

/** What the dispatch needs to know of its request. */
export interface DispatchOptions {
  readonly service: Service;
  /** The model that a backend must hold; undefined if there is none. */
  readonly model: ModelReference | undefined;
  readonly sharedPrompt: string | undefined;
  /** What it goes by of the backends' capacity. */
  readonly need: CapacityNeed;
  readonly standing: () => SlotStanding;
  /** Whether the request may run at a backend beside what runs there. */
  readonly mayRunAt: (backend: string) => boolean;
  /** The request may be sent to the backend now. */
  readonly onSlot: (backend: BackendRecord) => void;
  /** It waits for its turn at a backend; called again when the expected wait has changed. */
  readonly onQueued: () => void;
  /** No backend can take it. */
  readonly onNone: () => void;
  /** All that could take it want no request for so long. */
  readonly onBackoff: (backoffMs: number) => void;
  /** All that could take it have named rate limits, and have no permit left for so long. */
  readonly onLimited: (retryAfterMs: number) => void;
  /** All that could take it are full for longer than it can wait. */
  readonly onFull: (retryAfterMs: number) => void;
}

interface PendingAsk {
  readonly backend: BackendRecord;
  /** When the wait should be over; undefined until the keeper has said. */
  expectedAt: number | undefined;
}

/** The search of one request. */
export class RequestDispatch {
  /** Backends that the request was sent to. */
  private readonly tried = new Set<string>();
  /** Backends that have refused the request, and until when they are not asked again. */
  private readonly refusals = new Map<string, number>();
  /** Steady times at which backends that were full for longer than the request can wait should have room. */
  private readonly fullUntil = new Map<string, number>();
  /** Steady times until which backends that have named a limit have no permit for the request. */
  private readonly limitedUntil = new Map<string, number>();
  private permit: BackendPermit | undefined;
  private claim: SlotClaim | undefined;
  /** What a keeper has refused at once: if no other serves the request, its return is told there. */
  private refused: SlotClaim | undefined;
  private pending: PendingAsk | undefined;
  /** Where the request counts as work though it was not sent: it waits there. */
  private queuedAt: string | undefined;
  private moves = 0;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: DispatchOptions,
  ) {}

  /** Looks for a backend, or looks again because something has changed. */
  next(): void {
    const { pending } = this;
    if (pending !== undefined) {
      if (this.isUsable(pending.backend.id)) return this.moveIfSooner(pending);
      this.release();
    }
    const backend = this.choose();
    if (backend !== undefined) return this.claimAt(backend);
    const fullForMs = this.fullForMs(steadyNow());
    if (fullForMs !== undefined) return this.options.onFull(fullForMs);
    this.queueAt(undefined);
    const limitedMs = this.limitedForMs(steadyNow());
    if (limitedMs !== undefined) return this.options.onLimited(limitedMs);
    const backoffMs = this.shortestBackoffMs(steadyNow());
    if (backoffMs !== undefined) return this.options.onBackoff(backoffMs);
    this.options.onNone();
  }

  /** Whether a backend may be sent the request now. */
  isUsable(backend: string): boolean {
    return this.usableBackends(steadyNow()).some(({ id }) => id === backend);
  }

  /** Whether a keeper has been asked and has not granted yet. */
  get isPending(): boolean {
    return this.pending !== undefined;
  }

  /** The request has been sent to a backend. */
  noteSent(backend: string): void {
    this.tried.add(backend);
    this.permit?.use();
  }

  /** A backend has refused the request, or was not reached. */
  noteRefusal(backend: string): void {
    this.refusals.set(backend, steadyNow() + REFUSED_PAUSE_MS);
  }

  /** A backend has started again under its id: what it has refused or was sent before is void. */
  forget(backend: string): void {
    this.tried.delete(backend);
    this.refusals.delete(backend);
    this.fullUntil.delete(backend);
    this.limitedUntil.delete(backend);
    if (this.pending?.backend.id === backend) this.release();
  }

  /**
   * The request needs its slot, or its place in a queue, no more.
   *
   * @param hasFailed - The backend has failed the request.
   */
  release(hasFailed = false): void {
    this.permit?.release();
    this.permit = undefined;
    this.claim?.release(0, hasFailed);
    this.claim = undefined;
    this.pending = undefined;
    this.queueAt(undefined);
  }

  /**
   * The owner of the service is told of what waits at a full backend as of work there: that is what
   * it adds copies by. A request that waits for a model which nobody holds is told otherwise.
   */
  private queueAt(backend: string | undefined): void {
    if (this.queuedAt === backend) return;
    if (this.queuedAt !== undefined) this.count(this.queuedAt, -1);
    this.queuedAt = backend;
    if (backend !== undefined) this.count(backend, 1);
  }

  private count(backend: string, change: 1 | -1): void {
    this.context.tracker.sent(this.options.service.name, backend, this.options.model, change);
  }

  /** The request leaves its queue, and its caller is told to come back: until then it counts there. */
  leaveUntil(retryAfterMs: number): void {
    const backend = this.queuedAt;
    (this.claim ?? this.refused)?.release(retryAfterMs);
    this.refused = undefined;
    this.release();
    if (backend === undefined) return;
    this.count(backend, 1);
    setTimeout(() => this.count(backend, -1), retryAfterMs).unref();
  }

  /** Whether a backend that was not tried yet has a free slot for the request. */
  hasAlternative(): boolean {
    return this.fresh(steadyNow()).some((backend) => this.inFlightAt(backend) < backend.slots);
  }

  /**
   * Requests in flight at a backend, and those that wait for it: by its keeper's word, or else all
   * have them told late, and this daemon may have sent more since.
   */
  inFlightAt(backend: BackendRecord): number {
    const { tracker, directory, slots } = this.context;
    const now = steadyNow();
    const own = tracker.inFlightAt(backend.id);
    const heard = slots?.figuresOf(backend.id, now);
    if (heard !== undefined) return Math.max(own, heard.inFlight + heard.waiting);
    return Math.max(own, directory.inFlightAt(backend, now));
  }

  /** Backends that may be sent the request now. */
  private usableBackends(now: number): BackendRecord[] {
    const { backoffs } = this.context;
    return this.suitableBackends(now)
      .filter((backend) => (this.refusals.get(backend.id) ?? 0) <= now)
      .filter((backend) => backoffs.remainingMs(backend, now) === 0)
      .filter((backend) => !this.isLimited(backend, now))
      .filter((backend) => this.options.mayRunAt(backend.id));
  }

  /** Whether a backend has refused the request a permit, and still names a limit. */
  private isLimited(backend: BackendRecord, now: number): boolean {
    if ((this.limitedUntil.get(backend.id) ?? 0) <= now) return false;
    return this.context.permits.perSecond(backend) !== undefined;
  }

  /** Backends that could serve the request, now or later. */
  private suitableBackends(now: number): BackendRecord[] {
    const { directory } = this.context;
    const { service, model } = this.options;
    return directory
      .servingBackends(service.name)
      .filter((backend) => model === undefined || directory.holds(backend, model, now));
  }

  /** Milliseconds until the first of the backends is back, if all of them have asked for a backoff; undefined if some has not. */
  private shortestBackoffMs(now: number): number | undefined {
    const suitable = this.suitableBackends(now);
    const backoffs = suitable.map((backend) => this.context.backoffs.remainingMs(backend, now));
    const shortest = Math.min(...backoffs);
    return shortest > 0 && Number.isFinite(shortest) ? shortest : undefined;
  }

  /** Those that are sound, and that the request was not sent to yet. */
  private fresh(now: number): BackendRecord[] {
    return this.untried(this.healthy(this.usableBackends(now), now));
  }

  private healthy(backends: readonly BackendRecord[], now: number): BackendRecord[] {
    return backends.filter(({ id }) => !this.context.health.isEjected(id, now));
  }

  private untried(backends: readonly BackendRecord[]): BackendRecord[] {
    return backends.filter(({ id }) => !this.tried.has(id));
  }

  private choose(): BackendRecord | undefined {
    const { context } = this;
    const { model, sharedPrompt } = this.options;
    const now = steadyNow();
    const usable = this.usableBackends(now);
    const healthy = this.healthy(usable, now);
    const fresh = this.untried(healthy);
    const withPermits = fresh.filter((backend) => !context.permits.isExhausted(backend, now));
    // Another backend can be given the model; one of a service without models is all there is.
    const lastResort = model === undefined ? usable : [];
    const groups = [withPermits, fresh, healthy, lastResort];
    const best = groups.find((group) => group.length > 0) ?? this.spared(usable, now);
    const candidates = this.candidates(best, now);
    const chosen = context.selection.choose(candidates, sharedPrompt);
    return chosen === undefined ? undefined : context.directory.get(chosen.id);
  }

  private spared(usable: readonly BackendRecord[], now: number): BackendRecord[] {
    return this.untried(sparedOf(this.context, this.options.service.name, usable, now));
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
      hasConnection: context.agent.hasIdleConnection(backend.address),
      slots: backend.slots,
      inFlight: this.inFlightAt(backend),
      failureShare: this.failureShare(backend.id, now),
      ...capacity(backend.id),
    };
  }

  /** As this daemon has seen it, or its keeper has heard from all: who sends seldom learns late. */
  private failureShare(backend: string, now: number): number {
    const { health, slots } = this.context;
    return Math.max(health.failureShare(backend), slots?.failureShareOf(backend, now) ?? 0);
  }

  private candidates(backends: readonly BackendRecord[], now: number): BackendCandidate[] {
    const capacity = capacityFor(this.context, this.options.need, now);
    return backends.map((backend) => this.candidate(backend, capacity, now));
  }

  private claimAt(backend: BackendRecord): void {
    const { slots } = this.context;
    if (slots === undefined) return this.slotHeld(backend);
    const claim = slots.claim({
      ...this.options.standing(),
      backend,
      ownerLoad: this.ownerLoad(backend),
      onAnswer: (answer) => this.answered(backend, answer),
    });
    this.claim = claim;
    if (claim.isHeld) {
      this.queueAt(undefined);
      return this.slotHeld(backend);
    }
    this.pending = { backend, expectedAt: undefined };
  }

  /** A permit is taken last: what waits in a queue with one would reach the backend in bunches. */
  private slotHeld(backend: BackendRecord): void {
    const { permits } = this.context;
    if (permits.perSecond(backend) === undefined) return this.options.onSlot(backend);
    this.pending = { backend, expectedAt: undefined };
    const { request } = this.options.standing();
    this.permit = permits.ask(backend, request, (decision) =>
      this.permitDecided(backend, decision),
    );
  }

  private permitDecided(backend: BackendRecord, decision: PermitDecision): void {
    this.pending = undefined;
    if (decision.type === 'granted') return this.options.onSlot(backend);
    this.limitedUntil.set(backend.id, steadyNow() + decision.retryAfterMs);
    this.release();
    this.next();
  }

  private ownerLoad(backend: BackendRecord): number | undefined {
    const { directory } = this.context;
    const now = steadyNow();
    const isHeard = directory.placementAgeMs(backend.service, now) <= OWNER_LOAD_BELIEVED_MS;
    return isHeard ? directory.inFlightAt(backend, now) : undefined;
  }

  private answered(backend: BackendRecord, answer: SlotResponse): void {
    const now = steadyNow();
    if (answer.type === 'granted') {
      this.pending = undefined;
      this.queueAt(undefined);
      return this.slotHeld(backend);
    }
    if (answer.type === 'queued') {
      this.queueAt(backend.id);
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
      this.refused = hasWaited ? undefined : claim;
      this.fullUntil.set(backend.id, now + answer.retryAfterMs);
      this.queueAt(backend.id);
    }
    this.noteRefusal(backend.id);
    this.next();
  }

  /** Leaves a queue for another backend that is expected to have a slot sooner. */
  private moveIfSooner({ backend, expectedAt }: PendingAsk): void {
    if (expectedAt === undefined || this.moves >= MOST_MOVES) return;
    const now = steadyNow();
    const isAvoided = this.context.health.isEjected(backend.id, now);
    const waitMs = isAvoided ? Infinity : expectedAt - now - MOVE_GAIN_MS;
    const sooner = this.fresh(now).filter(
      (other) =>
        other.id !== backend.id &&
        this.expectedWaitMs(other, now) < waitMs &&
        this.failureShare(other.id, now) < MOST_FAILURES_TO_MOVE,
    );
    const candidates = this.candidates(sooner, now);
    const chosen = this.context.selection.choose(candidates, undefined);
    const better = sooner.find(({ id }) => id === chosen?.id);
    if (better === undefined) return;
    this.moves += 1;
    this.release();
    this.claimAt(better);
  }

  /** As its keeper last said; without that a backend with a free slot is expected to have it. */
  private expectedWaitMs(backend: BackendRecord, now: number): number {
    const heard = this.context.slots?.figuresOf(backend.id, now);
    if (heard !== undefined) return heard.expectedWaitMs;
    return this.inFlightAt(backend) < backend.slots ? 0 : Infinity;
  }

  /** Milliseconds until the first of the backends that were full should have room; undefined if none was. */
  private fullForMs(now: number): number | undefined {
    const paused = [...this.fullUntil].filter(([id]) => (this.refusals.get(id) ?? 0) > now);
    return soonestMs(paused, now);
  }

  /** Milliseconds until the first of the backends may have a permit; undefined if none has refused one. */
  private limitedForMs(now: number): number | undefined {
    const limited = [...this.limitedUntil].filter(([, until]) => until > now);
    return soonestMs(limited, now);
  }
}

function soonestMs(times: readonly [string, number][], now: number): number | undefined {
  if (times.length === 0) return undefined;
  return Math.max(0, Math.min(...times.map(([, until]) => until)) - now);
}
