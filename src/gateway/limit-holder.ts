/**
 * The part of a daemon that counts under limits for all. It grants under a lease that ends before the next
 * holder counts, and answers the questions of the others and its own.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { LeaseHistory } from '../core/admission/holder-lease.js';
import type { LimitDecision, RateLedger, RateLimit } from '../core/admission/rate-ledger.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { LimitAnswerSchema, LimitNewsSchema, type LimitCharge } from '../proto/gen/internal_pb.js';
import type { HolderLeases } from './holder-leases.js';
import type { LimitGroup } from './limit-group.js';
import { heldName, type LimitKind } from './limit-kind.js';
import { steadyNow } from './steady-clock.js';

/** Without an answer by then whoever asks decides alone. */
export const ANSWER_WITHIN_MS = 200;
/** A ledger that counts for nobody any more is dropped after so many windows. */
const LEDGER_WINDOWS = 2;
/** The most questions on one name that wait for the lease; a daemon that gets no answer asks again. */
const MOST_WAITING = 1_000;
/**
 * A holder tells its keepers of so much more than its own callers have used, as a part of that or of
 * its share: enough that it seldom asks for more, little enough that a successor loses not much.
 */
const CEILING_HEADROOM = 0.25;

/** Options of {@link LimitHolder}. */
export interface LimitHolderOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly logger: Logger;
  readonly group: LimitGroup;
  /** The leases under which this daemon grants. */
  readonly leases: HolderLeases;
  /** The limit in force on a name; undefined if there is none. */
  readonly limitOf: (name: string) => RateLimit | undefined;
  /** Units that this daemon has admitted for its own callers in the window that ends now. */
  readonly ownUnits: (name: string, now: number) => number;
  /** Sends to a daemon, which may be this one. */
  readonly deliver: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

interface HeldLedger {
  readonly ledger: RateLedger;
  /** As it was announced to the other daemons last. */
  announcedTight: boolean;
  usedAt: number;
  /** Questions that came before the lease, by daemon and number. */
  readonly waiting: Map<string, WaitingQuestion>;
}

interface WaitingQuestion {
  readonly from: string;
  readonly charge: LimitCharge;
  readonly cameAt: number;
}

/** One daemon's ledgers. */
export class LimitHolder {
  private readonly ledgers = new Map<string, HeldLedger>();

  constructor(private readonly options: LimitHolderOptions) {}

  /**
   * Decides on a request of this daemon's own callers; `undefined` if the lease, or the keepers' answer to a higher
   * ceiling, must come first, so that it has to be asked for like that of another daemon.
   */
  admitOwn(name: string, units: number, now: number): LimitDecision | undefined {
    const held = this.held(name, now);
    if (held === undefined) return { type: 'granted' };
    return this.mayLendItself(name, units, now) ? held.ledger.admit(units, now) : undefined;
  }

  /** Counts units of this daemon's own callers, or gives them back. */
  countOwn(name: string, units: number, now: number): void {
    this.held(name, now)?.ledger.count(units, now);
  }

  /** Counts what this daemon has admitted before it held. */
  recallOwn(name: string, units: number, now: number): void {
    this.held(name, now)?.ledger.countReported(units, now);
  }

  /** Other daemons may hold now. */
  followGroup(): void {
    for (const [name, held] of this.ledgers) this.followLease(name, held);
  }

  /** Looks at the ledgers; call it a few times a second. */
  tick(now: number): void {
    for (const [name, held] of this.ledgers) this.tellTightness(name, held, now);
  }

  /** Counts what a daemon tells, and answers what it asks. */
  hearCharge(from: string, charge: LimitCharge): void {
    const { tenant: name, units, question, isRecalled } = charge;
    const now = steadyNow();
    const held = this.held(name, now);
    if (held === undefined) return;
    const { ledger } = held;
    if (question === 0) {
      if (isRecalled) ledger.countReported(units, now);
      else ledger.count(units, now);
      const isTight = ledger.requiresApproval(now);
      if (!this.mayLend(name) || !(isTight || charge.wantsWord)) return;
      return this.answer(from, name, 0, { type: 'granted' }, isTight);
    }
    if (!this.mayAnswer(from, charge, now)) return this.keepWaiting(from, charge, held, now);
    const decision = ledger.admit(units, now);
    this.answer(from, name, question, decision, ledger.requiresApproval(now));
  }

  /** Whether this daemon may grant to others now: its lease holds, and it may count shares. */
  private mayLend(name: string): boolean {
    const { group, leases } = this.options;
    return group.mayCount && leases.holds(this.leaseName(name));
  }

  /** Whether it may serve its own callers: its successor must be able to know of it. */
  private mayLendItself(name: string, units: number, now: number): boolean {
    const own = this.options.ownUnits(name, now) + units;
    return this.mayLend(name) && own <= this.options.leases.ownCeiling(this.leaseName(name));
  }

  private mayAnswer(from: string, charge: LimitCharge, now: number): boolean {
    const { tenant: name, units } = charge;
    if (from !== this.options.self) return this.mayLend(name);
    return this.mayLendItself(name, units, now);
  }

  /** A question waits for the lease, or for the keepers' answer to a higher ceiling. */
  private keepWaiting(from: string, charge: LimitCharge, held: HeldLedger, now: number): void {
    if (held.waiting.size >= MOST_WAITING) return;
    held.waiting.set(`${from} ${charge.question}`, { from, charge, cameAt: now });
    const { tenant: name, units } = charge;
    if (from !== this.options.self || !this.mayLend(name)) return;
    const own = this.options.ownUnits(name, now);
    this.options.leases.raise(this.leaseName(name), own + units);
  }

  private answerWaiting(held: HeldLedger, now: number): void {
    if (held.waiting.size === 0) return;
    const waiting = [...held.waiting.values()];
    held.waiting.clear();
    for (const { from, charge, cameAt } of waiting) {
      if (now - cameAt < ANSWER_WITHIN_MS) this.hearCharge(from, charge);
    }
  }

  /** Who asked has decided alone since. */
  private forgetWaiting({ waiting }: HeldLedger, now: number): void {
    for (const [key, { cameAt }] of waiting) {
      if (now - cameAt >= ANSWER_WITHIN_MS) waiting.delete(key);
    }
  }

  private held(name: string, now: number): HeldLedger | undefined {
    const { limitOf, group, kind, logger } = this.options;
    const limit = limitOf(name);
    if (limit === undefined) return undefined;
    const view = group.view();
    const known = this.ledgers.get(name);
    if (known !== undefined) {
      known.ledger.configure(limit, view, now);
      known.usedAt = now;
      return known;
    }
    const ledger = kind.makeLedger(limit, view, group.candidatesSince);
    const held = { ledger, announcedTight: true, usedAt: now, waiting: new Map() };
    this.ledgers.set(name, held);
    logger.info('limit_held', { [kind.subject]: name, share: view.share });
    this.followLease(name, held);
    return held;
  }

  /** Asks for the lease on a count that this daemon holds, and gives it back with the count. */
  private followLease(name: string, held: HeldLedger): void {
    const { leases, group } = this.options;
    if (!group.isHolder(name)) return leases.release(this.leaseName(name));
    leases.want(this.leaseName(name), {
      ownCeiling: (now) => this.ownCeiling(name, held, now),
      onGained: (history, missingMs, now) => this.leaseGained(name, held, history, missingMs, now),
      onAnswered: (now) => this.answerWaiting(held, now),
    });
  }

  /** Units that the holder tells the keepers as the most that it admits for its own callers in a window. */
  private ownCeiling(name: string, held: HeldLedger, now: number): number {
    const { self, group, limitOf, ownUnits } = this.options;
    const limit = limitOf(name);
    const share = limit === undefined ? 0 : group.usualShare(limit);
    const own = ownUnits(name, now);
    const waiting = [...held.waiting.values()].filter(({ from }) => from === self);
    const wanted = waiting.reduce((sum, { charge }) => sum + charge.units, own);
    return Math.max(share, wanted + CEILING_HEADROOM * Math.max(share, wanted));
  }

  private leaseGained(
    name: string,
    held: HeldLedger,
    history: LeaseHistory,
    missingMs: number,
    now: number,
  ): void {
    const { limitOf, kind, group, logger } = this.options;
    const limit = limitOf(name);
    // Nobody was answered meanwhile: other daemons may have counted their shares alone.
    const wasSilent = missingMs >= ANSWER_WITHIN_MS;
    const mayHaveOthersUnits = wasSilent || history.soleMs < kind.windowMs;
    if (limit === undefined || !mayHaveOthersUnits) return;
    const unseen = this.unseenUnits(history, group.usualShare(limit));
    const forgotten = this.forgottenUnits(history);
    held.ledger.restartFrom(now, unseen);
    if (forgotten > 0) held.ledger.countReported(forgotten, now);
    // Who has heard a former process of this daemon tells it again what it has admitted.
    if (forgotten > 0) this.tellAll(name, true);
    logger.info('limit_counted_from', { [kind.subject]: name, unseen, forgotten });
  }

  /** Units that former holders which are gone can have admitted for themselves beyond their share of the limit. */
  private unseenUnits({ previousHolders: formers }: LeaseHistory, share: number): number {
    const live = this.options.group.liveAddresses();
    const gone = formers.filter(({ holder }) => !live.has(holder));
    return gone.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling - share), 0);
  }

  /** Units that a former process of this daemon has admitted for itself at most. */
  private forgottenUnits({ previousHolders: formers }: LeaseHistory): number {
    const own = formers.filter(({ holder }) => holder === this.options.self);
    return own.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling), 0);
  }

  private tellTightness(name: string, held: HeldLedger, now: number): void {
    const { kind } = this.options;
    if (now - held.usedAt > LEDGER_WINDOWS * kind.windowMs) {
      this.ledgers.delete(name);
      this.options.leases.release(this.leaseName(name));
      return;
    }
    this.forgetWaiting(held, now);
    if (!this.mayLend(name)) return;
    const isTight = held.ledger.requiresApproval(now);
    if (isTight === held.announcedTight) return;
    held.announcedTight = isTight;
    const used = Math.round(held.ledger.used(now));
    const capacity = Math.round(held.ledger.capacity());
    this.options.logger.info('limit_tight', { [kind.subject]: name, isTight, used, capacity });
    this.tellAll(name, isTight);
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
    const { leases, kind } = this.options;
    const { process } = leases;
    const { isOfBackend } = kind;
    const fields = { question, tenant, isGranted, retryAfterMs, isTight, process, isOfBackend };
    this.options.deliver(to, { case: 'limitAnswer', value: create(LimitAnswerSchema, fields) });
  }

  private tellAll(tenant: string, isTight: boolean): void {
    const { leases, kind } = this.options;
    const { process } = leases;
    const value = create(LimitNewsSchema, {
      tenant,
      isTight,
      process,
      isOfBackend: kind.isOfBackend,
    });
    this.options.broadcast({ case: 'limitNews', value });
  }

  /** Names the lease on a count. */
  private leaseName(name: string): string {
    return heldName(this.options.kind, name);
  }
}
