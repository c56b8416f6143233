/**
 * The queue of one backend for all daemons: which requests have a slot, which wait, and which is
 * next. It is designed for more callers than slots. Without one order over all daemons the first
 * daemon to notice a free slot takes it, and an urgent request that arrives late aborts half-finished
 * work at the backend.
 *
 * Order: by rank, then tenants within their share before tenants beyond it, then requests that can
 * still meet their due time, then by due time with a bounded penalty for large requests. Each
 * {@link AGING_STEP_MS} of waiting moves a request up by one step, which prevents starvation: a
 * request cannot overtake one of rank r if it arrives more than (4 r + 3) steps after it and also
 * after its due time plus penalty. Pure; times are milliseconds of a steady clock.
 */
import {
  decisionOn,
  ticketKey,
  type SlotResponse,
  type SlotRequest,
  type SlotDecision,
  type SlotStatus,
  type SlotAllocator,
  type SlotUse,
} from './slot-allocator.js';
import { SlotTimes } from './slot-times.js';
import { maxMinShare, type TenantUse } from './tenant-shares.js';
import { FailureRate } from './failure-rate.js';

/** Waiting time that moves a request up by one step in the order. */
export const AGING_STEP_MS = 300;
/** Steps between two ranks. Rank outweighs tenant shares, and tenant shares outweigh lateness. */
const STEPS_PER_RANK = 4;
const STEPS_OVER_SHARE = 2;
/** Steps by which a request that has missed its due time is placed behind those that can still meet theirs. */
const STEPS_LATE = 1;
/** Due-time penalty of a request of twice the mean size; it grows linearly with the size. */
export const SIZE_PENALTY_MS = 50;
/** Maximum number of waiting requests per slot. Beyond it the last in order is refused, whatever its expected wait. */
const MAX_WAITING_PER_SLOT = 12;
/** A ticket expires if its daemon has not listed it for this long: the message of its end was lost, or the daemon failed. */
const TICKET_EXPIRY_MS = 3_500;
/**
 * Minimum age of a ticket that is dropped because a daemon's list lacks it. The message of a younger one may have crossed the
 * list in transit.
 */
const MIN_UNLISTED_AGE_MS = 400;
/** Shortest retry delay: a message and a new connection take as long anyway. */
const MIN_RETRY_MS = 50;
/** Rank for which the expected wait of a new request is announced: between the most urgent rank and the others. */
const TYPICAL_RANK = 1;
/**
 * Requests end at random times. A gap between two ends of this many mean gaps is still common; a longer one indicates
 * a problem at the backend.
 */
const COMMON_GAP_FACTOR = 4;
/** Upper bound on the times that a slot request may state, relative to now. */
const MAX_STATED_MS = 20_000;
const LEAST_URGENT_RANK = 9;

interface Holder extends SlotUse {
  readonly size: number;
  readonly since: number;
  /** Whether this queue saw the request begin, so that its duration is a valid sample. */
  readonly isStartKnown: boolean;
  lastListedAt: number;
}

interface Waiter extends SlotRequest {
  readonly size: number;
  readonly since: number;
  readonly sequence: number;
  readonly announcedWaitMs: number;
  lastListedAt: number;
}

/** Allocates the slots of one backend in priority order. */
export class SlotQueue implements SlotAllocator {
  private readonly holders = new Map<string, Holder>();
  private readonly waiters = new Map<string, Waiter>();
  private readonly times = new SlotTimes();
  private readonly failures = new FailureRate();
  /** Expected retries of refused callers. */
  private returns: { readonly at: number; readonly rank: number }[] = [];
  private sequence = 0;
  /** When a request last began or ended here; infinite before the first. */
  private lastChangeAt = Infinity;

  constructor(private slots: number) {}

  /** Sets the number of slots of the backend. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  request(raw: SlotRequest, now: number): SlotDecision[] {
    const ask = bounded(raw, now);
    const key = ticketKey(ask);
    const holder = this.holders.get(key);
    if (holder !== undefined) {
      holder.lastListedAt = now;
      return [decisionOn(ask, { type: 'granted' }, 0)];
    }
    const waiting = this.waiters.get(key);
    if (waiting !== undefined) return this.repeatAnswer(waiting, now);
    const size = this.times.sizeOf(ask.work);
    this.sequence += 1;
    const { sequence } = this;
    const waiter = { ...ask, size, since: now, sequence, announcedWaitMs: 0, lastListedAt: now };
    this.waiters.set(key, waiter);
    const decisions = this.grantFreeSlots(now);
    if (!this.waiters.has(key)) return decisions;
    const answer = this.queueOrRefuse(waiter, now);
    if (answer.type === 'refused') this.waiters.delete(key);
    else if (answer.type === 'queued') {
      this.waiters.set(key, { ...waiter, announcedWaitMs: answer.expectedWaitMs });
    }
    return [...decisions, decisionOn(ask, answer, 0), ...this.refuseSurplus(now)];
  }

  recordUse(use: SlotUse, now: number): void {
    const key = ticketKey(use);
    this.waiters.delete(key);
    const known = this.holders.get(key);
    if (known !== undefined) {
      known.lastListedAt = now;
      return;
    }
    this.lastChangeAt = now;
    const size = this.times.sizeOf(use.work);
    this.holders.set(key, { ...use, size, since: now, isStartKnown: true, lastListedAt: now });
  }

  /** @param hasFailed - Whether the request failed at the backend. */
  end(daemon: string, ticket: number, now: number, hasFailed = false): SlotDecision[] {
    const key = ticketKey({ daemon, ticket });
    this.waiters.delete(key);
    const holder = this.holders.get(key);
    if (holder === undefined) return [];
    this.holders.delete(key);
    this.lastChangeAt = now;
    this.failures.recordResult(hasFailed, now);
    if (holder.isStartKnown) this.times.recordHold(now - holder.since, holder.size);
    return this.grantFreeSlots(now);
  }

  /**
   * Records that a refused caller was given a retry delay. It counts as a waiting request, because
   * it will be ahead of requests that arrive before its retry.
   */
  expectRetry(rank: number, afterMs: number, now: number): void {
    if (this.returns.length >= this.slots * MAX_WAITING_PER_SLOT) return;
    this.returns.push({ rank, at: now + Math.min(afterMs, MAX_STATED_MS) });
  }

  /**
   * Reconciles the queue with a daemon's list of its tickets in flight and waiting. A ticket missing
   * from the list has ended and the message of its end was lost. An unknown ticket in flight began
   * before this queue existed.
   */
  reconcile(
    daemon: string,
    inFlight: readonly number[],
    waiting: readonly number[],
    now: number,
  ): SlotDecision[] {
    this.lastChangeAt = Math.min(this.lastChangeAt, now);
    const known = new Set([...inFlight, ...waiting]);
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon !== daemon) continue;
      if (known.has(entry.ticket)) entry.lastListedAt = now;
      else if (now - entry.since > MIN_UNLISTED_AGE_MS) this.drop(key);
    }
    for (const ticket of inFlight) {
      const key = ticketKey({ daemon, ticket });
      if (this.holders.has(key)) continue;
      const { tenant, work } = this.waiters.get(key) ?? { tenant: '', work: 0 };
      this.waiters.delete(key);
      const size = this.times.sizeOf(work);
      const use = { daemon, ticket, tenant, work };
      this.holders.set(key, { ...use, size, since: now, isStartKnown: false, lastListedAt: now });
    }
    return this.grantFreeSlots(now);
  }

  removeDaemon(daemon: string, now: number): SlotDecision[] {
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon === daemon) this.drop(key);
    }
    return this.grantFreeSlots(now);
  }

  tick(now: number): SlotDecision[] {
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (now - entry.lastListedAt > TICKET_EXPIRY_MS) this.drop(key);
    }
    return this.grantFreeSlots(now);
  }

  /** Answers all waiting requests with `unknown`, because the backend accepts no more requests. */
  close(now: number): SlotDecision[] {
    const waiters = [...this.waiters.values()];
    this.waiters.clear();
    this.holders.clear();
    return waiters.map((waiter) => decisionOn(waiter, { type: 'unknown' }, now - waiter.since));
  }

  status(now: number): SlotStatus {
    const { slots } = this;
    const inFlight = this.holders.size;
    const waiting = this.waiters.size;
    return {
      slots,
      inFlight,
      waiting,
      expectedWaitMs: this.waitBehind(waiting, TYPICAL_RANK, now),
    };
  }

  /** Returns the fraction of requests that failed at the backend recently. */
  failureShare(now: number): number {
    return this.failures.rate(now);
  }

  /** Returns the daemons that have a request here, in flight or waiting. */
  daemons(): Set<string> {
    const entries = [...this.holders.values(), ...this.waiters.values()];
    return new Set(entries.map((entry) => entry.daemon));
  }

  private drop(key: string): void {
    this.holders.delete(key);
    this.waiters.delete(key);
  }

  private repeatAnswer(waiter: Waiter, now: number): SlotDecision[] {
    waiter.lastListedAt = now;
    const expectedWaitMs = this.expectedWait(waiter, now);
    return [decisionOn(waiter, { type: 'queued', expectedWaitMs }, 0), ...this.grantFreeSlots(now)];
  }

  /** Refuses a request at once if it would wait past its time limit, while a retry can still help the caller. */
  private queueOrRefuse(waiter: Waiter, now: number): SlotResponse {
    const expectedWaitMs = this.expectedWait(waiter, now);
    const mayWaitMs = waiter.giveUpAt - now;
    if (expectedWaitMs <= mayWaitMs || !this.times.hasEnoughSamples)
      return { type: 'queued', expectedWaitMs };
    const retryAfterMs = Math.max(MIN_RETRY_MS, expectedWaitMs);
    return { type: 'refused', retryAfterMs };
  }

  private expectedWait(waiter: Waiter, now: number): number {
    const usage = this.usage();
    const position = this.positionOf(waiter, usage, now);
    let ahead = 0;
    for (const other of this.waiters.values()) {
      if (other !== waiter && precedes(this.positionOf(other, usage, now), position)) ahead += 1;
    }
    return this.waitBehind(ahead, waiter.rank, now);
  }

  /**
   * Returns the expected wait in milliseconds behind `ahead` waiting requests. Expected retries of the
   * same or a more urgent rank count as well if they are due before the end of that wait.
   */
  private waitBehind(ahead: number, rank: number, now: number): number {
    const ends = this.holders.size + ahead + 1 - this.slots;
    if (ends <= 0) return 0;
    const size = this.meanSize();
    // If no request has ended for long, the backend has stalled, and waits get longer than past ones.
    const stallMs = Math.max(0, now - this.lastChangeAt) / COMMON_GAP_FACTOR;
    const waitMs = Math.max(
      this.times.expectedWaitMs(ends, this.slots, size, rank),
      ends * stallMs,
    );
    this.returns = this.returns.filter(({ at }) => at > now);
    const before = this.returns.filter((one) => one.rank <= rank && one.at < now + waitMs);
    return waitMs + this.times.expectedWaitMs(before.length, this.slots, size, rank);
  }

  /** Refuses requests past their time limit, and grants free slots to the first requests in the order. */
  private grantFreeSlots(now: number): SlotDecision[] {
    const decisions = this.refuseExpired(now);
    while (this.holders.size < this.slots) {
      const next = this.first(now);
      if (next === undefined) break;
      const { daemon, ticket, tenant, work, size, since, rank, announcedWaitMs } = next;
      const key = ticketKey(next);
      this.waiters.delete(key);
      this.lastChangeAt = now;
      const use = { daemon, ticket, tenant, work };
      this.holders.set(key, { ...use, size, since: now, isStartKnown: true, lastListedAt: now });
      if (announcedWaitMs > 0) this.times.recordWait(rank, announcedWaitMs, now - since);
      decisions.push(decisionOn(next, { type: 'granted' }, now - since));
    }
    return decisions;
  }

  private refuseExpired(now: number): SlotDecision[] {
    const late = [...this.waiters.values()].filter((waiter) => waiter.giveUpAt <= now);
    return late.map((waiter) => this.refuse(waiter, now));
  }

  private refuseSurplus(now: number): SlotDecision[] {
    if (this.waiters.size <= this.slots * MAX_WAITING_PER_SLOT) return [];
    const usage = this.usage();
    const [first, ...others] = this.waiters.values();
    if (first === undefined) return [];
    const last = others.reduce((latest, waiter) => {
      const position = this.positionOf(waiter, usage, now);
      return precedes(this.positionOf(latest, usage, now), position) ? waiter : latest;
    }, first);
    return [this.refuse(last, now)];
  }

  private refuse(waiter: Waiter, now: number): SlotDecision {
    const retryAfterMs = Math.max(MIN_RETRY_MS, this.expectedWait(waiter, now));
    const { rank, announcedWaitMs, since } = waiter;
    // The actual wait would have been even longer than the time spent, so the sample is a lower bound.
    if (now - since > announcedWaitMs) this.times.recordWait(rank, announcedWaitMs, now - since);
    this.waiters.delete(ticketKey(waiter));
    return decisionOn(waiter, { type: 'refused', retryAfterMs }, now - since);
  }

  private first(now: number): Waiter | undefined {
    const usage = this.usage();
    let best: Waiter | undefined;
    let bestPosition: Position | undefined;
    for (const waiter of this.waiters.values()) {
      const position = this.positionOf(waiter, usage, now);
      if (bestPosition !== undefined && !precedes(position, bestPosition)) continue;
      best = waiter;
      bestPosition = position;
    }
    return best;
  }

  private positionOf(waiter: Waiter, usage: TenantUsage, now: number): Position {
    const { rank, dueAt, size, sequence, tenant } = waiter;
    const isOver = (usage.held.get(tenant) ?? 0) + size > usage.share && usage.held.has(tenant);
    const aged = Math.floor((now - waiter.since + waiter.waitedMs) / AGING_STEP_MS);
    const over = isOver ? STEPS_OVER_SHARE : 0;
    const late = dueAt < now ? STEPS_LATE : 0;
    const step = Math.max(0, rank * STEPS_PER_RANK + over + late - aged);
    return { step, dueAt: dueAt + (size - 1) * SIZE_PENALTY_MS, sequence };
  }

  private usage(): TenantUsage {
    const held = new Map<string, number>();
    const uses = new Map<string, TenantUse>();
    for (const { tenant, size } of this.holders.values()) {
      held.set(tenant, (held.get(tenant) ?? 0) + size);
    }
    for (const [tenant, sum] of held) uses.set(tenant, { held: sum, waiting: 0 });
    for (const { tenant, size } of this.waiters.values()) {
      const use = uses.get(tenant) ?? { held: 0, waiting: 0 };
      uses.set(tenant, { ...use, waiting: use.waiting + size });
    }
    return { held, share: maxMinShare(uses.values(), this.slots * this.meanSize()) };
  }

  private meanSize(): number {
    if (this.holders.size === 0) return 1;
    let sum = 0;
    for (const { size } of this.holders.values()) sum += size;
    return sum / this.holders.size;
  }
}

interface TenantUsage {
  /** Size of each tenant's requests in flight, in multiples of the mean size. */
  readonly held: ReadonlyMap<string, number>;
  /** Size of requests in flight up to which a tenant is within its share, in multiples of the mean size. */
  readonly share: number;
}

/** Sort key of a waiting request: lowest step first, then earliest due time, then first arrival. */
interface Position {
  /** Steps for rank, tenant share and lateness, less one per {@link AGING_STEP_MS} of waiting; at least 0. */
  readonly step: number;
  readonly dueAt: number;
  readonly sequence: number;
}

function precedes(a: Position, b: Position): boolean {
  return a.step - b.step < 0 || (a.step === b.step && isDueEarlier(a, b));
}

function isDueEarlier(a: Position, b: Position): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}

/**
 * Bounds the numbers of a slot request, which come from a message. A non-finite number is replaced by the least favorable
 * valid value.
 */
function bounded(ask: SlotRequest, now: number): SlotRequest {
  const within = (value: number, least: number, most: number, otherwise: number): number =>
    Number.isFinite(value) ? Math.min(most, Math.max(least, value)) : otherwise;
  const horizon = now + MAX_STATED_MS;
  return {
    ...ask,
    rank: Math.floor(within(ask.rank, 0, LEAST_URGENT_RANK, LEAST_URGENT_RANK)),
    dueAt: within(ask.dueAt, now - MAX_STATED_MS, horizon, horizon),
    // The time limit may have passed, but the request may still get a slot that is free now.
    giveUpAt: within(ask.giveUpAt, now + 1, horizon, now + 1),
    waitedMs: within(ask.waitedMs, 0, MAX_STATED_MS, 0),
  };
}
