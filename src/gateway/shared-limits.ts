/**
 * Limits over all daemons, of one kind. Each name has a holder, by rank among the live daemons, which counts for all
 * (`limit-holder.ts`). Far below a limit a daemon may admit at once and tell the holder; near it, the holder is asked first. A
 * daemon that hears nothing of a holder has its own share (`core/admission/limit-shares.ts`).
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import { HolderContact } from '../core/admission/holder-contact.js';
import type { LimitShares } from '../core/admission/limit-shares.js';
import type { LimitDecision, RateLimit } from '../core/admission/rate-ledger.js';
import type { MemberView } from '../core/membership-messages.js';
import { SlidingSum } from '../core/sliding-sum.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { LimitChargeSchema, type LimitAnswer } from '../proto/gen/internal_pb.js';
import type { HolderLeases } from './holder-leases.js';
import { LimitGroup } from './limit-group.js';
import type { LimitKind } from './limit-kind.js';
import { ANSWER_WITHIN_MS, LimitHolder } from './limit-holder.js';
import { steadyNow } from './steady-clock.js';

/** A question is sent again after so long: a datagram may be lost. */
const ASK_AGAIN_MS = 60;

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly logger: Logger;
  /** The leases under which this daemon grants as a holder. */
  readonly leases: HolderLeases;
  readonly live: () => readonly MemberView[];
  /** How limits are divided among the daemons. */
  readonly shares: LimitShares;
  /** The limit in force on a name; undefined if there is none. */
  readonly limitOf: (name: string) => RateLimit | undefined;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

/** What this daemon knows of a name under whose limit it admits requests. */
interface MemberState {
  holder: string;
  /** The holder's process, by its last message; 0 before the first. */
  holderProcess: number;
  /** The holder wants to be asked first. */
  isTight: boolean;
  /** Units that this daemon has admitted. */
  readonly own: SlidingSum;
  readonly silence: HolderContact;
  /** Units that it has admitted while no holder was heard. */
  readonly alone: SlidingSum;
}

/** What each message of a holder holds. */
type HolderMessage = Pick<LimitAnswer, 'tenant' | 'isTight' | 'process'>;

type LimitBody = Extract<PeerBody, { case: 'limitCharge' | 'limitAnswer' | 'limitNews' }>;

interface OpenQuestion {
  readonly name: string;
  readonly units: number;
  readonly answer: (decision: LimitDecision) => void;
  timer: NodeJS.Timeout;
}

/** One daemon's part in counting, as one that admits and as a holder. */
export class SharedLimits {
  private readonly members = new Map<string, MemberState>();
  private readonly questions = new Map<number, OpenQuestion>();
  private readonly group: LimitGroup;
  private readonly asHolder: LimitHolder;
  private sequence = 0;

  constructor(private readonly options: SharedLimitsOptions) {
    const { self, kind, logger, leases, live, shares, limitOf, broadcast } = options;
    this.group = new LimitGroup({ self, kind, live, shares }, steadyNow());
    this.asHolder = new LimitHolder({
      self,
      kind,
      logger,
      group: this.group,
      leases,
      limitOf,
      ownUnits: (name, now) => this.members.get(name)?.own.total(now) ?? 0,
      deliver: (to, body) => this.deliver(to, body),
      broadcast,
    });
  }

  /** Decides on a request under a limit; calls back at once or after the holder's decision. */
  admit(name: string, units: number, answer: (decision: LimitDecision) => void): void {
    const now = steadyNow();
    this.followGroup(now);
    if (!this.group.hasCandidates) return answer({ type: 'unknown' });
    const state = this.memberState(name);
    if (state.holder === this.options.self) return this.admitAsHolder(name, state, units, answer);
    if (state.isTight || !this.mayPass(name, state, units, now)) {
      return this.ask(name, state, units, answer);
    }
    state.own.add(units, now);
    const wantsWord = state.silence.recordReported(units, now);
    this.charge(state.holder, { tenant: name, units, wantsWord });
    answer({ type: 'granted' });
  }

  /** Gives the units of a request back that was admitted and has not run. */
  giveBack(name: string, units: number): void {
    const now = steadyNow();
    const state = this.memberState(name);
    state.own.add(-units, now);
    if (state.holder === this.options.self) this.asHolder.countOwn(name, -units, now);
    else this.charge(state.holder, { tenant: name, units: -units });
  }

  /** The set of live daemons has changed, or the division of limits. */
  groupChanged(): void {
    this.group.changed();
  }

  /** Looks at the clock, the group and the ledgers; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.followGroup(now);
    this.asHolder.tick(now);
  }

  /** Handles a message about limits of this kind; false if it is another one. */
  receive(from: string, body: PeerBody): boolean {
    if (!isOfLimits(body) || body.value.isOfBackend !== this.options.kind.isOfBackend) return false;
    if (body.case === 'limitCharge') this.asHolder.hearCharge(from, body.value);
    else if (body.case === 'limitAnswer') this.hearAnswer(from, body.value);
    else this.hearHolder(from, body.value);
    return true;
  }

  /** The daemon that counts under the limit of a name, as this one sees the group. */
  holderOf(name: string): string {
    return this.group.holderOf(name);
  }

  private admitAsHolder(
    name: string,
    state: MemberState,
    units: number,
    answer: (decision: LimitDecision) => void,
  ): void {
    const now = steadyNow();
    const decision = this.asHolder.admitOwn(name, units, now);
    if (decision === undefined) return this.ask(name, state, units, answer);
    state.silence.recordReply(now);
    if (decision.type === 'granted') state.own.add(units, now);
    answer(decision);
  }

  /** Whether a request may pass before the holder's decision: it is heard, or this daemon keeps to its share. */
  private mayPass(name: string, state: MemberState, units: number, now: number): boolean {
    const limit = this.options.limitOf(name);
    if (limit === undefined) return true;
    const share = this.group.ownShare(limit);
    return state.silence.isResponsive(units, share, now) || state.own.total(now) + units <= share;
  }

  private followGroup(now: number): void {
    if (!this.group.follow(now)) return;
    for (const [name, state] of this.members) this.followHolder(name, state, now);
    this.asHolder.followGroup();
  }

  private ask(
    name: string,
    state: MemberState,
    units: number,
    answer: (decision: LimitDecision) => void,
  ): void {
    this.sequence += 1;
    const question = this.sequence;
    const send = (): void => {
      state.silence.recordReplyRequested(steadyNow());
      this.charge(state.holder, { tenant: name, units, question });
    };
    const timer = setTimeout(() => {
      send();
      open.timer = setTimeout(() => this.decideAlone(question), ANSWER_WITHIN_MS - ASK_AGAIN_MS);
    }, ASK_AGAIN_MS);
    const open: OpenQuestion = { name, units, answer, timer };
    this.questions.set(question, open);
    send();
  }

  /** The holder is gone or cut off: an equal share for each daemon passes no limit. */
  private decideAlone(question: number): void {
    const open = this.questions.get(question);
    const limit = open && this.options.limitOf(open.name);
    if (open === undefined || limit === undefined)
      return this.settle(question, { type: 'granted' });
    const now = steadyNow();
    const { kind, logger } = this.options;
    const { name, units } = open;
    const state = this.memberState(name);
    const isAlone = state.silence.mayUseOwnShare(now);
    const isWithin = isAlone && state.own.total(now) + units <= this.group.ownShare(limit);
    if (isWithin) state.alone.add(units, now);
    const fields = { [kind.subject]: name, units, holder: state.holder, isGranted: isWithin };
    logger.warn('limit_holder_silent', fields);
    this.settle(question, isWithin ? { type: 'granted' } : { type: 'unknown' });
  }

  private settle(question: number, decision: LimitDecision): void {
    const open = this.questions.get(question);
    if (open === undefined) return;
    this.questions.delete(question);
    clearTimeout(open.timer);
    const now = steadyNow();
    if (decision.type === 'granted') this.memberState(open.name).own.add(open.units, now);
    open.answer(decision);
  }

  /** Sends to another daemon; what goes to this one itself arrives at once. */
  private deliver(to: string, body: PeerBody): void {
    if (to === this.options.self) this.receive(to, body);
    else this.options.sendDatagram(to, body);
  }

  private charge(to: string, fields: MessageInitShape<typeof LimitChargeSchema>): void {
    const { isOfBackend } = this.options.kind;
    const value = create(LimitChargeSchema, { ...fields, isOfBackend });
    this.deliver(to, { case: 'limitCharge', value });
  }

  private hearAnswer(from: string, answer: LimitAnswer): void {
    const { question, isGranted, retryAfterMs } = answer;
    this.hearHolder(from, answer);
    const refused: LimitDecision = { type: 'over_limit', retryAfterMs };
    this.settle(question, isGranted ? { type: 'granted' } : refused);
  }

  /** A holder that counts has sent a message: it is sent what it cannot know. */
  private hearHolder(from: string, { tenant: name, isTight, process }: HolderMessage): void {
    const state = this.members.get(name);
    if (state === undefined || state.holder !== from) return;
    state.isTight = isTight;
    const now = steadyNow();
    state.silence.recordReply(now);
    const hasForgotten = state.holderProcess !== 0 && state.holderProcess !== process;
    state.holderProcess = process;
    const alone = state.alone.takeTotal(now);
    const units = hasForgotten ? state.own.total(now) : alone;
    if (units > 0) this.charge(from, { tenant: name, units, isRecalled: true });
  }

  private memberState(name: string): MemberState {
    const known = this.members.get(name);
    if (known !== undefined) return known;
    const own = new SlidingSum(this.options.kind.windowMs);
    const alone = new SlidingSum(this.options.kind.windowMs);
    const silence = new HolderContact();
    const holder = this.holderOf(name);
    const state = { holder, holderProcess: 0, isTight: true, own, silence, alone };
    this.members.set(name, state);
    return state;
  }

  /** A holder that has not counted this daemon's requests is sent them, and asked before each request until it says otherwise. */
  private followHolder(name: string, state: MemberState, now: number): void {
    const holder = this.holderOf(name);
    if (holder === state.holder) return;
    state.holder = holder;
    state.holderProcess = 0;
    state.isTight = true;
    state.alone.takeTotal(now);
    const units = state.own.total(now);
    if (units === 0) return;
    if (holder === this.options.self) this.asHolder.recallOwn(name, units, now);
    else this.charge(holder, { tenant: name, units, isRecalled: true });
  }
}

function isOfLimits(body: PeerBody): body is LimitBody {
  return body.case === 'limitCharge' || body.case === 'limitAnswer' || body.case === 'limitNews';
}
