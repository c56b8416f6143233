/**
 * The requesting daemon's side of slot admission. Each backend has a slot allocator, chosen by rank
 * among the live daemons of high capacity. It counts the requests that all daemons have in flight at
 * the backend and decides which requests wait. While the backend is far below its limit, a daemon
 * sends a request at once and reports it to the allocator; otherwise it requests a grant first. If the
 * allocator does not reply, the daemon sends the request without a grant.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import { firstCandidate } from '../common/rendezvous.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import {
  requiresGrant,
  type SlotResponse,
  type SlotStatus,
} from '../core/admission/slot-allocator.js';
import { fractionOfPerMille } from '../core/admission/failure-rate.js';
import { highCapacityMembers } from '../core/roles.js';
import type { MemberView } from '../core/membership-messages.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  SlotAskSchema,
  SlotEndSchema,
  SlotListSchema,
  SlotUseSchema,
  SlotVerdict,
  type SlotWord,
} from '../proto/gen/internal_pb.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { SlotAllocators } from './slot-allocators.js';
import { SlotOutbox } from './slot-outbox.js';
import { steadyNow } from './steady-clock.js';

/** Time after which a slot request is sent again, because a datagram may be lost. */
const RESEND_DELAY_MS = 60;
/** Timeout of a slot request. The request is then sent without a grant, so that no caller waits longer for the allocator. */
const REPLY_TIMEOUT_MS = 150;
/** Time without grant requests after the allocator timed out, because membership takes longer to replace it. */
const NO_GRANT_PERIOD_MS = 500;
/** Period at which a waiting request is sent again, because the grant may be lost, or the allocator may have failed. */
const WAITING_RESEND_PERIOD_MS = 250;
/** Time for which an announced status counts as evidence that the backend has free slots. */
const FREE_SLOTS_VALID_MS = 2_000;
/** Time for which the announced load and waits of a backend are used in the choice between backends. */
const STATUS_VALID_MS = 500;
/** Validity of an announced failure share. The allocator lets the share decay, and announces it again while failures continue. */
const FAILURES_VALID_MS = 2_000;
/** Period at which all tickets are listed to their allocators: several times within the expiry of a ticket. */
const LIST_PERIOD_MS = 1_000;
/** Time after its last use for which a backend is listed even without tickets, because the message of an end may be lost. */
const LIST_AFTER_USE_MS = 3_000;
/** Range of ticket numbers. The first is random, so that tickets are not confused with those of the daemon's earlier process. */
const TICKET_RANGE = 2 ** 31;

/** Options of {@link SlotAdmission}. */
export interface SlotAdmissionOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly live: () => readonly MemberView[];
  /** Addresses of all reachable daemons, including those that are leaving. */
  readonly reachable: () => readonly string[];
  /** Number of slots of a backend that accepts requests; undefined if it accepts none, or is not known. */
  readonly slotsOf: (backend: string) => number | undefined;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
}

/** The properties of a request that needs a slot. */
export interface SlotClaimParams {
  readonly backend: BackendRecord;
  /** The request's id, for logs. */
  readonly request: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Steady times: since when the caller waits, when the request should be sent, and when it can no longer be served. */
  readonly arrivedAt: number;
  readonly dueAt: number;
  readonly giveUpAt: number;
  readonly tenant: string;
  /** Expected work in tokens; 0 if unknown. */
  readonly work: number;
  /** Requests in flight at the backend, as announced by the service's owner; undefined without a recent announcement. */
  readonly ownerLoad: number | undefined;
  /** Called with each later decision, if any, for example first `queued` and then another. Never called after `release`. */
  readonly onDecision: (answer: SlotResponse) => void;
}

/** A request's claim on a slot, from the slot request to the end of the use. */
export interface SlotClaim {
  /** Whether the request may be sent. */
  readonly isHeld: boolean;
  /**
   * Ends the claim, because the request has ended or no longer needs the slot. After a refusal only an expected
   * retry is reported.
   *
   * @param returnsInMs - Retry delay in milliseconds that the caller was given; 0 if it was given none.
   * @param hasFailed - The backend has failed the request.
   */
  release(returnsInMs?: number, hasFailed?: boolean): void;
}

/** A claim and its state on this daemon. */
class OpenClaim implements SlotClaim {
  readonly requestedAt = steadyNow();
  state: 'asked' | 'queued' | 'held' = 'asked';
  timeout: ReplyTimeout | undefined;

  constructor(
    readonly ticket: number,
    readonly params: SlotClaimParams,
    private readonly onRelease: (claim: OpenClaim, returnsInMs: number, hasFailed: boolean) => void,
  ) {}

  get isHeld(): boolean {
    return this.state === 'held';
  }

  get backend(): string {
    return this.params.backend.id;
  }

  release(returnsInMs = 0, hasFailed = false): void {
    this.onRelease(this, returnsInMs, hasFailed);
  }
}

interface KnownBackend {
  allocator: string;
  readonly claims: Map<number, OpenClaim>;
  status: SlotStatus | undefined;
  /** Share of requests that the backend has failed, 0 to 1, as announced with the status. */
  failureShare: number;
  /** Number of requests sent without a grant since the status was received. */
  sentSinceStatus: number;
  /** Steady time at which the status was received. */
  statusAt: number;
  /** Steady time until which this daemon requests no grants, after the allocator timed out. */
  noGrantsUntil: number;
  usedAt: number;
}

/** Obtains slots for the requests of one daemon. Also contains the slot allocator for the backends that this daemon allocates. */
export class SlotAdmission {
  private readonly backends = new Map<string, KnownBackend>();
  private readonly outbox: SlotOutbox;
  private readonly allocators: SlotAllocators;
  private sequence = Math.floor(Math.random() * TICKET_RANGE);
  private candidates: string[] = [];
  private hasMembershipChanged = true;
  private listedAt = 0;

  constructor(private readonly options: SlotAdmissionOptions) {
    this.outbox = new SlotOutbox((to, body) => this.deliver(to, body));
    const { logger, metrics, slotsOf } = options;
    const enqueueEntry = this.outbox.enqueue.bind(this.outbox);
    this.allocators = new SlotAllocators({ logger, metrics, slotsOf, enqueue: enqueueEntry });
  }

  /** Claims a slot. The claim is held at once, or decided later. */
  claim(params: SlotClaimParams): SlotClaim {
    const now = steadyNow();
    this.followMembership();
    const { id } = params.backend;
    const known = this.knownBackend(id, now);
    this.sequence = (this.sequence + 1) % TICKET_RANGE;
    const claim = new OpenClaim(this.sequence, params, (ended, returnsInMs, hasFailed) => {
      this.release(ended, returnsInMs, hasFailed);
    });
    known.claims.set(claim.ticket, claim);
    if (this.hasFreeSlots(known, params, now)) this.hold(known, claim);
    else this.requestSlot(known, claim);
    return claim;
  }

  /** Status of a backend that its allocator announced within {@link STATUS_VALID_MS}; undefined if there is none. */
  statusOf(backend: string, now: number): SlotStatus | undefined {
    const known = this.backends.get(backend);
    if (known === undefined || now - known.statusAt > STATUS_VALID_MS) return undefined;
    return known.status;
  }

  /** Share of requests that a backend has failed recently, as announced by its allocator; 0 if unknown. */
  failureShareOf(backend: string, now: number): number {
    const known = this.backends.get(backend);
    if (known === undefined || now - known.statusAt > FAILURES_VALID_MS) return 0;
    return known.failureShare;
  }

  /** Milliseconds since the last status of a backend was received from its allocator; undefined if there is none. */
  statusAgeMs(backend: string, now: number): number | undefined {
    const known = this.backends.get(backend);
    return known?.status && Math.round(now - known.statusAt);
  }

  /** Called when the set of live daemons has changed. */
  groupChanged(): void {
    this.hasMembershipChanged = true;
  }

  /** Follows changes of the group and lists tickets if due. Call it a few times per second. */
  tick(): void {
    const now = steadyNow();
    this.followMembership();
    this.allocators.tick();
    if (now - this.listedAt < LIST_PERIOD_MS) return;
    this.listedAt = now;
    for (const [id, known] of this.backends) {
      if (known.claims.size === 0 && now - known.usedAt > LIST_AFTER_USE_MS) {
        this.backends.delete(id);
      } else this.list(id, known);
    }
  }

  /** Handles a message about slots. Returns false if the message is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'slotReport') this.allocators.receive(from, body.value);
    else if (body.case === 'slotWords') {
      for (const message of body.value.words) this.handleMessage(from, message);
    } else return false;
    return true;
  }

  /** Address of the daemon that allocates a backend's slots, by this daemon's view of the group. */
  allocatorOf(backend: string): string {
    return firstCandidate(`slots/${backend}`, this.candidates) ?? this.options.self;
  }

  private deliver(to: string, body: PeerBody): void {
    if (to === this.options.self) this.receive(to, body);
    else this.options.sendDatagram(to, body);
  }

  private hasFreeSlots(known: KnownBackend, params: SlotClaimParams, now: number): boolean {
    const { status, statusAt, claims, noGrantsUntil } = known;
    if (now < noGrantsUntil) return true;
    if (status !== undefined && now - statusAt <= FREE_SLOTS_VALID_MS) {
      return !requiresGrant({ ...status, inFlight: status.inFlight + known.sentSinceStatus });
    }
    const { ownerLoad, backend } = params;
    if (ownerLoad === undefined) return false;
    const inFlight = Math.max(ownerLoad, claims.size);
    return !requiresGrant({ slots: backend.slots, inFlight, waiting: 0, expectedWaitMs: 0 });
  }

  /** Marks the claim as held and reports the use to the allocator. */
  private hold(known: KnownBackend, claim: OpenClaim): void {
    claim.state = 'held';
    known.sentSinceStatus += 1;
    claim.timeout?.cancel();
    const { backend, ticket, params } = claim;
    const { tenant, work } = params;
    const value = create(SlotUseSchema, { backend, ticket, tenant, work });
    this.outbox.enqueue(known.allocator, { kind: 'taken', value });
  }

  private requestSlot(known: KnownBackend, claim: OpenClaim): void {
    this.sendRequest(known, claim);
    claim.timeout?.cancel();
    claim.timeout = startReplyTimeout(RESEND_DELAY_MS, () => {
      this.sendRequest(known, claim);
      const restMs = REPLY_TIMEOUT_MS - RESEND_DELAY_MS;
      claim.timeout = startReplyTimeout(restMs, () => this.sendWithoutGrant(known, claim));
    });
  }

  private sendRequest(known: KnownBackend, { backend, ticket, params }: OpenClaim): void {
    const { rank, dueAt, giveUpAt, arrivedAt, tenant, work } = params;
    const now = steadyNow();
    const value = create(SlotAskSchema, {
      backend,
      ticket,
      rank,
      dueInMs: Math.round(dueAt - now),
      giveUpInMs: Math.max(0, Math.round(giveUpAt - now)),
      waitedMs: Math.max(0, Math.round(now - arrivedAt)),
      tenant,
      work,
    });
    this.outbox.enqueue(known.allocator, { kind: 'ask', value });
  }

  private sendWithoutGrant(known: KnownBackend, claim: OpenClaim): void {
    const { backend, params } = claim;
    const { allocator } = known;
    this.options.metrics.unansweredSlotRequests.inc();
    const waitedMs = Math.round(steadyNow() - claim.requestedAt);
    this.options.logger.warn('slot_keeper_silent', {
      request: params.request,
      backend,
      keeper: allocator,
      waitedMs,
    });
    known.status = undefined;
    known.noGrantsUntil = steadyNow() + NO_GRANT_PERIOD_MS;
    this.hold(known, claim);
    params.onDecision({ type: 'granted' });
  }

  private release(claim: OpenClaim, returnsInMs: number, hasFailed: boolean): void {
    const { backend, ticket, timeout, params } = claim;
    const known = this.backends.get(backend);
    timeout?.cancel();
    if (known === undefined) return;
    const wasOpen = known.claims.delete(ticket);
    if (!wasOpen && returnsInMs === 0) return;
    known.usedAt = steadyNow();
    this.reportEnd(known.allocator, { backend, ticket, returnsInMs, rank: params.rank, hasFailed });
  }

  private reportEnd(allocator: string, end: MessageInitShape<typeof SlotEndSchema>): void {
    const returnsInMs = Math.ceil(end.returnsInMs ?? 0);
    const value = create(SlotEndSchema, { ...end, returnsInMs });
    this.outbox.enqueue(allocator, { kind: 'ended', value });
  }

  private handleMessage(from: string, message: SlotWord): void {
    const known = this.backends.get(message.backend);
    const now = steadyNow();
    if (
      known !== undefined &&
      known.allocator === from &&
      message.verdict !== SlotVerdict.UNKNOWN
    ) {
      const { slots, inFlight, waiting, newcomerWaitMs } = message;
      known.status = { slots, inFlight, waiting, expectedWaitMs: newcomerWaitMs };
      known.failureShare = fractionOfPerMille(message.failurePerMille);
      known.statusAt = now;
      known.sentSinceStatus = 0;
      known.noGrantsUntil = 0;
    }
    const claim = known?.claims.get(message.ticket);
    if (known === undefined || claim === undefined) {
      // The grant is for a request that no longer needs it.
      if (message.verdict === SlotVerdict.GRANTED) {
        this.reportEnd(from, { backend: message.backend, ticket: message.ticket });
      }
      return;
    }
    if (claim.isHeld) return;
    if (from === known.allocator) return this.applyDecision(known, claim, message);
    // Of a former allocator's decisions only grants are applied.
    if (message.verdict !== SlotVerdict.GRANTED) return;
    this.hold(known, claim);
    claim.params.onDecision({ type: 'granted' });
  }

  private applyDecision(known: KnownBackend, claim: OpenClaim, message: SlotWord): void {
    const { verdict, waitMs } = message;
    if (verdict === SlotVerdict.NEWS) return;
    claim.timeout?.cancel();
    if (verdict === SlotVerdict.QUEUED) {
      const resend = (): void => this.requestSlot(known, claim);
      claim.timeout = startReplyTimeout(WAITING_RESEND_PERIOD_MS, resend);
      const isFirst = claim.state === 'asked';
      claim.state = 'queued';
      if (isFirst) this.log('slot_queued', claim, message);
      return claim.params.onDecision({ type: 'queued', expectedWaitMs: waitMs });
    }
    const waitedSeconds = (steadyNow() - claim.requestedAt) / 1_000;
    if (verdict === SlotVerdict.GRANTED) {
      claim.state = 'held';
      this.log('slot_granted', claim, message);
      this.options.metrics.slotWaitSeconds.observe({ answer: 'granted' }, waitedSeconds);
      return claim.params.onDecision({ type: 'granted' });
    }
    known.claims.delete(claim.ticket);
    this.log('slot_refused', claim, message);
    this.options.metrics.slotWaitSeconds.observe({ answer: 'refused' }, waitedSeconds);
    const isRefused = verdict === SlotVerdict.REFUSED;
    claim.params.onDecision(
      isRefused ? { type: 'refused', retryAfterMs: waitMs } : { type: 'unknown' },
    );
  }

  private log(event: string, claim: OpenClaim, message: SlotWord): void {
    const { inFlight, waiting, slots, waitMs } = message;
    const { backend, params, requestedAt } = claim;
    this.options.logger.info(event, {
      request: params.request,
      backend,
      rank: params.rank,
      inFlight,
      waiting,
      slots,
      waitMs,
      waitedMs: Math.round(steadyNow() - requestedAt),
    });
  }

  private knownBackend(id: string, now: number): KnownBackend {
    const known = this.backends.get(id);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const allocator = this.allocatorOf(id);
    const claims = new Map<number, OpenClaim>();
    const added: KnownBackend = {
      allocator,
      claims,
      status: undefined,
      failureShare: 0,
      sentSinceStatus: 0,
      statusAt: 0,
      noGrantsUntil: 0,
      usedAt: now,
    };
    this.backends.set(id, added);
    return added;
  }

  private list(backend: string, { allocator, claims }: KnownBackend): void {
    const all = [...claims.values()];
    const inFlight = all.filter(({ state }) => state === 'held').map(({ ticket }) => ticket);
    const waiting = all.filter(({ state }) => state !== 'held').map(({ ticket }) => ticket);
    const value = create(SlotListSchema, { backend, inFlight, waiting });
    this.outbox.enqueue(allocator, { kind: 'list', value });
  }

  private followMembership(): void {
    if (!this.hasMembershipChanged) return;
    this.hasMembershipChanged = false;
    const { live, reachable, self } = this.options;
    this.allocators.retainDaemons(new Set([...reachable(), self]));
    const candidates = highCapacityMembers(live())
      .map((member) => member.address)
      .sort();
    if (candidates.join() === this.candidates.join()) return;
    this.candidates = candidates;
    for (const [id, known] of this.backends) this.followAllocator(id, known);
  }

  /** If the backend has a new allocator, reports this daemon's uses to it and sends it the waiting slot requests. */
  private followAllocator(id: string, known: KnownBackend): void {
    const allocator = this.allocatorOf(id);
    if (allocator === known.allocator) return;
    const former = known.allocator;
    known.allocator = allocator;
    known.status = undefined;
    known.failureShare = 0;
    known.noGrantsUntil = 0;
    const waiting = [...known.claims.values()].filter(({ state }) => state !== 'held').length;
    const inFlight = known.claims.size - waiting;
    this.options.logger.info('slot_keeper_changed', {
      backend: id,
      former,
      keeper: allocator,
      inFlight,
      waiting,
    });
    for (const claim of known.claims.values()) {
      this.reportEnd(former, { backend: id, ticket: claim.ticket });
      if (claim.state === 'held') this.hold(known, claim);
    }
    for (const claim of known.claims.values())
      if (claim.state !== 'held') this.requestSlot(known, claim);
  }
}

/** Number of slots of a backend; a backend that announces none processes one request at a time. */
export function slotsOf(backend: BackendRecord | undefined): number | undefined {
  return backend && Math.max(1, backend.slots);
}
