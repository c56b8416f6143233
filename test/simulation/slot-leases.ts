/**
 * Leases slots of one backend to daemons. A daemon reuses a leased slot for consecutive requests
 * without a message; unused slots are returned when the lease expires. The slot queue is compared with
 * this policy in docs/design/admission-across-daemons.md: leases save messages, but requests of different
 * daemons are not ordered while a lease lasts. If the allocator fails, its slots may be leased once more
 * until the leases expire: one more set of slots. Pure; times are milliseconds of a steady clock.
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

/** An idle leased slot is returned after this time: a longer lease idles while other daemons wait, a shorter one saves no messages. */
export const LEASE_MS = 50;
/** Minimum retry delay of a refusal. */
const MIN_RETRY_MS = 50;

interface SlotLease {
  slots: number;
  /** Steady time at which idle slots are returned. */
  until: number;
}

interface Waiter extends SlotRequest {
  readonly since: number;
  readonly announcedWaitMs: number;
}

/** Allocates the slots of one backend by leases. */
export class SlotLeases implements SlotAllocator {
  private readonly leases = new Map<string, SlotLease>();
  /** Requests that use a slot and their start times, by daemon and ticket. */
  private readonly holders = new Map<string, SlotUse & { readonly since: number }>();
  private readonly waiters = new Map<string, Waiter>();
  private readonly times = new SlotTimes();

  constructor(private readonly slots: number) {}

  /** Returns whether the daemon has an idle leased slot, so that its next request needs no message. */
  hasSpare(daemon: string): boolean {
    return (this.leases.get(daemon)?.slots ?? 0) > this.used(daemon);
  }

  request(slotRequest: SlotRequest, now: number): SlotDecision[] {
    const key = ticketKey(slotRequest);
    if (this.holders.has(key)) return [decisionOn(slotRequest, { type: 'granted' }, 0)];
    if (this.hasSpare(slotRequest.daemon) || this.lease(slotRequest.daemon, now)) {
      this.recordUse(slotRequest, now);
      return [decisionOn(slotRequest, { type: 'granted' }, 0)];
    }
    const known = this.waiters.get(key);
    const position = this.waiters.size + (known === undefined ? 1 : 0);
    const expectedWaitMs = this.times.expectedWaitMs(position, this.slots, 1, slotRequest.rank);
    if (
      known === undefined &&
      this.times.hasEnoughSamples &&
      expectedWaitMs > slotRequest.giveUpAt - now
    ) {
      const retryAfterMs = Math.max(MIN_RETRY_MS, expectedWaitMs);
      return [decisionOn(slotRequest, { type: 'refused', retryAfterMs }, 0)];
    }
    this.waiters.set(key, known ?? { ...slotRequest, since: now, announcedWaitMs: expectedWaitMs });
    return [decisionOn(slotRequest, { type: 'queued', expectedWaitMs }, 0)];
  }

  recordUse(use: SlotUse, now: number): void {
    const { daemon, ticket, tenant, work } = use;
    this.waiters.delete(ticketKey(use));
    this.holders.set(ticketKey(use), { daemon, ticket, tenant, work, since: now });
    this.renew(daemon, now);
  }

  /** Ends a request. Its slot stays with the daemon and goes to the daemon's own waiting requests first. */
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
    this.leases.delete(daemon);
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon !== daemon) continue;
      this.holders.delete(key);
      this.waiters.delete(key);
    }
    return this.tick(now);
  }

  tick(now: number): SlotDecision[] {
    for (const [daemon, slotLease] of this.leases) {
      if (slotLease.until > now) continue;
      slotLease.slots = Math.min(slotLease.slots, this.used(daemon));
      if (slotLease.slots === 0) this.leases.delete(daemon);
    }
    const late = [...this.waiters.values()].filter(({ giveUpAt }) => giveUpAt <= now);
    const decisions = late.map((waiter) => this.refuse(waiter, now));
    for (let next = this.first(); next !== undefined; next = this.first()) {
      if (!this.lease(next.daemon, now)) break;
      decisions.push(this.grant(next, now));
    }
    return decisions;
  }

  status(): SlotStatus {
    const { slots } = this;
    const waiting = this.waiters.size;
    const isFull = this.leased() >= slots;
    const expectedWaitMs = isFull ? this.times.expectedWaitMs(waiting + 1, slots, 1, 0) : 0;
    return { slots, inFlight: this.holders.size, waiting, expectedWaitMs };
  }

  private grant(waiter: Waiter, now: number): SlotDecision {
    const waitedMs = now - waiter.since;
    this.times.recordWait(waiter.rank, waiter.announcedWaitMs, waitedMs);
    this.recordUse(waiter, now);
    return decisionOn(waiter, { type: 'granted' }, waitedMs);
  }

  private refuse(waiter: Waiter, now: number): SlotDecision {
    this.waiters.delete(ticketKey(waiter));
    const expected = this.times.expectedWaitMs(this.waiters.size + 1, this.slots, 1, waiter.rank);
    const retryAfterMs = Math.max(MIN_RETRY_MS, expected);
    return decisionOn(waiter, { type: 'refused', retryAfterMs }, now - waiter.since);
  }

  private lease(daemon: string, now: number): boolean {
    if (this.leased() >= this.slots) return false;
    const slotLease = this.leases.get(daemon) ?? { slots: 0, until: now };
    slotLease.slots += 1;
    this.leases.set(daemon, slotLease);
    this.renew(daemon, now);
    return true;
  }

  private renew(daemon: string, now: number): void {
    const slotLease = this.leases.get(daemon);
    if (slotLease !== undefined) slotLease.until = now + LEASE_MS;
  }

  private leased(): number {
    return [...this.leases.values()].reduce((sum, { slots }) => sum + slots, 0);
  }

  private used(daemon: string): number {
    return [...this.holders.values()].filter((holder) => holder.daemon === daemon).length;
  }

  private first(matches: (waiter: Waiter) => boolean = () => true): Waiter | undefined {
    let best: Waiter | undefined;
    for (const waiter of this.waiters.values()) {
      if (matches(waiter) && (best === undefined || isBefore(waiter, best))) best = waiter;
    }
    return best;
  }
}

function isBefore(a: Waiter, b: Waiter): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.dueAt < b.dueAt);
}
