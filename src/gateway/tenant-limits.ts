/**
 * Tenants' limits over all daemons. Each tenant has a holder, by rank among the live
 * daemons, which counts for all. Far below the limit a daemon admits at once and tells the
 * holder; near it, the holder is asked first. The holder grants under a lease that ends before
 * the next one counts. A daemon that hears nothing of a holder has its equal share.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import { firstCandidate } from '../common/rendezvous.js';
import { ablestOf } from '../core/duties.js';
import {
  LimitLedger,
  type HolderView,
  type LimitDecision,
  type LimitWindow,
} from '../core/admission/limit-ledger.js';
import type { LeaseHistory } from '../core/admission/holder-lease.js';
import { HolderSilence } from '../core/admission/holder-silence.js';
import type { MemberView } from '../core/membership-messages.js';
import type { CallerTenant, TenantLimit } from '../core/service-configuration.js';
import { SlidingSum } from '../core/sliding-sum.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  LimitAnswerSchema,
  LimitChargeSchema,
  LimitNewsSchema,
  type LimitCharge,
} from '../proto/gen/internal_pb.js';
import type { HolderLeases } from './holder-leases.js';
import { steadyNow } from './steady-clock.js';

/** A question is sent again after so long: a datagram may be lost. */
const ASK_AGAIN_MS = 60;
/** Without an answer by then the daemon decides alone. */
const ANSWER_WITHIN_MS = 200;
/** A ledger that counts for nobody any more is dropped after so many windows. */
const LEDGER_WINDOWS = 2;
/** The most questions on one tenant that wait for the holder's lease; a daemon that gets no answer asks again. */
const MOST_WAITING = 1_000;
/**
 * A holder tells its keepers of so much more than its own callers have used, as a part of that or of
 * its share: enough that it seldom asks for more, little enough that a successor loses not much.
 */
const CEILING_HEADROOM = 0.25;

/** Options of {@link TenantLimits}. */
export interface TenantLimitsOptions {
  readonly self: string;
  readonly window: LimitWindow;
  readonly logger: Logger;
  /** The leases under which this daemon grants as a holder. */
  readonly leases: HolderLeases;
  readonly live: () => readonly MemberView[];
  /** Daemons that the platform's store lists. */
  readonly listedCount: () => number;
  readonly tenant: (name: string) => CallerTenant | undefined;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

/** What this daemon knows of a tenant whose requests it admits. */
interface MemberState {
  holder: string;
  /** The holder's process, as it told last; 0 if it has told nothing. */
  holderProcess: number;
  /** The holder wants to be asked first. */
  isTight: boolean;
  /** Units that this daemon has admitted. */
  readonly own: SlidingSum;
  readonly silence: HolderSilence;
  /** Units that it has admitted while no holder was heard. */
  readonly alone: SlidingSum;
}

interface HeldLedger {
  readonly ledger: LimitLedger;
  /** As the other daemons were told last. */
  toldTight: boolean;
  usedAt: number;
  /** Questions that came before the lease, by daemon and number. */
  readonly waiting: Map<string, WaitingQuestion>;
}

interface WaitingQuestion {
  readonly from: string;
  readonly charge: LimitCharge;
  readonly cameAt: number;
}

interface OpenQuestion {
  readonly tenant: string;
  readonly units: number;
  readonly answer: (decision: LimitDecision) => void;
  timer: NodeJS.Timeout;
}

/** One daemon's part in counting, as a holder and as one that admits. */
export class TenantLimits {
  private readonly members = new Map<string, MemberState>();
  private readonly ledgers = new Map<string, HeldLedger>();
  private readonly questions = new Map<number, OpenQuestion>();
  private sequence = 0;
  private candidates: string[] = [];
  /** Since when the candidates are the same: the holders among them have counted all since. */
  private candidatesSince = steadyNow();
  private liveCount = 0;
  private hasGroupChanged = true;

  constructor(private readonly options: TenantLimitsOptions) {}

  /** Decides on a request of a tenant that has a limit; calls back at once or after the holder's word. */
  admit(name: string, units: number, answer: (decision: LimitDecision) => void): void {
    const now = steadyNow();
    // Who has not read the list of daemons does not know whose share of the limit it may count.
    if (this.options.listedCount() === 0) return answer({ type: 'unknown' });
    this.followGroup(now);
    const state = this.memberState(name, now);
    if (state.holder === this.options.self) return this.admitAsHolder(name, state, units, answer);
    if (state.isTight || !this.mayPass(name, state, units, now)) {
      return this.ask(name, state, units, answer);
    }
    state.own.add(units, now);
    const wantsWord = state.silence.tell(units, now);
    this.charge(state.holder, { tenant: name, units, wantsWord });
    answer({ type: 'granted' });
  }

  /** Gives the units of a request back that was admitted and has not run. */
  giveBack(name: string, units: number): void {
    const now = steadyNow();
    const state = this.memberState(name, now);
    state.own.add(-units, now);
    if (state.holder === this.options.self) this.held(name, now)?.ledger.count(-units, now);
    else this.charge(state.holder, { tenant: name, units: -units });
  }

  /** The set of live daemons has changed. */
  groupChanged(): void {
    this.hasGroupChanged = true;
  }

  /** Looks at the clock, the group and the ledgers; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.followGroup(now);
    this.options.leases.tick();
    for (const [name, held] of this.ledgers) this.tellTightness(name, held, now);
  }

  /** Handles a message about limits; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'limitCharge') this.hearCharge(from, body.value);
    else if (body.case === 'limitAnswer') {
      const { question, tenant, isGranted, retryAfterMs, isTight, process } = body.value;
      this.hearHolder(from, tenant, isTight, process);
      const decision: LimitDecision = isGranted
        ? { type: 'granted' }
        : { type: 'over_limit', retryAfterMs };
      this.settle(question, decision);
    } else if (body.case === 'limitNews') {
      const { tenant, isTight, process } = body.value;
      this.hearHolder(from, tenant, isTight, process);
    } else return this.options.leases.receive(from, body);
    return true;
  }

  private admitAsHolder(
    name: string,
    state: MemberState,
    units: number,
    answer: (decision: LimitDecision) => void,
  ): void {
    const now = steadyNow();
    const held = this.held(name, now);
    if (held !== undefined && !this.mayLendItself(name, state, units, now)) {
      return this.ask(name, state, units, answer);
    }
    state.silence.hear(now);
    const decision = held?.ledger.admit(units, now) ?? { type: 'granted' };
    if (decision.type === 'granted') state.own.add(units, now);
    answer(decision);
  }

  /** Whether a request may pass before the holder's word: it is heard, or this daemon keeps to its share. */
  private mayPass(name: string, state: MemberState, units: number, now: number): boolean {
    const limit = this.options.tenant(name)?.limit;
    if (limit === undefined) return true;
    const share = this.equalShare(limit);
    return state.silence.isHeard(units, share, now) || state.own.total(now) + units <= share;
  }

  /** Whether this daemon, as the holder, may grant to others now: its lease holds. */
  private mayLend(name: string): boolean {
    return this.options.leases.holds(leaseName(name));
  }

  /** Whether the holder may serve its own callers: its successor must be able to know of it. */
  private mayLendItself(name: string, state: MemberState, units: number, now: number): boolean {
    const own = state.own.total(now) + units;
    return this.mayLend(name) && own <= this.options.leases.ownCeiling(leaseName(name));
  }

  private followGroup(now: number): void {
    if (!this.hasGroupChanged) return;
    this.hasGroupChanged = false;
    const live = this.options.live();
    this.liveCount = live.length;
    const candidates = ablestOf(live)
      .map((member) => member.address)
      .sort();
    if (candidates.join() === this.candidates.join()) return;
    this.candidates = candidates;
    this.candidatesSince = now;
    for (const [name, state] of this.members) this.followHolder(name, state, now);
    for (const [name, held] of this.ledgers) this.followLease(name, held);
  }

  /** Asks for the lease on the count of a tenant that this daemon holds, and gives it back with the count. */
  private followLease(name: string, held: HeldLedger): void {
    const { leases, self } = this.options;
    if (this.holderOf(name) !== self) return leases.release(leaseName(name));
    leases.want(leaseName(name), {
      ownCeiling: (now) => this.ownCeiling(name, held, now),
      onGained: (history, now) => this.leaseGained(name, held, history, now),
      onAnswered: (now) => this.answerWaiting(held, now),
    });
  }

  /** Units that the holder tells the keepers as the most that it admits for its own callers in a window. */
  private ownCeiling(name: string, held: HeldLedger, now: number): number {
    const limit = this.options.tenant(name)?.limit;
    const share = limit === undefined ? 0 : this.equalShare(limit);
    const own = this.members.get(name)?.own.total(now) ?? 0;
    const waiting = [...held.waiting.values()].filter(({ from }) => from === this.options.self);
    const wanted = waiting.reduce((sum, { charge }) => sum + charge.units, own);
    return Math.max(share, wanted + CEILING_HEADROOM * Math.max(share, wanted));
  }

  private leaseGained(name: string, held: HeldLedger, history: LeaseHistory, now: number): void {
    const limit = this.options.tenant(name)?.limit;
    const isAnothers = history.soleMs < this.options.window.windowMs;
    if (limit !== undefined && isAnothers) {
      const unseen = this.unseenUnits(history, this.equalShare(limit));
      const forgotten = this.forgottenUnits(history);
      held.ledger.countFrom(now, unseen);
      if (forgotten > 0) held.ledger.recall(forgotten, now);
      // Who has heard a former process of this daemon tells it again what it has admitted.
      if (forgotten > 0) this.tellAll(name, true);
      this.options.logger.info('limit_counted_from', { tenant: name, unseen, forgotten });
    }
  }

  private answerWaiting(held: HeldLedger, now: number): void {
    if (held.waiting.size === 0) return;
    const waiting = [...held.waiting.values()];
    held.waiting.clear();
    for (const { from, charge, cameAt } of waiting) {
      if (now - cameAt < ANSWER_WITHIN_MS) this.hearCharge(from, charge);
    }
  }

  /** Units that former holders which are gone can have admitted for themselves beyond their share of the limit. */
  private unseenUnits({ formers }: LeaseHistory, share: number): number {
    const live = new Set(this.options.live().map((member) => member.address));
    const gone = formers.filter(({ holder }) => !live.has(holder));
    return gone.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling - share), 0);
  }

  /** Units that a former process of this daemon has admitted for itself at most. */
  private forgottenUnits({ formers }: LeaseHistory): number {
    const own = formers.filter(({ holder }) => holder === this.options.self);
    return own.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling), 0);
  }

  private ask(
    tenant: string,
    state: MemberState,
    units: number,
    answer: (decision: LimitDecision) => void,
  ): void {
    this.sequence += 1;
    const question = this.sequence;
    const send = (): void => {
      state.silence.ask(steadyNow());
      this.charge(state.holder, { tenant, units, question });
    };
    const timer = setTimeout(() => {
      send();
      open.timer = setTimeout(() => this.decideAlone(question), ANSWER_WITHIN_MS - ASK_AGAIN_MS);
    }, ASK_AGAIN_MS);
    const open: OpenQuestion = { tenant, units, answer, timer };
    this.questions.set(question, open);
    send();
  }

  /** The holder is gone or cut off: an equal share for each daemon passes no limit. */
  private decideAlone(question: number): void {
    const open = this.questions.get(question);
    const limit = open && this.options.tenant(open.tenant)?.limit;
    if (open === undefined || limit === undefined)
      return this.settle(question, { type: 'granted' });
    const now = steadyNow();
    const state = this.memberState(open.tenant, now);
    const { tenant, units } = open;
    const isAlone = state.silence.mayCountAlone(now);
    const isWithin = isAlone && state.own.total(now) + units <= this.equalShare(limit);
    if (isWithin) state.alone.add(units, now);
    const fields = { tenant, units, holder: state.holder, isGranted: isWithin };
    this.options.logger.warn('limit_holder_silent', fields);
    this.settle(question, isWithin ? { type: 'granted' } : { type: 'unknown' });
  }

  private equalShare(limit: TenantLimit): number {
    const { windowMs } = this.options.window;
    const units = (limit.perSecond * windowMs) / 1_000 + limit.burst;
    return units / Math.max(1, this.options.listedCount(), this.liveCount);
  }

  private settle(question: number, decision: LimitDecision): void {
    const open = this.questions.get(question);
    if (open === undefined) return;
    this.questions.delete(question);
    clearTimeout(open.timer);
    const now = steadyNow();
    if (decision.type === 'granted') this.memberState(open.tenant, now).own.add(open.units, now);
    open.answer(decision);
  }

  private hearCharge(from: string, charge: LimitCharge): void {
    const { tenant, units, question, isRecalled } = charge;
    const now = steadyNow();
    const held = this.held(tenant, now);
    if (held === undefined) return;
    const { ledger } = held;
    if (question === 0) {
      if (isRecalled) ledger.recall(units, now);
      else ledger.count(units, now);
      const isTight = ledger.isTight(now);
      if (!this.mayLend(tenant) || !(isTight || charge.wantsWord)) return;
      return this.answer(from, tenant, 0, { type: 'granted' }, isTight);
    }
    if (!this.mayAnswer(from, charge, now)) return this.keepWaiting(from, charge, held, now);
    const decision = ledger.admit(units, now);
    this.answer(from, tenant, question, decision, ledger.isTight(now));
  }

  private mayAnswer(from: string, { tenant, units }: LimitCharge, now: number): boolean {
    if (from !== this.options.self) return this.mayLend(tenant);
    return this.mayLendItself(tenant, this.memberState(tenant, now), units, now);
  }

  /** A question waits for the lease, or for the keepers' answer to a higher ceiling. */
  private keepWaiting(from: string, charge: LimitCharge, held: HeldLedger, now: number): void {
    if (held.waiting.size >= MOST_WAITING) return;
    held.waiting.set(`${from} ${charge.question}`, { from, charge, cameAt: now });
    const { tenant, units } = charge;
    if (from !== this.options.self || !this.mayLend(tenant)) return;
    const own = this.memberState(tenant, now).own.total(now);
    this.options.leases.raise(leaseName(tenant), own + units);
  }

  private answer(
    to: string,
    tenant: string,
    question: number,
    decision: LimitDecision,
    isTight: boolean,
  ): void {
    const retryAfterMs = decision.type === 'over_limit' ? Math.ceil(decision.retryAfterMs) : 0;
    const isGranted = decision.type === 'granted';
    const process = this.options.leases.process;
    const fields = { question, tenant, isGranted, retryAfterMs, isTight, process };
    this.deliver(to, { case: 'limitAnswer', value: create(LimitAnswerSchema, fields) });
  }

  /** Sends to another daemon; what goes to this one itself arrives at once. */
  private deliver(to: string, body: PeerBody): void {
    if (to === this.options.self) this.receive(to, body);
    else this.options.sendDatagram(to, body);
  }

  private charge(to: string, fields: MessageInitShape<typeof LimitChargeSchema>): void {
    this.deliver(to, { case: 'limitCharge', value: create(LimitChargeSchema, fields) });
  }

  /** A holder that counts has said something: it is told what it cannot know. */
  private hearHolder(from: string, tenant: string, isTight: boolean, process: number): void {
    const state = this.members.get(tenant);
    if (state === undefined || state.holder !== from) return;
    state.isTight = isTight;
    const now = steadyNow();
    state.silence.hear(now);
    const hasForgotten = state.holderProcess !== 0 && state.holderProcess !== process;
    state.holderProcess = process;
    const alone = state.alone.take(now);
    const units = hasForgotten ? state.own.total(now) : alone;
    if (units > 0) this.charge(from, { tenant, units, isRecalled: true });
  }

  private memberState(name: string, now: number): MemberState {
    const known = this.members.get(name);
    if (known !== undefined) return known;
    const own = new SlidingSum(this.options.window.windowMs);
    const alone = new SlidingSum(this.options.window.windowMs);
    const silence = new HolderSilence();
    const holder = this.holderOf(name);
    const state = { holder, holderProcess: 0, isTight: true, own, silence, alone };
    this.members.set(name, state);
    this.followHolder(name, state, now);
    return state;
  }

  /** A holder that has not counted this daemon's requests is told of them, and asked until it says otherwise. */
  private followHolder(name: string, state: MemberState, now: number): void {
    const holder = this.holderOf(name);
    if (holder === state.holder) return;
    state.holder = holder;
    state.holderProcess = 0;
    state.isTight = true;
    state.alone.take(now);
    const units = state.own.total(now);
    if (units === 0) return;
    if (holder === this.options.self) this.held(name, now)?.ledger.recall(units, now);
    else this.charge(holder, { tenant: name, units, isRecalled: true });
  }

  /** The daemon that counts for a tenant, as this one sees the group. */
  holderOf(tenant: string): string {
    return firstCandidate(`limit/${tenant}`, this.candidates) ?? this.options.self;
  }

  private held(name: string, now: number): HeldLedger | undefined {
    const limit = this.options.tenant(name)?.limit;
    if (limit === undefined) return undefined;
    const view = this.view();
    const known = this.ledgers.get(name);
    if (known !== undefined) {
      known.ledger.configure(limit, view, now);
      known.usedAt = now;
      return known;
    }
    const ledger = new LimitLedger(limit, this.options.window, view, this.candidatesSince);
    const held = { ledger, toldTight: true, usedAt: now, waiting: new Map() };
    this.ledgers.set(name, held);
    this.options.logger.info('limit_held', { tenant: name, share: view.share });
    this.followLease(name, held);
    return held;
  }

  private view(): HolderView {
    const daemons = Math.max(1, this.liveCount);
    return { daemons, share: daemons / Math.max(daemons, this.options.listedCount()) };
  }

  /** Who asked has decided alone since. */
  private forgetWaiting({ waiting }: HeldLedger, now: number): void {
    for (const [key, { cameAt }] of waiting) {
      if (now - cameAt >= ANSWER_WITHIN_MS) waiting.delete(key);
    }
  }

  private tellTightness(name: string, held: HeldLedger, now: number): void {
    if (now - held.usedAt > LEDGER_WINDOWS * this.options.window.windowMs) {
      this.ledgers.delete(name);
      this.options.leases.release(leaseName(name));
      return;
    }
    this.forgetWaiting(held, now);
    if (!this.mayLend(name)) return;
    const isTight = held.ledger.isTight(now);
    if (isTight === held.toldTight) return;
    held.toldTight = isTight;
    const used = Math.round(held.ledger.used(now));
    const capacity = Math.round(held.ledger.capacity());
    this.options.logger.info('limit_tight', { tenant: name, isTight, used, capacity });
    this.tellAll(name, isTight);
  }

  private tellAll(tenant: string, isTight: boolean): void {
    const process = this.options.leases.process;
    const value = create(LimitNewsSchema, { tenant, isTight, process });
    this.options.broadcast({ case: 'limitNews', value });
  }
}

/** The lease on a tenant's count. */
function leaseName(tenant: string): string {
  return `limit/${tenant}`;
}
