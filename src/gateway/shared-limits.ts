/**
 * Limits of one kind, shared by all daemons. Each name has a holder, the first by rank among the live daemons, which counts the
 * units of all daemons (`limit-holder.ts`). Far below a limit, a daemon admits requests at once and reports them to the holder;
 * near it, a daemon requests the holder's decision first. Without a reply from a holder, a daemon may use its own share
 * (`core/admission/limit-shares.ts`).
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
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
import { HOLDER_TIMEOUT_MS, LimitHolder } from './limit-holder.js';
import { steadyNow } from './steady-clock.js';

/** Delay after which a request to the holder is sent again, because a datagram may be lost. */
const REQUEST_RETRY_MS = 60;

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
  /** Returns the limit in force on a name; undefined if there is none. */
  readonly limitOf: (name: string) => RateLimit | undefined;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

/** This daemon's state for a name under whose limit it admits requests. */
interface MemberState {
  holder: string;
  /** Identifies the holder's process, from its last message; 0 before the first message. */
  holderProcess: number;
  /** Whether requests need the holder's decision before they are admitted. */
  isTight: boolean;
  /** Units that this daemon has admitted. */
  readonly admitted: SlidingSum;
  readonly contact: HolderContact;
  /** Units that this daemon has admitted without a reply from a holder. */
  readonly admittedAlone: SlidingSum;
}

/** Fields common to all messages of a holder. */
type HolderMessage = Pick<LimitAnswer, 'tenant' | 'isTight' | 'process'>;

type LimitBody = Extract<PeerBody, { case: 'limitCharge' | 'limitAnswer' | 'limitNews' }>;

interface OpenRequest {
  readonly name: string;
  readonly units: number;
  readonly onDecision: (decision: LimitDecision) => void;
  timeout: ReplyTimeout;
}

/** One daemon's part in the limits of one kind: it admits requests, and may be a holder. */
export class SharedLimits {
  private readonly members = new Map<string, MemberState>();
  private readonly openRequests = new Map<number, OpenRequest>();
  private readonly group: LimitGroup;
  private readonly holderRole: LimitHolder;
  private sequence = 0;

  constructor(private readonly options: SharedLimitsOptions) {
    const { self, kind, logger, leases, live, shares, limitOf, broadcast } = options;
    this.group = new LimitGroup({ self, kind, live, shares }, steadyNow());
    this.holderRole = new LimitHolder({
      self,
      kind,
      logger,
      group: this.group,
      leases,
      limitOf,
      ownUnits: (name, now) => this.members.get(name)?.admitted.total(now) ?? 0,
      deliver: (to, body) => this.deliver(to, body),
      broadcast,
    });
  }

  /** Decides on a request under a limit. Calls `onDecision` at once or after the holder's decision. */
  admit(name: string, units: number, onDecision: (decision: LimitDecision) => void): void {
    const now = steadyNow();
    this.updateGroup(now);
    if (!this.group.hasCandidates) return onDecision({ type: 'unknown' });
    const state = this.memberState(name);
    if (state.holder === this.options.self)
      return this.admitAsHolder(name, state, units, onDecision);
    if (state.isTight || !this.mayAdmitNow(name, state, units, now)) {
      return this.requestDecision(name, state, units, onDecision);
    }
    state.admitted.add(units, now);
    const wantsWord = state.contact.recordReported(units, now);
    this.sendCharge(state.holder, { tenant: name, units, wantsWord });
    onDecision({ type: 'granted' });
  }

  /** Returns the units of a request that was admitted but has not run. */
  giveBack(name: string, units: number): void {
    const now = steadyNow();
    const state = this.memberState(name);
    state.admitted.add(-units, now);
    if (state.holder === this.options.self) this.holderRole.countOwn(name, -units, now);
    else this.sendCharge(state.holder, { tenant: name, units: -units });
  }

  /** Call this when the set of live daemons or the division of limits has changed. */
  groupChanged(): void {
    this.group.markChanged();
  }

  /** Updates the group and the ledgers; call it a few times a second. */
  tick(): void {
    const now = steadyNow();
    this.updateGroup(now);
    this.holderRole.tick(now);
  }

  /** Handles a message about limits of this kind. Returns false if it is another message. */
  receive(from: string, body: PeerBody): boolean {
    if (!isLimitBody(body) || body.value.isOfBackend !== this.options.kind.isOfBackend)
      return false;
    if (body.case === 'limitCharge') this.holderRole.handleCharge(from, body.value);
    else if (body.case === 'limitAnswer') this.handleReply(from, body.value);
    else this.handleHolderMessage(from, body.value);
    return true;
  }

  /** Returns the holder of a name, as this daemon sees the group. */
  holderOf(name: string): string {
    return this.group.holderOf(name);
  }

  private admitAsHolder(
    name: string,
    state: MemberState,
    units: number,
    onDecision: (decision: LimitDecision) => void,
  ): void {
    const now = steadyNow();
    const decision = this.holderRole.admitOwn(name, units, now);
    if (decision === undefined) return this.requestDecision(name, state, units, onDecision);
    state.contact.recordReply(now);
    if (decision.type === 'granted') state.admitted.add(units, now);
    onDecision(decision);
  }

  /**
   * Returns whether a request may be admitted without the holder's decision: the holder is responsive, or the request
   * fits into this daemon's share.
   */
  private mayAdmitNow(name: string, state: MemberState, units: number, now: number): boolean {
    const limit = this.options.limitOf(name);
    if (limit === undefined) return true;
    const share = this.group.ownShare(limit);
    return (
      state.contact.isResponsive(units, share, now) || state.admitted.total(now) + units <= share
    );
  }

  private updateGroup(now: number): void {
    if (!this.group.update(now)) return;
    for (const [name, state] of this.members) this.updateHolder(name, state, now);
    this.holderRole.updateLeases();
  }

  private requestDecision(
    name: string,
    state: MemberState,
    units: number,
    onDecision: (decision: LimitDecision) => void,
  ): void {
    this.sequence += 1;
    const question = this.sequence;
    const send = (): void => {
      state.contact.recordReplyRequested(steadyNow());
      this.sendCharge(state.holder, { tenant: name, units, question });
    };
    const timeout = startReplyTimeout(REQUEST_RETRY_MS, () => {
      send();
      const restMs = HOLDER_TIMEOUT_MS - REQUEST_RETRY_MS;
      open.timeout = startReplyTimeout(restMs, () => this.decideAlone(question));
    });
    const open: OpenRequest = { name, units, onDecision, timeout };
    this.openRequests.set(question, open);
    send();
  }

  /** Decides without the holder, which has ended or is unreachable. If each daemon keeps to its equal share, no limit is exceeded. */
  private decideAlone(question: number): void {
    const open = this.openRequests.get(question);
    const limit = open && this.options.limitOf(open.name);
    if (open === undefined || limit === undefined)
      return this.complete(question, { type: 'granted' });
    const now = steadyNow();
    const { kind, logger } = this.options;
    const { name, units } = open;
    const state = this.memberState(name);
    const mayUseOwnShare = state.contact.mayUseOwnShare(now);
    const isWithin =
      mayUseOwnShare && state.admitted.total(now) + units <= this.group.ownShare(limit);
    if (isWithin) state.admittedAlone.add(units, now);
    const fields = { [kind.subject]: name, units, holder: state.holder, isGranted: isWithin };
    logger.warn('limit_holder_silent', fields);
    this.complete(question, isWithin ? { type: 'granted' } : { type: 'unknown' });
  }

  private complete(question: number, decision: LimitDecision): void {
    const open = this.openRequests.get(question);
    if (open === undefined) return;
    this.openRequests.delete(question);
    open.timeout.cancel();
    const now = steadyNow();
    if (decision.type === 'granted') this.memberState(open.name).admitted.add(open.units, now);
    open.onDecision(decision);
  }

  /** Sends a message to a daemon. A message to this daemon is handled at once. */
  private deliver(to: string, body: PeerBody): void {
    if (to === this.options.self) this.receive(to, body);
    else this.options.sendDatagram(to, body);
  }

  private sendCharge(to: string, fields: MessageInitShape<typeof LimitChargeSchema>): void {
    const { isOfBackend } = this.options.kind;
    const value = create(LimitChargeSchema, { ...fields, isOfBackend });
    this.deliver(to, { case: 'limitCharge', value });
  }

  private handleReply(from: string, reply: LimitAnswer): void {
    const { question, isGranted, retryAfterMs } = reply;
    this.handleHolderMessage(from, reply);
    const refused: LimitDecision = { type: 'over_limit', retryAfterMs };
    this.complete(question, isGranted ? { type: 'granted' } : refused);
  }

  /** Handles a message of a holder with a lease. Reports the units to it that it cannot know of. */
  private handleHolderMessage(
    from: string,
    { tenant: name, isTight, process }: HolderMessage,
  ): void {
    const state = this.members.get(name);
    if (state === undefined || state.holder !== from) return;
    state.isTight = isTight;
    const now = steadyNow();
    state.contact.recordReply(now);
    const hasRestarted = state.holderProcess !== 0 && state.holderProcess !== process;
    state.holderProcess = process;
    const admittedAlone = state.admittedAlone.takeTotal(now);
    const units = hasRestarted ? state.admitted.total(now) : admittedAlone;
    if (units > 0) this.sendCharge(from, { tenant: name, units, isRecalled: true });
  }

  private memberState(name: string): MemberState {
    const known = this.members.get(name);
    if (known !== undefined) return known;
    const admitted = new SlidingSum(this.options.kind.windowMs);
    const admittedAlone = new SlidingSum(this.options.kind.windowMs);
    const contact = new HolderContact();
    const holder = this.holderOf(name);
    const state = { holder, holderProcess: 0, isTight: true, admitted, contact, admittedAlone };
    this.members.set(name, state);
    return state;
  }

  /**
   * Applies a change of the holder. Reports this daemon's units to the new holder, whose decision is required for each
   * request until it announces otherwise.
   */
  private updateHolder(name: string, state: MemberState, now: number): void {
    const holder = this.holderOf(name);
    if (holder === state.holder) return;
    state.holder = holder;
    state.holderProcess = 0;
    state.isTight = true;
    state.admittedAlone.takeTotal(now);
    const units = state.admitted.total(now);
    if (units === 0) return;
    if (holder === this.options.self) this.holderRole.countOwnReported(name, units, now);
    else this.sendCharge(holder, { tenant: name, units, isRecalled: true });
  }
}

function isLimitBody(body: PeerBody): body is LimitBody {
  return body.case === 'limitCharge' || body.case === 'limitAnswer' || body.case === 'limitNews';
}
