/**
 * A daemon's side of backends' slots. Each backend has a keeper, by rank among the ablest live
 * daemons, which counts what all daemons have in flight there and says who waits. Far below full
 * a request is sent at once and the keeper told; else the keeper is asked first. A keeper that
 * does not answer leaves the daemon to decide alone.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import { firstCandidate } from '../common/rendezvous.js';
import {
  requiresGrant,
  type SlotResponse,
  type SlotStatus,
} from '../core/admission/slot-allocator.js';
import { fractionOfPerMille } from '../core/admission/failure-rate.js';
import { highCapacityMembers } from '../core/duties.js';
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
import { SlotKeeper } from './slot-keeper.js';
import { SlotOutbox } from './slot-outbox.js';
import { steadyNow } from './steady-clock.js';

/** An ask is sent again after so long: a datagram may be lost. */
const ASK_AGAIN_MS = 60;
/** Without an answer by then the daemon decides alone: no caller waits longer for a silent keeper. */
const ANSWER_WITHIN_MS = 150;
/** After a silent keeper this daemon decides alone at once: membership needs longer to replace it. */
const ALONE_MS = 500;
/** One that waits asks again so often: the word that it has a slot may be lost, or the keeper. */
const REFRESH_MS = 250;
/** A keeper's word that a backend has room counts for so long. */
const ROOM_BELIEVED_MS = 2_000;
/** Load and waits of a backend count for so long in the choice between backends. */
const FIGURES_BELIEVED_MS = 500;
/** A keeper's word on failures counts for so long: it has its own fading, and is told again while they go on. */
const FAILURES_BELIEVED_MS = 2_000;
/** All tickets are named to their keepers so often; several times within their lifetime there. */
const LIST_PERIOD_MS = 1_000;
/** Backends that this daemon has used within this time are named even without tickets: an end may be lost. */
const LISTED_AFTER_USE_MS = 3_000;
/** Tickets of a restarted daemon must not be taken for those of its earlier life. */
const TICKET_NUMBERS = 2 ** 31;

/** Options of {@link SlotAdmission}. */
export interface SlotAdmissionOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly live: () => readonly MemberView[];
  /** Addresses of all daemons that still answer, leaving ones among them. */
  readonly reachable: () => readonly string[];
  /** Slots of a backend that takes requests; undefined if it takes none, or is not known. */
  readonly slotsOf: (backend: string) => number | undefined;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
}

/** What a request says of itself. */
export interface SlotWish {
  readonly backend: BackendRecord;
  /** The request's id, for logs. */
  readonly request: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Steady times: since when its caller waits, when it should be sent, and when it can no longer be served. */
  readonly arrivedAt: number;
  readonly dueAt: number;
  readonly giveUpAt: number;
  readonly tenant: string;
  /** Expected work in tokens; 0 if nothing is known. */
  readonly work: number;
  /** Requests in flight there by the word of the service's owner; undefined if it has not spoken lately. */
  readonly ownerLoad: number | undefined;
  /** Called later, if at all, and several times: first queued, then something else. Never after `release`. */
  readonly onAnswer: (answer: SlotResponse) => void;
}

/** A request's claim on a slot, from the ask to its end. */
export interface SlotClaim {
  /** Whether the request may be sent. */
  readonly isHeld: boolean;
  /**
   * The request has ended, or wants the slot no more. After a refusal only a return is told.
   *
   * @param returnsInMs - Its caller was told to come back after so many milliseconds; 0 if it was not.
   * @param hasFailed - The backend has failed the request.
   */
  release(returnsInMs?: number, hasFailed?: boolean): void;
}

/** A claim as this daemon follows it. */
class OpenClaim implements SlotClaim {
  readonly askedAt = steadyNow();
  state: 'asked' | 'queued' | 'held' = 'asked';
  timer: NodeJS.Timeout | undefined;

  constructor(
    readonly ticket: number,
    readonly wish: SlotWish,
    private readonly onRelease: (claim: OpenClaim, returnsInMs: number, hasFailed: boolean) => void,
  ) {}

  get isHeld(): boolean {
    return this.state === 'held';
  }

  get backend(): string {
    return this.wish.backend.id;
  }

  release(returnsInMs = 0, hasFailed = false): void {
    this.onRelease(this, returnsInMs, hasFailed);
  }
}

interface KnownBackend {
  keeper: string;
  readonly claims: Map<number, OpenClaim>;
  figures: SlotStatus | undefined;
  /** Share of requests that the backend has failed, 0 to 1, as told with the figures. */
  failureShare: number;
  /** Requests sent without a question since the figures were told. */
  sentSince: number;
  /** Steady time at which the figures were told. */
  heardAt: number;
  /** The keeper did not answer: until this steady time nobody waits for it again. */
  aloneUntil: number;
  usedAt: number;
}

/** One daemon's part in keeping slots, as one that sends requests; holds its part as a keeper too. */
export class SlotAdmission {
  private readonly backends = new Map<string, KnownBackend>();
  private readonly outbox: SlotOutbox;
  private readonly keeper: SlotKeeper;
  private sequence = Math.floor(Math.random() * TICKET_NUMBERS);
  private candidates: string[] = [];
  private hasGroupChanged = true;
  private listedAt = 0;

  constructor(private readonly options: SlotAdmissionOptions) {
    this.outbox = new SlotOutbox((to, body) => this.deliver(to, body));
    const { logger, metrics, slotsOf } = options;
    const tell = this.outbox.tell.bind(this.outbox);
    this.keeper = new SlotKeeper({ logger, metrics, slotsOf, tell });
  }

  /** Asks for a slot; the answer comes at once or later. */
  claim(wish: SlotWish): SlotClaim {
    const now = steadyNow();
    this.followGroup();
    const { id } = wish.backend;
    const known = this.knownBackend(id, now);
    this.sequence = (this.sequence + 1) % TICKET_NUMBERS;
    const claim = new OpenClaim(this.sequence, wish, (ended, returnsInMs, hasFailed) => {
      this.release(ended, returnsInMs, hasFailed);
    });
    known.claims.set(claim.ticket, claim);
    if (this.hasRoom(known, wish, now)) this.hold(known, claim);
    else this.ask(known, claim);
    return claim;
  }

  /** What the keeper of a backend said of it within {@link FIGURES_BELIEVED_MS}; undefined if nothing. */
  figuresOf(backend: string, now: number): SlotStatus | undefined {
    const known = this.backends.get(backend);
    if (known === undefined || now - known.heardAt > FIGURES_BELIEVED_MS) return undefined;
    return known.figures;
  }

  /** Share of requests that a backend has failed lately by its keeper's word; 0 if nothing is known. */
  failureShareOf(backend: string, now: number): number {
    const known = this.backends.get(backend);
    if (known === undefined || now - known.heardAt > FAILURES_BELIEVED_MS) return 0;
    return known.failureShare;
  }

  /** Milliseconds since the keeper of a backend was heard; undefined if it was not. */
  figuresAgeMs(backend: string, now: number): number | undefined {
    const known = this.backends.get(backend);
    return known?.figures && Math.round(now - known.heardAt);
  }

  /** The set of live daemons has changed. */
  groupChanged(): void {
    this.hasGroupChanged = true;
  }

  /** Looks at the clock and the group; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.followGroup();
    this.keeper.tick();
    if (now - this.listedAt < LIST_PERIOD_MS) return;
    this.listedAt = now;
    for (const [id, known] of this.backends) {
      if (known.claims.size === 0 && now - known.usedAt > LISTED_AFTER_USE_MS) {
        this.backends.delete(id);
      } else this.list(id, known);
    }
  }

  /** Handles a message about slots; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'slotReport') this.keeper.receive(from, body.value);
    else if (body.case === 'slotWords') {
      for (const word of body.value.words) this.hear(from, word);
    } else return false;
    return true;
  }

  /** The daemon that keeps a backend's slots, as this one sees the group. */
  keeperOf(backend: string): string {
    return firstCandidate(`slots/${backend}`, this.candidates) ?? this.options.self;
  }

  private deliver(to: string, body: PeerBody): void {
    if (to === this.options.self) this.receive(to, body);
    else this.options.sendDatagram(to, body);
  }

  private hasRoom(known: KnownBackend, wish: SlotWish, now: number): boolean {
    const { figures, heardAt, claims, aloneUntil } = known;
    if (now < aloneUntil) return true;
    if (figures !== undefined && now - heardAt <= ROOM_BELIEVED_MS) {
      return !requiresGrant({ ...figures, inFlight: figures.inFlight + known.sentSince });
    }
    const { ownerLoad, backend } = wish;
    if (ownerLoad === undefined) return false;
    const inFlight = Math.max(ownerLoad, claims.size);
    return !requiresGrant({ slots: backend.slots, inFlight, waiting: 0, expectedWaitMs: 0 });
  }

  /** The request goes without the keeper's word. */
  private hold(known: KnownBackend, claim: OpenClaim): void {
    claim.state = 'held';
    known.sentSince += 1;
    clearTimeout(claim.timer);
    const { backend, ticket, wish } = claim;
    const { tenant, work } = wish;
    const value = create(SlotUseSchema, { backend, ticket, tenant, work });
    this.outbox.tell(known.keeper, { kind: 'taken', value });
  }

  private ask(known: KnownBackend, claim: OpenClaim): void {
    this.sendAsk(known, claim);
    clearTimeout(claim.timer);
    claim.timer = setTimeout(() => {
      this.sendAsk(known, claim);
      claim.timer = setTimeout(
        () => this.decideAlone(known, claim),
        ANSWER_WITHIN_MS - ASK_AGAIN_MS,
      );
    }, ASK_AGAIN_MS);
  }

  private sendAsk(known: KnownBackend, { backend, ticket, wish }: OpenClaim): void {
    const { rank, dueAt, giveUpAt, arrivedAt, tenant, work } = wish;
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
    this.outbox.tell(known.keeper, { kind: 'ask', value });
  }

  private decideAlone(known: KnownBackend, claim: OpenClaim): void {
    const { backend, wish } = claim;
    const { keeper } = known;
    this.options.metrics.slotAsksUnanswered.inc();
    const waitedMs = Math.round(steadyNow() - claim.askedAt);
    this.options.logger.warn('slot_keeper_silent', {
      request: wish.request,
      backend,
      keeper,
      waitedMs,
    });
    known.figures = undefined;
    known.aloneUntil = steadyNow() + ALONE_MS;
    this.hold(known, claim);
    wish.onAnswer({ type: 'granted' });
  }

  private release(claim: OpenClaim, returnsInMs: number, hasFailed: boolean): void {
    const { backend, ticket, timer, wish } = claim;
    const known = this.backends.get(backend);
    clearTimeout(timer);
    if (known === undefined) return;
    const wasOpen = known.claims.delete(ticket);
    if (!wasOpen && returnsInMs === 0) return;
    known.usedAt = steadyNow();
    this.tellEnd(known.keeper, { backend, ticket, returnsInMs, rank: wish.rank, hasFailed });
  }

  private tellEnd(keeper: string, end: MessageInitShape<typeof SlotEndSchema>): void {
    const returnsInMs = Math.ceil(end.returnsInMs ?? 0);
    const value = create(SlotEndSchema, { ...end, returnsInMs });
    this.outbox.tell(keeper, { kind: 'ended', value });
  }

  private hear(from: string, word: SlotWord): void {
    const known = this.backends.get(word.backend);
    const now = steadyNow();
    if (known !== undefined && known.keeper === from && word.verdict !== SlotVerdict.UNKNOWN) {
      const { slots, inFlight, waiting, newcomerWaitMs } = word;
      known.figures = { slots, inFlight, waiting, expectedWaitMs: newcomerWaitMs };
      known.failureShare = fractionOfPerMille(word.failurePerMille);
      known.heardAt = now;
      known.sentSince = 0;
      known.aloneUntil = 0;
    }
    const claim = known?.claims.get(word.ticket);
    if (known === undefined || claim === undefined) {
      // Granted to one that no longer wants it.
      if (word.verdict === SlotVerdict.GRANTED) {
        this.tellEnd(from, { backend: word.backend, ticket: word.ticket });
      }
      return;
    }
    if (claim.isHeld) return;
    if (from === known.keeper) return this.settle(known, claim, word);
    // The former keeper's word counts as far as it lets the request go.
    if (word.verdict !== SlotVerdict.GRANTED) return;
    this.hold(known, claim);
    claim.wish.onAnswer({ type: 'granted' });
  }

  private settle(known: KnownBackend, claim: OpenClaim, word: SlotWord): void {
    const { verdict, waitMs } = word;
    if (verdict === SlotVerdict.NEWS) return;
    clearTimeout(claim.timer);
    if (verdict === SlotVerdict.QUEUED) {
      claim.timer = setTimeout(() => this.ask(known, claim), REFRESH_MS);
      const isNews = claim.state === 'asked';
      claim.state = 'queued';
      if (isNews) this.log('slot_queued', claim, word);
      return claim.wish.onAnswer({ type: 'queued', expectedWaitMs: waitMs });
    }
    const waitedSeconds = (steadyNow() - claim.askedAt) / 1_000;
    if (verdict === SlotVerdict.GRANTED) {
      claim.state = 'held';
      this.log('slot_granted', claim, word);
      this.options.metrics.slotWaitSeconds.observe({ answer: 'granted' }, waitedSeconds);
      return claim.wish.onAnswer({ type: 'granted' });
    }
    known.claims.delete(claim.ticket);
    this.log('slot_refused', claim, word);
    this.options.metrics.slotWaitSeconds.observe({ answer: 'refused' }, waitedSeconds);
    const isRefused = verdict === SlotVerdict.REFUSED;
    claim.wish.onAnswer(
      isRefused ? { type: 'refused', retryAfterMs: waitMs } : { type: 'unknown' },
    );
  }

  private log(event: string, claim: OpenClaim, word: SlotWord): void {
    const { inFlight, waiting, slots, waitMs } = word;
    const { backend, wish, askedAt } = claim;
    this.options.logger.info(event, {
      request: wish.request,
      backend,
      rank: wish.rank,
      inFlight,
      waiting,
      slots,
      waitMs,
      waitedMs: Math.round(steadyNow() - askedAt),
    });
  }

  private knownBackend(id: string, now: number): KnownBackend {
    const known = this.backends.get(id);
    if (known !== undefined) {
      known.usedAt = now;
      return known;
    }
    const keeper = this.keeperOf(id);
    const claims = new Map<number, OpenClaim>();
    const fresh: KnownBackend = {
      keeper,
      claims,
      figures: undefined,
      failureShare: 0,
      sentSince: 0,
      heardAt: 0,
      aloneUntil: 0,
      usedAt: now,
    };
    this.backends.set(id, fresh);
    return fresh;
  }

  private list(backend: string, { keeper, claims }: KnownBackend): void {
    const all = [...claims.values()];
    const inFlight = all.filter(({ state }) => state === 'held').map(({ ticket }) => ticket);
    const waiting = all.filter(({ state }) => state !== 'held').map(({ ticket }) => ticket);
    const value = create(SlotListSchema, { backend, inFlight, waiting });
    this.outbox.tell(keeper, { kind: 'list', value });
  }

  private followGroup(): void {
    if (!this.hasGroupChanged) return;
    this.hasGroupChanged = false;
    const { live, reachable, self } = this.options;
    this.keeper.keepOnly(new Set([...reachable(), self]));
    const candidates = highCapacityMembers(live())
      .map((member) => member.address)
      .sort();
    if (candidates.join() === this.candidates.join()) return;
    this.candidates = candidates;
    for (const [id, known] of this.backends) this.followKeeper(id, known);
  }

  /** A new keeper is told of all that this daemon has there, and asked for what waits. */
  private followKeeper(id: string, known: KnownBackend): void {
    const keeper = this.keeperOf(id);
    if (keeper === known.keeper) return;
    const former = known.keeper;
    known.keeper = keeper;
    known.figures = undefined;
    known.failureShare = 0;
    known.aloneUntil = 0;
    const waiting = [...known.claims.values()].filter(({ state }) => state !== 'held').length;
    const inFlight = known.claims.size - waiting;
    this.options.logger.info('slot_keeper_changed', {
      backend: id,
      former,
      keeper,
      inFlight,
      waiting,
    });
    for (const claim of known.claims.values()) {
      this.tellEnd(former, { backend: id, ticket: claim.ticket });
      if (claim.state === 'held') this.hold(known, claim);
    }
    for (const claim of known.claims.values()) if (claim.state !== 'held') this.ask(known, claim);
  }
}

/** Slots of a backend that takes requests; one that names none works on one request at a time. */
export function slotsOf(backend: BackendRecord | undefined): number | undefined {
  return backend && Math.max(1, backend.slots);
}
