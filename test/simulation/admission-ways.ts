/**
 * One recorded load against three ways to admit: each daemon alone on loads told late, slots lent
 * as leases, and a queue before each backend. Times are virtual, draws come from a seed; daemons,
 * messages and callers are simple, the decisions are those of `src/core`.
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
/** Speeds of the backends, by turns. */
const SPEEDS = [1, 1.6, 0.7];
const MESSAGE_MS = 4;
const LOAD_AGE_MS = 400;
const SECONDS = 60;
const LOOK_MS = 100;
const REFRESH_MS = 500;
/** Share of a goal within which a refusal is early: the caller's goal counts anew on its return. */
const EARLY_SHARE = 0.25;
const MOST_RETURNS = 3;
const RETURN_HEADSTART_MS = 1_200;

/** A way to admit. */
export type Way = 'alone' | 'leases' | 'queue';

interface Kind {
  readonly name: string;
  readonly rank: number;
  readonly goalMs: number;
  readonly patienceMs: number;
  readonly share: number;
  readonly runMs: number;
}

const KINDS: readonly Kind[] = [
  { name: 'urgent', rank: 0, goalMs: 400, patienceMs: 2_500, share: 0.7, runMs: 300 },
  { name: 'patient', rank: 2, goalMs: 3_000, patienceMs: 8_000, share: 0.3, runMs: 1_500 },
];

/** One request of the recorded load. */
export interface RecordedRequest {
  readonly at: number;
  readonly daemon: string;
  readonly kind: Kind;
  readonly tenant: string;
  /** Time at a backend of speed 1. */
  readonly runMs: number;
  /** Rank by size among those of its kind, 0 to 1. */
  readonly size: number;
}

/** Requests by how they ended. */
export interface Outcome {
  inAim: number;
  late: number;
  refused: number;
}

interface Attempt {
  readonly request: RecordedRequest;
  /** Names its present ask. */
  ticket: number;
  /** When its caller came first. */
  readonly cameAt: number;
  /** From when its goal counts. */
  readonly since: number;
  readonly returns: number;
  backend: number;
  tries: number;
}

/** The same requests for every way: bursts of a hot tenant over a steady load. */
export function recordLoad(seed: number): RecordedRequest[] {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const requests: RecordedRequest[] = [];
  for (let at = 0; at < SECONDS * 1_000; at++) {
    const isBurst = at % 12_000 > 7_000 && at % 12_000 < 11_000;
    const add = (tenant: string): void => {
      const kind = draw() < 0.7 ? KINDS[0]! : KINDS[1]!;
      const size = draw();
      // From 0.3 to 3.5 times the usual, 1 in the mean.
      const factor = 0.3 + 3.2 * size ** 3.57;
      const daemon = `d-${Math.floor(draw() * DAEMONS)}`;
      requests.push({ at, daemon, kind, tenant, runMs: kind.runMs * factor, size });
    };
    if (draw() < 0.042) add(`small-${Math.floor(draw() * 4)}`);
    if (draw() < (isBurst ? 0.06 : 0.008)) add('hot');
  }
  return requests;
}

/** Plays a load. */
export class AdmissionPlay {
  readonly byKind = new Map<string, Outcome>();
  readonly byTenant = new Map<string, Outcome>();
  /** The largest tenth of the patient kind, and all of it. */
  readonly largest: Outcome = { inAim: 0, late: 0, refused: 0 };
  mostInFlight = 0;
  messages = 0;
  private now = 0;
  private tickets = 0;
  private readonly agenda = new Map<number, (() => void)[]>();
  private readonly keepers: SlotAllocator[];
  private readonly running = Array.from({ length: BACKENDS }, () => 0);
  /** Requests that the backends themselves have queued. */
  private readonly queued: Attempt[][] = Array.from({ length: BACKENDS }, () => []);
  private readonly inFlight = Array.from({ length: BACKENDS }, () => 0);
  private known: number[] = [];
  private readonly loads: number[][] = [];
  /** Open asks, by ticket. */
  private readonly attempts = new Map<number, Attempt>();
  private readonly sent = new Set<Attempt>();
  private readonly sentTickets = new Set<number>();
  private readonly selections = new Map<string, StaleLoadSelection>();

  constructor(
    private readonly way: Way,
    private readonly load: readonly RecordedRequest[],
  ) {
    this.keepers = Array.from({ length: BACKENDS }, () =>
      way === 'leases' ? new SlotLeases(SLOTS) : new SlotQueue(SLOTS),
    );
  }

  play(): this {
    for (const request of this.load) this.after(request.at, () => this.arrive(request));
    for (this.now = 0; this.now < (SECONDS + 20) * 1_000; this.now++) {
      this.rememberLoads();
      if (this.now % LOOK_MS === 0) this.look();
      // What is added for this very moment is done as well.
      const actions = this.agenda.get(this.now) ?? [];
      for (let index = 0; index < actions.length; index++) actions[index]?.();
      this.agenda.delete(this.now);
    }
    return this;
  }

  private rememberLoads(): void {
    this.loads.push([...this.inFlight]);
    if (this.loads.length > LOAD_AGE_MS) this.known = this.loads.shift() ?? [];
  }

  private look(): void {
    if (this.way === 'alone') return;
    if (this.now % REFRESH_MS === 0) this.refresh();
    for (const [backend, keeper] of this.keepers.entries()) {
      this.answer(backend, keeper.tick(this.now));
    }
  }

  /** Those that wait ask again, and those that run are named. */
  private refresh(): void {
    for (const attempt of this.attempts.values()) if (attempt.tries > 0) this.ask(attempt);
    for (const { request, ticket, backend } of this.sent) {
      const { daemon, tenant, runMs } = request;
      this.keepers[backend]!.recordUse({ daemon, ticket, tenant, work: runMs }, this.now);
    }
  }

  private after(delayMs: number, action: () => void): void {
    const at = this.now + Math.max(0, Math.round(delayMs));
    const actions = this.agenda.get(at) ?? [];
    actions.push(action);
    this.agenda.set(at, actions);
  }

  private arrive(request: RecordedRequest, former?: Attempt, isNewGoal = true): void {
    this.tickets += 1;
    const returns = former === undefined ? 0 : former.returns + 1;
    const cameAt = former?.cameAt ?? this.now;
    const since = former === undefined || isNewGoal ? this.now : former.since;
    const ticket = this.tickets;
    const attempt = { request, ticket, cameAt, since, returns, backend: 0, tries: 0 };
    attempt.backend = this.choose(request.daemon);
    if (this.way === 'alone') return this.send(attempt);
    this.ask(attempt);
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
        inFlight: this.known[index] ?? 0,
        failureShare: 0,
      }));
    const selection = this.selections.get(daemon) ?? new StaleLoadSelection(daemon);
    this.selections.set(daemon, selection);
    return Number(selection.choose(candidates, undefined)?.id ?? 0);
  }

  private ask(attempt: Attempt): void {
    const { request, ticket, backend, cameAt, since, returns } = attempt;
    const { daemon, kind, tenant, runMs } = request;
    this.attempts.set(ticket, attempt);
    const keeper = this.keepers[backend]!;
    const isOwn = keeper instanceof SlotLeases && keeper.hasSpare(daemon);
    const headstart = returns > 0 ? RETURN_HEADSTART_MS : 0;
    if (!isOwn) this.messages += 2;
    this.after(isOwn ? 0 : MESSAGE_MS, () => {
      if (this.attempts.get(ticket) !== attempt) return;
      const ask = {
        daemon,
        ticket,
        rank: kind.rank,
        dueAt: since + kind.goalMs - FIRST_PART_MS,
        giveUpAt: cameAt + kind.patienceMs - FIRST_PART_MS,
        waitedMs: this.now - since + headstart,
        tenant,
        work: Math.round(runMs),
      };
      this.answer(backend, keeper.request(ask, this.now), isOwn);
    });
  }

  private answer(backend: number, decisions: readonly SlotDecision[], isOwn = false): void {
    for (const { daemon, ticket, answer, waitedMs } of decisions) {
      this.after(isOwn ? 0 : MESSAGE_MS, () => {
        const attempt = this.attempts.get(ticket);
        if (attempt === undefined) {
          // Nobody wants it any more.
          if (answer.type === 'granted' && !this.sentTickets.has(ticket)) {
            this.endAtKeeper(backend, daemon, ticket);
          }
        } else if (answer.type === 'queued') this.queuedFor(attempt, answer.expectedWaitMs);
        else {
          this.attempts.delete(ticket);
          if (answer.type === 'granted') this.send(attempt);
          if (answer.type === 'refused') this.refuse(attempt, answer.retryAfterMs, waitedMs);
        }
      });
    }
  }

  private queuedFor(attempt: Attempt, expectedWaitMs: number): void {
    const { backend } = attempt;
    if (attempt.tries === 0) {
      attempt.tries = 1;
      const other = this.soonestBut(backend);
      if (other.waitMs + 50 < expectedWaitMs) {
        this.withdraw(attempt);
        attempt.backend = other.backend;
        attempt.ticket = this.tickets += 1;
        return this.ask(attempt);
      }
    }
  }

  /** By what its daemon has heard of the others; a little late in truth. */
  private soonestBut(backend: number): { backend: number; waitMs: number } {
    const waits = this.keepers.map((keeper, index) => ({
      backend: index,
      waitMs: index === backend ? Infinity : keeper.status(this.now).expectedWaitMs,
    }));
    return waits.reduce((best, one) => (one.waitMs < best.waitMs ? one : best));
  }

  private endAtKeeper(backend: number, daemon: string, ticket: number): void {
    const keeper = this.keepers[backend]!;
    this.messages += 1;
    this.after(MESSAGE_MS, () => this.answer(backend, keeper.end(daemon, ticket, this.now)));
  }

  private withdraw(attempt: Attempt): void {
    const { request, ticket, backend } = attempt;
    this.attempts.delete(ticket);
    this.sent.delete(attempt);
    this.endAtKeeper(backend, request.daemon, ticket);
  }

  private send(attempt: Attempt): void {
    const { backend } = attempt;
    this.sent.add(attempt);
    this.sentTickets.add(attempt.ticket);
    this.inFlight[backend]! += 1;
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight[backend]!);
    this.after(MESSAGE_MS, () => {
      this.queued[backend]!.push(attempt);
      this.work(backend);
    });
  }

  /** The backend takes the most urgent of its own queue when it has a slot. */
  private work(backend: number): void {
    const queue = this.queued[backend]!;
    while (this.running[backend]! < SLOTS && queue.length > 0) {
      if (this.way === 'alone') {
        queue.sort((a, b) => a.request.kind.rank - b.request.kind.rank || a.ticket - b.ticket);
      }
      const attempt = queue.shift()!;
      const { request, cameAt, since } = attempt;
      if (this.now - cameAt > request.kind.patienceMs) {
        this.inFlight[backend]! -= 1;
        this.note(attempt, 'refused');
        if (this.way !== 'alone') this.withdraw(attempt);
        continue;
      }
      this.running[backend]! += 1;
      const isInAim = this.now - since + FIRST_PART_MS <= request.kind.goalMs;
      this.note(attempt, isInAim ? 'inAim' : 'late');
      this.after(request.runMs / (SPEEDS[backend % SPEEDS.length] ?? 1), () =>
        this.finish(attempt),
      );
    }
  }

  private finish(attempt: Attempt): void {
    const { backend } = attempt;
    this.running[backend]! -= 1;
    this.inFlight[backend]! -= 1;
    this.work(backend);
    if (this.way === 'alone') return;
    const keeper = this.keepers[backend]!;
    const { daemon } = attempt.request;
    // The end is known to its daemon after a message; a lent slot is used there again at once.
    if (keeper instanceof SlotLeases) {
      this.sent.delete(attempt);
      return this.after(MESSAGE_MS, () =>
        this.answer(backend, keeper.end(daemon, attempt.ticket, this.now), true),
      );
    }
    this.after(MESSAGE_MS, () => this.withdraw(attempt));
  }

  private refuse(attempt: Attempt, retryAfterMs: number, waitedMs = Infinity): void {
    const { request, since, cameAt, returns, backend } = attempt;
    const keeper = this.keepers[backend];
    // Its daemon tells of its return unless it has waited there.
    if (waitedMs === 0 && keeper instanceof SlotQueue)
      keeper.expectRetry(request.kind.rank, retryAfterMs, this.now);
    const leavesAt = cameAt + request.kind.patienceMs;
    if (returns >= MOST_RETURNS || this.now + retryAfterMs > leavesAt) {
      return this.note(attempt, 'refused');
    }
    const isEarly = this.now - since <= request.kind.goalMs * EARLY_SHARE;
    const backAfterMs = retryAfterMs + 2 * MESSAGE_MS;
    this.after(backAfterMs, () => this.arrive(request, attempt, isEarly));
  }

  private note({ request }: Attempt, end: keyof Outcome): void {
    const { kind, tenant, size } = request;
    const isSmall = tenant !== 'hot';
    const count = (outcomes: Map<string, Outcome>, name: string): void => {
      const outcome = outcomes.get(name) ?? { inAim: 0, late: 0, refused: 0 };
      outcome[end] += 1;
      outcomes.set(name, outcome);
    };
    count(this.byKind, kind.name);
    count(this.byTenant, isSmall ? 'the four usual' : 'hot');
    if (kind.name === 'patient' && size >= 0.9) this.largest[end] += 1;
  }
}

/** Share of an outcome's requests that were served in their aim. */
export function shareInAim({ inAim, late, refused }: Outcome): number {
  return inAim / (inAim + late + refused);
}

/** Share of an outcome's requests that were served at all. */
export function shareServed({ inAim, late, refused }: Outcome): number {
  return (inAim + late) / (inAim + late + refused);
}
