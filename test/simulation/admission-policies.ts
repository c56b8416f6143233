/**
 * Compares three admission policies under one recorded load: each daemon decides alone from stale
 * announced loads, slots are leased to daemons, or each backend has one queue. Time is virtual and
 * random values come from a seed. Daemons, messages and callers are simplified; the decisions are
 * those of `src/core`.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { StaleLoadSelection } from '../../src/core/backend-selection-stale-load.js';
import { FIRST_PART_MS } from '../../src/core/hold-policy.js';
import { SlotLeases } from './slot-leases.js';
import { SlotQueue } from '../../src/core/admission/slot-queue.js';
import { type SlotDecision, type SlotAllocator } from '../../src/core/admission/slot-allocator.js';

const DAEMONS = 60;
const BACKENDS = 6;
const SLOTS = 8;
/** Relative speeds of the backends, assigned round-robin. */
const SPEEDS = [1, 1.6, 0.7];
const MESSAGE_MS = 4;
const LOAD_AGE_MS = 400;
const SECONDS = 60;
const TICK_MS = 100;
const REFRESH_MS = 500;
/** A refusal within this share of the goal is early: the goal of the caller's retry starts again. */
const EARLY_SHARE = 0.25;
const MAX_RETRIES = 3;
const RETRY_HEADSTART_MS = 1_200;

/** Admission policy. */
export type AdmissionPolicy = 'alone' | 'leases' | 'queue';

interface Kind {
  readonly name: string;
  readonly rank: number;
  readonly goalMs: number;
  readonly callerTimeoutMs: number;
  readonly share: number;
  readonly runMs: number;
}

const KINDS: readonly Kind[] = [
  { name: 'urgent', rank: 0, goalMs: 400, callerTimeoutMs: 2_500, share: 0.7, runMs: 300 },
  { name: 'patient', rank: 2, goalMs: 3_000, callerTimeoutMs: 8_000, share: 0.3, runMs: 1_500 },
];

/** One request of the recorded load. */
export interface RecordedRequest {
  /** Arrival time in milliseconds. */
  readonly at: number;
  readonly daemon: string;
  readonly kind: Kind;
  readonly tenant: string;
  /** Run time in milliseconds at a backend of speed 1. */
  readonly runMs: number;
  /** Rank by size among the requests of its kind, from 0 to 1. */
  readonly size: number;
}

/** Number of requests by result. */
export interface ResultCounts {
  /** Requests served within their goal. */
  withinGoal: number;
  /** Requests served after their goal. */
  late: number;
  refused: number;
}

interface Attempt {
  readonly request: RecordedRequest;
  /** Identifies its current slot request. */
  ticket: number;
  /** When the caller sent its first attempt. */
  readonly firstAttemptAt: number;
  /** Start of the time that the goal allows. */
  readonly goalStartsAt: number;
  readonly retries: number;
  backend: number;
  timesQueued: number;
}

/** Returns the requests that every policy gets: bursts of a hot tenant on top of a steady load. */
export function recordLoad(seed: number): RecordedRequest[] {
  const generator = xoroshiro128plus(seed);
  const randomShare = (): number => uniformFloat64(generator);
  const requests: RecordedRequest[] = [];
  for (let at = 0; at < SECONDS * 1_000; at++) {
    const isBurst = at % 12_000 > 7_000 && at % 12_000 < 11_000;
    const add = (tenant: string): void => {
      const kind = randomShare() < 0.7 ? KINDS[0]! : KINDS[1]!;
      const size = randomShare();
      // From 0.3 to 3.5 times the kind's run time; the mean is 1.
      const factor = 0.3 + 3.2 * size ** 3.57;
      const daemon = `d-${Math.floor(randomShare() * DAEMONS)}`;
      requests.push({ at, daemon, kind, tenant, runMs: kind.runMs * factor, size });
    };
    if (randomShare() < 0.042) add(`small-${Math.floor(randomShare() * 4)}`);
    if (randomShare() < (isBurst ? 0.06 : 0.008)) add('hot');
  }
  return requests;
}

/** Runs a recorded load under one admission policy. */
export class AdmissionSimulation {
  /** Results by kind of request. */
  readonly byKind = new Map<string, ResultCounts>();
  /** Results by group of tenants. */
  readonly byTenant = new Map<string, ResultCounts>();
  /** Results of the largest tenth of the requests of kind `patient`. */
  readonly largestTenth: ResultCounts = { withinGoal: 0, late: 0, refused: 0 };
  /** Most concurrent requests sent to one backend. */
  maxInFlight = 0;
  /** Messages between daemons and slot allocators. */
  messages = 0;
  private now = 0;
  private lastTicket = 0;
  private readonly scheduledActions = new Map<number, (() => void)[]>();
  private readonly allocators: SlotAllocator[];
  private readonly running = Array.from({ length: BACKENDS }, () => 0);
  /** Requests queued at the backends themselves. */
  private readonly queued: Attempt[][] = Array.from({ length: BACKENDS }, () => []);
  private readonly inFlight = Array.from({ length: BACKENDS }, () => 0);
  private announcedLoads: number[] = [];
  private readonly loadHistory: number[][] = [];
  /** Pending slot requests, by ticket. */
  private readonly attempts = new Map<number, Attempt>();
  private readonly sent = new Set<Attempt>();
  private readonly sentTickets = new Set<number>();
  private readonly selections = new Map<string, StaleLoadSelection>();

  constructor(
    private readonly policy: AdmissionPolicy,
    private readonly load: readonly RecordedRequest[],
  ) {
    this.allocators = Array.from({ length: BACKENDS }, () =>
      policy === 'leases' ? new SlotLeases(SLOTS) : new SlotQueue(SLOTS),
    );
  }

  /** Simulates the whole load. */
  simulate(): this {
    for (const request of this.load) this.after(request.at, () => this.arrive(request));
    for (this.now = 0; this.now < (SECONDS + 20) * 1_000; this.now++) {
      this.updateAnnouncedLoads();
      if (this.now % TICK_MS === 0) this.tick();
      // Actions may add further actions for the same millisecond.
      const actions = this.scheduledActions.get(this.now) ?? [];
      for (let index = 0; index < actions.length; index++) actions[index]?.();
      this.scheduledActions.delete(this.now);
    }
    return this;
  }

  private updateAnnouncedLoads(): void {
    this.loadHistory.push([...this.inFlight]);
    if (this.loadHistory.length > LOAD_AGE_MS) this.announcedLoads = this.loadHistory.shift() ?? [];
  }

  private tick(): void {
    if (this.policy === 'alone') return;
    if (this.now % REFRESH_MS === 0) this.refresh();
    for (const [backend, allocator] of this.allocators.entries()) {
      this.handleDecisions(backend, allocator.tick(this.now));
    }
  }

  /** Repeats the slot requests that wait, and reports the requests that run. */
  private refresh(): void {
    for (const attempt of this.attempts.values())
      if (attempt.timesQueued > 0) this.requestSlot(attempt);
    for (const { request, ticket, backend } of this.sent) {
      const { daemon, tenant, runMs } = request;
      this.allocators[backend]!.recordUse({ daemon, ticket, tenant, work: runMs }, this.now);
    }
  }

  private after(delayMs: number, action: () => void): void {
    const at = this.now + Math.max(0, Math.round(delayMs));
    const actions = this.scheduledActions.get(at) ?? [];
    actions.push(action);
    this.scheduledActions.set(at, actions);
  }

  private arrive(request: RecordedRequest, previous?: Attempt, restartsGoal = true): void {
    this.lastTicket += 1;
    const retries = previous === undefined ? 0 : previous.retries + 1;
    const firstAttemptAt = previous?.firstAttemptAt ?? this.now;
    const goalStartsAt = previous === undefined || restartsGoal ? this.now : previous.goalStartsAt;
    const ticket = this.lastTicket;
    const attempt = {
      request,
      ticket,
      firstAttemptAt,
      goalStartsAt,
      retries,
      backend: 0,
      timesQueued: 0,
    };
    attempt.backend = this.choose(request.daemon);
    if (this.policy === 'alone') return this.send(attempt);
    this.requestSlot(attempt);
  }

  private choose(daemon: string, except?: number): number {
    const candidates = SPEEDS.concat(SPEEDS)
      .map((_, index) => index)
      .filter((index) => index !== except)
      .map((index) => ({
        id: String(index),
        sameZone: true,
        hasConnection: true,
        slots: SLOTS,
        inFlight: this.announcedLoads[index] ?? 0,
        failureShare: 0,
      }));
    const selection = this.selections.get(daemon) ?? new StaleLoadSelection(daemon);
    this.selections.set(daemon, selection);
    return Number(selection.choose(candidates, undefined)?.id ?? 0);
  }

  private requestSlot(attempt: Attempt): void {
    const { request, ticket, backend, firstAttemptAt, goalStartsAt, retries } = attempt;
    const { daemon, kind, tenant, runMs } = request;
    this.attempts.set(ticket, attempt);
    const allocator = this.allocators[backend]!;
    const isLocal = allocator instanceof SlotLeases && allocator.hasSpare(daemon);
    const headstart = retries > 0 ? RETRY_HEADSTART_MS : 0;
    if (!isLocal) this.messages += 2;
    this.after(isLocal ? 0 : MESSAGE_MS, () => {
      if (this.attempts.get(ticket) !== attempt) return;
      const slotRequest = {
        daemon,
        ticket,
        rank: kind.rank,
        dueAt: goalStartsAt + kind.goalMs - FIRST_PART_MS,
        giveUpAt: firstAttemptAt + kind.callerTimeoutMs - FIRST_PART_MS,
        waitedMs: this.now - goalStartsAt + headstart,
        tenant,
        work: Math.round(runMs),
      };
      this.handleDecisions(backend, allocator.request(slotRequest, this.now), isLocal);
    });
  }

  private handleDecisions(
    backend: number,
    decisions: readonly SlotDecision[],
    isLocal = false,
  ): void {
    for (const { daemon, ticket, answer, waitedMs } of decisions) {
      this.after(isLocal ? 0 : MESSAGE_MS, () => {
        const attempt = this.attempts.get(ticket);
        if (attempt === undefined) {
          // The request has been withdrawn: return the slot.
          if (answer.type === 'granted' && !this.sentTickets.has(ticket)) {
            this.sendEnd(backend, daemon, ticket);
          }
        } else if (answer.type === 'queued') this.handleQueued(attempt, answer.expectedWaitMs);
        else {
          this.attempts.delete(ticket);
          if (answer.type === 'granted') this.send(attempt);
          if (answer.type === 'refused') this.refuse(attempt, answer.retryAfterMs, waitedMs);
        }
      });
    }
  }

  private handleQueued(attempt: Attempt, expectedWaitMs: number): void {
    const { backend } = attempt;
    if (attempt.timesQueued === 0) {
      attempt.timesQueued = 1;
      const other = this.shortestWaitExcept(backend);
      if (other.waitMs + 50 < expectedWaitMs) {
        this.withdraw(attempt);
        attempt.backend = other.backend;
        attempt.ticket = this.lastTicket += 1;
        return this.requestSlot(attempt);
      }
    }
  }

  /** Uses current loads of the other backends; real daemons have slightly older ones. */
  private shortestWaitExcept(backend: number): { backend: number; waitMs: number } {
    const waits = this.allocators.map((allocator, index) => ({
      backend: index,
      waitMs: index === backend ? Infinity : allocator.status(this.now).expectedWaitMs,
    }));
    return waits.reduce((best, one) => (one.waitMs < best.waitMs ? one : best));
  }

  private sendEnd(backend: number, daemon: string, ticket: number): void {
    const allocator = this.allocators[backend]!;
    this.messages += 1;
    this.after(MESSAGE_MS, () =>
      this.handleDecisions(backend, allocator.end(daemon, ticket, this.now)),
    );
  }

  private withdraw(attempt: Attempt): void {
    const { request, ticket, backend } = attempt;
    this.attempts.delete(ticket);
    this.sent.delete(attempt);
    this.sendEnd(backend, request.daemon, ticket);
  }

  private send(attempt: Attempt): void {
    const { backend } = attempt;
    this.sent.add(attempt);
    this.sentTickets.add(attempt.ticket);
    this.inFlight[backend]! += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight[backend]!);
    this.after(MESSAGE_MS, () => {
      this.queued[backend]!.push(attempt);
      this.startQueued(backend);
    });
  }

  /** Starts the most urgent requests of the backend's own queue while it has free slots. */
  private startQueued(backend: number): void {
    const queue = this.queued[backend]!;
    while (this.running[backend]! < SLOTS && queue.length > 0) {
      if (this.policy === 'alone') {
        queue.sort((a, b) => a.request.kind.rank - b.request.kind.rank || a.ticket - b.ticket);
      }
      const attempt = queue.shift()!;
      const { request, firstAttemptAt, goalStartsAt } = attempt;
      if (this.now - firstAttemptAt > request.kind.callerTimeoutMs) {
        this.inFlight[backend]! -= 1;
        this.countResult(attempt, 'refused');
        if (this.policy !== 'alone') this.withdraw(attempt);
        continue;
      }
      this.running[backend]! += 1;
      const meetsGoal = this.now - goalStartsAt + FIRST_PART_MS <= request.kind.goalMs;
      this.countResult(attempt, meetsGoal ? 'withinGoal' : 'late');
      this.after(request.runMs / (SPEEDS[backend % SPEEDS.length] ?? 1), () =>
        this.finish(attempt),
      );
    }
  }

  private finish(attempt: Attempt): void {
    const { backend } = attempt;
    this.running[backend]! -= 1;
    this.inFlight[backend]! -= 1;
    this.startQueued(backend);
    if (this.policy === 'alone') return;
    const allocator = this.allocators[backend]!;
    const { daemon } = attempt.request;
    // The daemon learns of the end after one message; it reuses a leased slot immediately.
    if (allocator instanceof SlotLeases) {
      this.sent.delete(attempt);
      return this.after(MESSAGE_MS, () =>
        this.handleDecisions(backend, allocator.end(daemon, attempt.ticket, this.now), true),
      );
    }
    this.after(MESSAGE_MS, () => this.withdraw(attempt));
  }

  private refuse(attempt: Attempt, retryAfterMs: number, waitedMs = Infinity): void {
    const { request, goalStartsAt, firstAttemptAt, retries, backend } = attempt;
    const allocator = this.allocators[backend];
    // The daemon announces the retry unless the request has waited in the queue.
    if (waitedMs === 0 && allocator instanceof SlotQueue)
      allocator.expectRetry(request.kind.rank, retryAfterMs, this.now);
    const callerTimeoutAt = firstAttemptAt + request.kind.callerTimeoutMs;
    if (retries >= MAX_RETRIES || this.now + retryAfterMs > callerTimeoutAt) {
      return this.countResult(attempt, 'refused');
    }
    const isEarly = this.now - goalStartsAt <= request.kind.goalMs * EARLY_SHARE;
    const retryDelayMs = retryAfterMs + 2 * MESSAGE_MS;
    this.after(retryDelayMs, () => this.arrive(request, attempt, isEarly));
  }

  private countResult({ request }: Attempt, end: keyof ResultCounts): void {
    const { kind, tenant, size } = request;
    const isSmall = tenant !== 'hot';
    const count = (outcomes: Map<string, ResultCounts>, name: string): void => {
      const outcome = outcomes.get(name) ?? { withinGoal: 0, late: 0, refused: 0 };
      outcome[end] += 1;
      outcomes.set(name, outcome);
    };
    count(this.byKind, kind.name);
    count(this.byTenant, isSmall ? 'the four usual' : 'hot');
    if (kind.name === 'patient' && size >= 0.9) this.largestTenth[end] += 1;
  }
}

/** Returns the share of requests that were served within their goal. */
export function shareWithinGoal({ withinGoal: inAim, late, refused }: ResultCounts): number {
  return inAim / (inAim + late + refused);
}

/** Returns the share of requests that were served, in time or late. */
export function shareServed({ withinGoal: inAim, late, refused }: ResultCounts): number {
  return (inAim + late) / (inAim + late + refused);
}
