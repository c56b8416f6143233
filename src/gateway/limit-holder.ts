/**
 * The holder's role of a daemon: it counts units under limits on behalf of all daemons. It grants units under a lease that
 * ends before the next holder counts, and replies to requests of the other daemons and its own.
 */
import { create } from '@bufbuild/protobuf';
import type { Logger } from '../common/logger.js';
import type { LeaseHistory } from '../core/admission/holder-lease.js';
import type { LimitDecision, RateLedger, RateLimit } from '../core/admission/rate-ledger.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { LimitAnswerSchema, LimitNewsSchema, type LimitCharge } from '../proto/gen/internal_pb.js';
import type { HolderLeases } from './holder-leases.js';
import type { LimitGroup } from './limit-group.js';
import { resourceName, type LimitKind } from './limit-kind.js';
import { steadyNow } from './steady-clock.js';

/** Timeout of a request to the holder. Without a reply by then the requesting daemon decides by its own share. */
export const HOLDER_TIMEOUT_MS = 200;
/** Number of windows without use after which a ledger is deleted. */
const UNUSED_LEDGER_WINDOWS = 2;
/** Maximum number of requests per name that wait for the lease. A daemon that gets no reply sends its request again. */
const MAX_WAITING_REQUESTS = 1_000;
/**
 * Headroom of the announced ceiling over the units of the holder's own callers, as a fraction of these units or of
 * its share. It is large enough that the holder seldom requests a higher ceiling, and small enough that a successor
 * loses few units to it.
 */
const CEILING_HEADROOM = 0.25;

/** Options of {@link LimitHolder}. */
export interface LimitHolderOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly logger: Logger;
  readonly group: LimitGroup;
  /** The leases under which this daemon grants units. */
  readonly leases: HolderLeases;
  /** Returns the limit in force on a name; undefined if there is none. */
  readonly limitOf: (name: string) => RateLimit | undefined;
  /** Returns the units that this daemon has admitted for its own callers in the window that ends now. */
  readonly ownUnits: (name: string, now: number) => number;
  /** Sends a message to a daemon, which may be this one. */
  readonly deliver: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
}

interface HeldLedger {
  readonly ledger: RateLedger;
  /** Whether the last announcement to the other daemons said that requests need the holder's decision. */
  announcedTight: boolean;
  usedAt: number;
  /** Requests that arrived before the lease or the ceiling was granted, by daemon and number. */
  readonly waiting: Map<string, WaitingRequest>;
}

interface WaitingRequest {
  readonly from: string;
  readonly charge: LimitCharge;
  readonly arrivedAt: number;
}

/** The ledgers of one daemon as a holder. */
export class LimitHolder {
  private readonly ledgers = new Map<string, HeldLedger>();

  constructor(private readonly options: LimitHolderOptions) {}

  /**
   * Decides on a request of this daemon's own callers. Returns `undefined` if the lease or the voters' reply to a higher
   * ceiling is still missing; the request must then be sent like that of another daemon.
   */
  admitOwn(name: string, units: number, now: number): LimitDecision | undefined {
    const held = this.held(name, now);
    if (held === undefined) return { type: 'granted' };
    return this.mayGrantOwn(name, units, now) ? held.ledger.admit(units, now) : undefined;
  }

  /** Counts units of this daemon's own callers. Negative units are returned ones. */
  countOwn(name: string, units: number, now: number): void {
    this.held(name, now)?.ledger.count(units, now);
  }

  /** Counts units that this daemon admitted before it became the holder. */
  countOwnReported(name: string, units: number, now: number): void {
    this.held(name, now)?.ledger.countReported(units, now);
  }

  /** Requests and releases leases after the candidates for holder have changed. */
  updateLeases(): void {
    for (const [name, held] of this.ledgers) this.updateLease(name, held);
  }

  /** Announces changes and deletes unused ledgers; call it a few times a second. */
  tick(now: number): void {
    for (const [name, held] of this.ledgers) this.updateTightness(name, held, now);
  }

  /** Counts units that a daemon reports, or replies to its request. */
  handleCharge(from: string, charge: LimitCharge): void {
    const { tenant: name, units, question, isRecalled } = charge;
    const now = steadyNow();
    const held = this.held(name, now);
    if (held === undefined) return;
    const { ledger } = held;
    if (question === 0) {
      if (isRecalled) ledger.countReported(units, now);
      else ledger.count(units, now);
      const isTight = ledger.requiresApproval(now);
      if (!this.mayGrant(name) || !(isTight || charge.wantsWord)) return;
      return this.reply(from, name, 0, { type: 'granted' }, isTight);
    }
    if (!this.mayReply(from, charge, now)) return this.queueRequest(from, charge, held, now);
    const decision = ledger.admit(units, now);
    this.reply(from, name, question, decision, ledger.requiresApproval(now));
  }

  /** Returns whether this daemon may grant units to others now: it holds the lease and may use its share. */
  private mayGrant(name: string): boolean {
    const { group, leases } = this.options;
    return group.mayUseShare && leases.isHeld(this.leaseName(name));
  }

  /** Returns whether this daemon may grant units to its own callers. They must be within the ceiling, from which its successor learns of them. */
  private mayGrantOwn(name: string, units: number, now: number): boolean {
    const own = this.options.ownUnits(name, now) + units;
    return this.mayGrant(name) && own <= this.options.leases.ownCeiling(this.leaseName(name));
  }

  private mayReply(from: string, charge: LimitCharge, now: number): boolean {
    const { tenant: name, units } = charge;
    if (from !== this.options.self) return this.mayGrant(name);
    return this.mayGrantOwn(name, units, now);
  }

  /** Queues a request until the lease or a higher ceiling is granted. */
  private queueRequest(from: string, charge: LimitCharge, held: HeldLedger, now: number): void {
    if (held.waiting.size >= MAX_WAITING_REQUESTS) return;
    held.waiting.set(`${from} ${charge.question}`, { from, charge, arrivedAt: now });
    const { tenant: name, units } = charge;
    if (from !== this.options.self || !this.mayGrant(name)) return;
    const own = this.options.ownUnits(name, now);
    this.options.leases.raiseCeiling(this.leaseName(name), own + units);
  }

  private replyToWaiting(held: HeldLedger, now: number): void {
    if (held.waiting.size === 0) return;
    const waiting = [...held.waiting.values()];
    held.waiting.clear();
    for (const { from, charge, arrivedAt } of waiting) {
      if (now - arrivedAt < HOLDER_TIMEOUT_MS) this.handleCharge(from, charge);
    }
  }

  /** Deletes requests that have timed out. The requesting daemon has decided by its own share. */
  private deleteTimedOut({ waiting }: HeldLedger, now: number): void {
    for (const [key, { arrivedAt }] of waiting) {
      if (now - arrivedAt >= HOLDER_TIMEOUT_MS) waiting.delete(key);
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
    this.updateLease(name, held);
    return held;
  }

  /** Requests the lease on a name if this daemon is its holder, otherwise releases it. */
  private updateLease(name: string, held: HeldLedger): void {
    const { leases, group } = this.options;
    if (!group.isHolder(name)) return leases.release(this.leaseName(name));
    leases.acquire(this.leaseName(name), {
      ownCeiling: (now) => this.ownCeiling(name, held, now),
      onGained: (history, missingMs, now) => this.leaseGained(name, held, history, missingMs, now),
      onVote: (now) => this.replyToWaiting(held, now),
    });
  }

  /** Returns the ceiling to announce to the voters: the maximum number of units per window that the holder admits for its own callers. */
  private ownCeiling(name: string, held: HeldLedger, now: number): number {
    const { self, group, limitOf, ownUnits } = this.options;
    const limit = limitOf(name);
    const share = limit === undefined ? 0 : group.memberShare(limit);
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
    // Requests were not answered in the meantime, so other daemons may have used their own shares.
    const wasUnanswered = missingMs >= HOLDER_TIMEOUT_MS;
    const mayHaveOthersUnits = wasUnanswered || history.soleMs < kind.windowMs;
    if (limit === undefined || !mayHaveOthersUnits) return;
    const unseen = this.departedHolderUnits(history, group.memberShare(limit));
    const forgotten = this.previousProcessUnits(history);
    held.ledger.restartFrom(now, unseen);
    if (forgotten > 0) held.ledger.countReported(forgotten, now);
    // Daemons that know the previous process of this daemon reply with the units that they have admitted.
    if (forgotten > 0) this.broadcastTightness(name, true);
    logger.info('limit_counted_from', { [kind.subject]: name, unseen, forgotten });
  }

  /** Returns the maximum number of units that a previous holder, no longer live, can have admitted for itself beyond its share. */
  private departedHolderUnits({ previousHolders: previous }: LeaseHistory, share: number): number {
    const live = this.options.group.liveAddresses();
    const departed = previous.filter(({ holder }) => !live.has(holder));
    return departed.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling - share), 0);
  }

  /** Returns the maximum number of units that a previous process of this daemon can have admitted for itself. */
  private previousProcessUnits({ previousHolders: previous }: LeaseHistory): number {
    const own = previous.filter(({ holder }) => holder === this.options.self);
    return own.reduce((most, { ownCeiling }) => Math.max(most, ownCeiling), 0);
  }

  private updateTightness(name: string, held: HeldLedger, now: number): void {
    const { kind } = this.options;
    if (now - held.usedAt > UNUSED_LEDGER_WINDOWS * kind.windowMs) {
      this.ledgers.delete(name);
      this.options.leases.release(this.leaseName(name));
      return;
    }
    this.deleteTimedOut(held, now);
    if (!this.mayGrant(name)) return;
    const isTight = held.ledger.requiresApproval(now);
    if (isTight === held.announcedTight) return;
    held.announcedTight = isTight;
    const used = Math.round(held.ledger.used(now));
    const capacity = Math.round(held.ledger.capacity());
    this.options.logger.info('limit_tight', { [kind.subject]: name, isTight, used, capacity });
    this.broadcastTightness(name, isTight);
  }

  private reply(
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

  private broadcastTightness(tenant: string, isTight: boolean): void {
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

  /** Returns the name of the lease on a limit. */
  private leaseName(name: string): string {
    return resourceName(this.options.kind, name);
  }
}
