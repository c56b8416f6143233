/**
 * The queue before one backend, for all daemons: which requests have a slot, who waits, who is
 * next. Built for more callers than slots: without one order over all daemons whoever looks first
 * takes the slot, and an urgent request that comes late ends work half done at the backend.
 *
 * Order: by rank, then tenants within their share before those beyond it, then those who can still
 * be in time, then by due time with a bounded handicap for large requests. Each {@link STEP_MS} of waiting
 * moves a request up by one step, so nobody is overtaken for ever: one of rank r is overtaken by
 * nobody who comes more than (4 r + 3) steps and its own goal with the handicap later. Pure; times
 * are milliseconds of a steady clock.
 */
import {
  decisionOn,
  ticketKey,
  type SlotAnswer,
  type SlotAsk,
  type SlotDecision,
  type SlotFigures,
  type SlotKeeping,
  type SlotUse,
} from './slot-keeping.js';
import { SlotTimes } from './slot-times.js';
import { shareLevel, type TenantUse } from './tenant-shares.js';
import { ToldFailures } from './told-failures.js';

/** Waiting for so long is worth one step in the order. */
export const STEP_MS = 300;
/** Steps between two ranks: rank decides before shares, and shares before lateness. */
const STEPS_A_RANK = 4;
const STEPS_OVER_SHARE = 2;
/** A request that can't be in time any more gives way to those that can. */
const STEPS_LATE = 1;
/** A request of twice the usual size goes behind those that are due so much later. */
export const SIZE_HANDICAP_MS = 50;
/** Waiting requests for each slot: beyond it the last in order is refused, whatever it would wait. */
const MOST_WAITING_A_SLOT = 12;
/** A ticket that its daemon has not named for so long is void: its end was lost, or its daemon. */
const UNNAMED_LIFETIME_MS = 3_500;
/** What a daemon's list does not name is void only if it is older: the two may cross on the way. */
const CROSSING_MS = 400;
/** Nobody is told to come back sooner: a message and a connection take as long. */
const LEAST_RETRY_MS = 50;
/** The rank for which daemons are told what a newcomer would wait: between the most urgent and the others. */
const USUAL_RANK = 1;
/** Requests end at random: a gap of so many usual ones is still common, a longer one tells of trouble. */
const USUAL_GAPS = 4;
/** An ask may claim no longer wait than this. */
const LONGEST_CLAIM_MS = 20_000;
const LEAST_URGENT_RANK = 9;

interface Holder extends SlotUse {
  readonly size: number;
  readonly since: number;
  /** Its beginning was seen here, so that the time until its end can be learned from. */
  readonly isWhole: boolean;
  namedAt: number;
}

interface Waiter extends SlotAsk {
  readonly size: number;
  readonly since: number;
  readonly sequence: number;
  readonly toldMs: number;
  namedAt: number;
}

/** The queue of one backend. */
export class SlotQueue implements SlotKeeping {
  private readonly holders = new Map<string, Holder>();
  private readonly waiters = new Map<string, Waiter>();
  private readonly times = new SlotTimes();
  private readonly failures = new ToldFailures();
  /** When callers should be back that were told to come back. */
  private returns: { readonly at: number; readonly rank: number }[] = [];
  private sequence = 0;
  /** When a request last began or ended here; infinite before any. */
  private movedAt = Infinity;

  constructor(private slots: number) {}

  /** The backend has another number of slots. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  ask(raw: SlotAsk, now: number): SlotDecision[] {
    const ask = cleaned(raw, now);
    const key = ticketKey(ask);
    const holder = this.holders.get(key);
    if (holder !== undefined) {
      holder.namedAt = now;
      return [decisionOn(ask, { type: 'granted' }, 0)];
    }
    const waiting = this.waiters.get(key);
    if (waiting !== undefined) return this.answerAgain(waiting, now);
    const size = this.times.sizeOf(ask.work);
    this.sequence += 1;
    const { sequence } = this;
    const waiter = { ...ask, size, since: now, sequence, toldMs: 0, namedAt: now };
    this.waiters.set(key, waiter);
    const decisions = this.fill(now);
    if (!this.waiters.has(key)) return decisions;
    const answer = this.judge(waiter, now);
    if (answer.type === 'refused') this.waiters.delete(key);
    else if (answer.type === 'queued') {
      this.waiters.set(key, { ...waiter, toldMs: answer.expectedWaitMs });
    }
    return [...decisions, decisionOn(ask, answer, 0), ...this.dropSurplus(now)];
  }

  take(use: SlotUse, now: number): void {
    const key = ticketKey(use);
    this.waiters.delete(key);
    const known = this.holders.get(key);
    if (known !== undefined) {
      known.namedAt = now;
      return;
    }
    this.movedAt = now;
    const size = this.times.sizeOf(use.work);
    this.holders.set(key, { ...use, size, since: now, isWhole: true, namedAt: now });
  }

  /** @param hasFailed - The backend has failed the request. */
  end(daemon: string, ticket: number, now: number, hasFailed = false): SlotDecision[] {
    const key = ticketKey({ daemon, ticket });
    this.waiters.delete(key);
    const holder = this.holders.get(key);
    if (holder === undefined) return [];
    this.holders.delete(key);
    this.movedAt = now;
    this.failures.note(hasFailed, now);
    if (holder.isWhole) this.times.noteHold(now - holder.since, holder.size);
    return this.fill(now);
  }

  /**
   * A caller was told to come back: those who come before it would find its place taken, so it
   * counts among those that wait.
   */
  expectReturn(rank: number, afterMs: number, now: number): void {
    if (this.returns.length >= this.slots * MOST_WAITING_A_SLOT) return;
    this.returns.push({ rank, at: now + Math.min(afterMs, LONGEST_CLAIM_MS) });
  }

  /**
   * Takes the tickets of all that a daemon has in flight here, and of all that waits: what it does not name was
   * lost with a message, and what is not known here was begun before this queue was.
   */
  named(
    daemon: string,
    inFlight: readonly number[],
    waiting: readonly number[],
    now: number,
  ): SlotDecision[] {
    this.movedAt = Math.min(this.movedAt, now);
    const known = new Set([...inFlight, ...waiting]);
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon !== daemon) continue;
      if (known.has(entry.ticket)) entry.namedAt = now;
      else if (now - entry.since > CROSSING_MS) this.drop(key);
    }
    for (const ticket of inFlight) {
      const key = ticketKey({ daemon, ticket });
      if (this.holders.has(key)) continue;
      const { tenant, work } = this.waiters.get(key) ?? { tenant: '', work: 0 };
      this.waiters.delete(key);
      const size = this.times.sizeOf(work);
      const use = { daemon, ticket, tenant, work };
      this.holders.set(key, { ...use, size, since: now, isWhole: false, namedAt: now });
    }
    return this.fill(now);
  }

  daemonGone(daemon: string, now: number): SlotDecision[] {
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (entry.daemon === daemon) this.drop(key);
    }
    return this.fill(now);
  }

  look(now: number): SlotDecision[] {
    for (const [key, entry] of [...this.holders, ...this.waiters]) {
      if (now - entry.namedAt > UNNAMED_LIFETIME_MS) this.drop(key);
    }
    return this.fill(now);
  }

  /** The backend takes no more requests: nobody waits for it in vain. */
  close(now: number): SlotDecision[] {
    const waiters = [...this.waiters.values()];
    this.waiters.clear();
    this.holders.clear();
    return waiters.map((waiter) => decisionOn(waiter, { type: 'unknown' }, now - waiter.since));
  }

  figures(now: number): SlotFigures {
    const { slots } = this;
    const inFlight = this.holders.size;
    const waiting = this.waiters.size;
    return { slots, inFlight, waiting, expectedWaitMs: this.waitBehind(waiting, USUAL_RANK, now) };
  }

  /** Share of the requests that the backend has failed lately. */
  failureShare(now: number): number {
    return this.failures.share(now);
  }

  /** Daemons that have a request here. */
  daemons(): Set<string> {
    const entries = [...this.holders.values(), ...this.waiters.values()];
    return new Set(entries.map((entry) => entry.daemon));
  }

  private drop(key: string): void {
    this.holders.delete(key);
    this.waiters.delete(key);
  }

  private answerAgain(waiter: Waiter, now: number): SlotDecision[] {
    waiter.namedAt = now;
    const expectedWaitMs = this.expectedWait(waiter, now);
    return [decisionOn(waiter, { type: 'queued', expectedWaitMs }, 0), ...this.fill(now)];
  }

  /** Who would wait in vain is told so at once, when coming back still helps. */
  private judge(waiter: Waiter, now: number): SlotAnswer {
    const expectedWaitMs = this.expectedWait(waiter, now);
    const mayWaitMs = waiter.giveUpAt - now;
    if (expectedWaitMs <= mayWaitMs || !this.times.isLearned)
      return { type: 'queued', expectedWaitMs };
    const retryAfterMs = Math.max(LEAST_RETRY_MS, expectedWaitMs);
    return { type: 'refused', retryAfterMs };
  }

  private expectedWait(waiter: Waiter, now: number): number {
    const level = this.level();
    const place = this.placeOf(waiter, level, now);
    let ahead = 0;
    for (const other of this.waiters.values()) {
      if (other !== waiter && isBefore(this.placeOf(other, level, now), place)) ahead += 1;
    }
    return this.waitBehind(ahead, waiter.rank, now);
  }

  /**
   * Expected milliseconds of wait behind `ahead` requests that wait already. Callers that are to return
   * count as well if they are of no lesser rank and should be back before.
   */
  private waitBehind(ahead: number, rank: number, now: number): number {
    const ends = this.holders.size + ahead + 1 - this.slots;
    if (ends <= 0) return 0;
    const size = this.meanSize();
    // A backend that ends nothing for long answers nobody: its waits are longer than they were.
    const standstillMs = Math.max(0, now - this.movedAt) / USUAL_GAPS;
    const waitMs = Math.max(
      this.times.untilFree(ends, this.slots, size, rank),
      ends * standstillMs,
    );
    this.returns = this.returns.filter(({ at }) => at > now);
    const before = this.returns.filter((one) => one.rank <= rank && one.at < now + waitMs);
    return waitMs + this.times.untilFree(before.length, this.slots, size, rank);
  }

  /** Gives free slots to those who are first in the order. */
  private fill(now: number): SlotDecision[] {
    const decisions = this.refuseLate(now);
    while (this.holders.size < this.slots) {
      const next = this.first(now);
      if (next === undefined) break;
      const { daemon, ticket, tenant, work, size, since, rank, toldMs } = next;
      const key = ticketKey(next);
      this.waiters.delete(key);
      this.movedAt = now;
      const use = { daemon, ticket, tenant, work };
      this.holders.set(key, { ...use, size, since: now, isWhole: true, namedAt: now });
      if (toldMs > 0) this.times.noteWait(rank, toldMs, now - since);
      decisions.push(decisionOn(next, { type: 'granted' }, now - since));
    }
    return decisions;
  }

  private refuseLate(now: number): SlotDecision[] {
    const late = [...this.waiters.values()].filter((waiter) => waiter.giveUpAt <= now);
    return late.map((waiter) => this.refuse(waiter, now));
  }

  private dropSurplus(now: number): SlotDecision[] {
    if (this.waiters.size <= this.slots * MOST_WAITING_A_SLOT) return [];
    const level = this.level();
    const [first, ...others] = this.waiters.values();
    if (first === undefined) return [];
    const last = others.reduce((latest, waiter) => {
      const place = this.placeOf(waiter, level, now);
      return isBefore(this.placeOf(latest, level, now), place) ? waiter : latest;
    }, first);
    return [this.refuse(last, now)];
  }

  private refuse(waiter: Waiter, now: number): SlotDecision {
    const retryAfterMs = Math.max(LEAST_RETRY_MS, this.expectedWait(waiter, now));
    const { rank, toldMs, since } = waiter;
    // Its wait would have been longer still.
    if (now - since > toldMs) this.times.noteWait(rank, toldMs, now - since);
    this.waiters.delete(ticketKey(waiter));
    return decisionOn(waiter, { type: 'refused', retryAfterMs }, now - since);
  }

  private first(now: number): Waiter | undefined {
    const level = this.level();
    let best: Waiter | undefined;
    let bestPlace: Place | undefined;
    for (const waiter of this.waiters.values()) {
      const place = this.placeOf(waiter, level, now);
      if (bestPlace !== undefined && !isBefore(place, bestPlace)) continue;
      best = waiter;
      bestPlace = place;
    }
    return best;
  }

  private placeOf(waiter: Waiter, level: ShareLevel, now: number): Place {
    const { rank, dueAt, size, sequence, tenant } = waiter;
    const isOver = (level.held.get(tenant) ?? 0) + size > level.share && level.held.has(tenant);
    const aged = Math.floor((now - waiter.since + waiter.waitedMs) / STEP_MS);
    const over = isOver ? STEPS_OVER_SHARE : 0;
    const late = dueAt < now ? STEPS_LATE : 0;
    const step = Math.max(0, rank * STEPS_A_RANK + over + late - aged);
    return { step, dueAt: dueAt + (size - 1) * SIZE_HANDICAP_MS, sequence };
  }

  private level(): ShareLevel {
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
    return { held, share: shareLevel(uses.values(), this.slots * this.meanSize()) };
  }

  private meanSize(): number {
    if (this.holders.size === 0) return 1;
    let sum = 0;
    for (const { size } of this.holders.values()) sum += size;
    return sum / this.holders.size;
  }
}

interface ShareLevel {
  /** What tenants hold, in usual requests. */
  readonly held: ReadonlyMap<string, number>;
  /** Up to so many usual requests a tenant is within its share. */
  readonly share: number;
}

/** What the order goes by: the least step first, then the earliest due, then the first to come. */
interface Place {
  /** See {@link STEPS_A_RANK}; falls by one with each {@link STEP_MS} of waiting, 0 at the least. */
  readonly step: number;
  readonly dueAt: number;
  readonly sequence: number;
}

function isBefore(a: Place, b: Place): boolean {
  return a.step - b.step < 0 || (a.step === b.step && isDueBefore(a, b));
}

function isDueBefore(a: Place, b: Place): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}

/** A message may hold anything: what can't be read counts as the most cautious that can. */
function cleaned(ask: SlotAsk, now: number): SlotAsk {
  const within = (value: number, least: number, most: number, otherwise: number): number =>
    Number.isFinite(value) ? Math.min(most, Math.max(least, value)) : otherwise;
  const horizon = now + LONGEST_CLAIM_MS;
  return {
    ...ask,
    rank: Math.floor(within(ask.rank, 0, LEAST_URGENT_RANK, LEAST_URGENT_RANK)),
    dueAt: within(ask.dueAt, now - LONGEST_CLAIM_MS, horizon, horizon),
    // It may be too late for a queue, but a free slot is worth the try.
    giveUpAt: within(ask.giveUpAt, now + 1, horizon, now + 1),
    waitedMs: within(ask.waitedMs, 0, LONGEST_CLAIM_MS, 0),
  };
}
