/**
 * Slots of one backend lent to daemons for a time: a daemon uses a lent slot for one request after
 * another without asking, and what it does not use goes back when the lease ends. The way that the queue
 * of slots is measured against in docs/design/admission-across-daemons.md: it saves messages, and has no
 * order over daemons while a lease lasts. A lost lender's slots may be lent once more until the leases end: one more set of slots.
 * Pure; times are milliseconds of a steady clock.
 */
import {
  decisionOn,
  ticketKey,
  type SlotRequest,
  type SlotDecision,
  type SlotStatus,
  type SlotAllocator,
  type SlotUse,
} from '../../src/core/admission/slot-allocator.js';
import { SlotTimes } from '../../src/core/admission/slot-times.js';

/** A lent slot that rests goes back after so long: longer ones rest while others wait, shorter ones save no message. */
export const LEASE_MS = 50;
/** Nobody is told to come back sooner. */
const LEAST_RETRY_MS = 50;

interface Loan {
  slots: number;
  /** Steady time at which slots that rest go back. */
  until: number;
}

interface Waiter extends SlotRequest {
  readonly since: number;
  readonly toldMs: number;
}

/** The slots of one backend, as their lender counts them. */
export class SlotLeases implements SlotAllocator {
  private readonly loans = new Map<string, Loan>();
  /** Requests that have a slot, by daemon and ticket, and since when. */
  private readonly holders = new Map<string, SlotUse & { readonly since: number }>();
  private readonly waiters = new Map<string, Waiter>();
  private readonly times = new SlotTimes();

  constructor(private readonly slots: number) {}

  /** Whether the daemon has a lent slot that rests: it needs no message for its next request. */
  hasSpare(daemon: string): boolean {
    return (this.loans.get(daemon)?.slots ?? 0) > this.used(daemon);
  }

  request(ask: SlotRequest, now: number): SlotDecision[] {
    const key = ticketKey(ask);
    if (this.holders.has(key)) return [decisionOn(ask, { type: 'granted' }, 0)];
    if (this.hasSpare(ask.daemon) || this.lend(ask.daemon, now)) {
      this.recordUse(ask, now);
      return [decisionOn(ask, { type: 'granted' }, 0)];
    }
    const known = this.waiters.get(key);
    const ends = this.waiters.size + (known === undefined ? 1 : 0);
    const expectedWaitMs = this.times.expectedWaitMs(ends, this.slots, 1, ask.rank);
    if (known === undefined && this.times.hasEnoughSamples && expectedWaitMs > ask.giveUpAt - now) {
      const retryAfterMs = Math.max(LEAST_RETRY_MS, expectedWaitMs);
      return [decisionOn(ask, { type: 'refused', retryAfterMs }, 0)];
    }
    this.waiters.set(key, known ?? { ...ask, since: now, toldMs: expectedWaitMs });
    return [decisionOn(ask, { type: 'queued', expectedWaitMs }, 0)];
  }

  recordUse(use: SlotUse, now: number): void {
    const { daemon, ticket, tenant, work } = use;
    this.waiters.delete(ticketKey(use));
    this.holders.set(ticketKey(use), { daemon, ticket, tenant, work, since: now });
    this.renew(daemon, now);
  }

  /** The slot stays with its daemon, for those who wait there first. */
  end(daemon: string, ticket: number, now: number): SlotDecision[] {
    const key = ticketKey({ daemon, ticket });
    this.waiters.delete(key);
    const holder = this.holders.get(key);
    if (holder === undefined) return [];
    this.holders.delete(key);
    this.times.recordHold(now - holder.since, 1);
    this.renew(daemon, now);
    const next = this.first((waiter) => waiter.daemon === daemon);
    return next === undefined ? [] : [this.grant(next, now)];
  }

  removeDaemon(daemon: string, now: number): SlotDecision[] {
    this.loans.delete(daemon);
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon !== daemon) continue;
      this.holders.delete(key);
      this.waiters.delete(key);
    }
    return this.tick(now);
  }

  tick(now: number): SlotDecision[] {
    for (const [daemon, loan] of this.loans) {
      if (loan.until > now) continue;
      loan.slots = Math.min(loan.slots, this.used(daemon));
      if (loan.slots === 0) this.loans.delete(daemon);
    }
    const late = [...this.waiters.values()].filter(({ giveUpAt }) => giveUpAt <= now);
    const decisions = late.map((waiter) => this.refuse(waiter, now));
    for (let next = this.first(); next !== undefined; next = this.first()) {
      if (!this.lend(next.daemon, now)) break;
      decisions.push(this.grant(next, now));
    }
    return decisions;
  }

  status(): SlotStatus {
    const { slots } = this;
    const waiting = this.waiters.size;
    const isFull = this.lent() >= slots;
    const expectedWaitMs = isFull ? this.times.expectedWaitMs(waiting + 1, slots, 1, 0) : 0;
    return { slots, inFlight: this.holders.size, waiting, expectedWaitMs };
  }

  private grant(waiter: Waiter, now: number): SlotDecision {
    const waitedMs = now - waiter.since;
    this.times.recordWait(waiter.rank, waiter.toldMs, waitedMs);
    this.recordUse(waiter, now);
    return decisionOn(waiter, { type: 'granted' }, waitedMs);
  }

  private refuse(waiter: Waiter, now: number): SlotDecision {
    this.waiters.delete(ticketKey(waiter));
    const expected = this.times.expectedWaitMs(this.waiters.size + 1, this.slots, 1, waiter.rank);
    const retryAfterMs = Math.max(LEAST_RETRY_MS, expected);
    return decisionOn(waiter, { type: 'refused', retryAfterMs }, now - waiter.since);
  }

  private lend(daemon: string, now: number): boolean {
    if (this.lent() >= this.slots) return false;
    const loan = this.loans.get(daemon) ?? { slots: 0, until: now };
    loan.slots += 1;
    this.loans.set(daemon, loan);
    this.renew(daemon, now);
    return true;
  }

  private renew(daemon: string, now: number): void {
    const loan = this.loans.get(daemon);
    if (loan !== undefined) loan.until = now + LEASE_MS;
  }

  private lent(): number {
    return [...this.loans.values()].reduce((sum, { slots }) => sum + slots, 0);
  }

  private used(daemon: string): number {
    return [...this.holders.values()].filter((holder) => holder.daemon === daemon).length;
  }

  private first(among: (waiter: Waiter) => boolean = () => true): Waiter | undefined {
    let best: Waiter | undefined;
    for (const waiter of this.waiters.values()) {
      if (among(waiter) && (best === undefined || isBefore(waiter, best))) best = waiter;
    }
    return best;
  }
}

function isBefore(a: Waiter, b: Waiter): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.dueAt < b.dueAt);
}
