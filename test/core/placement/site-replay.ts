/**
 * Simulates recorded requests against a planner without a network: backends that load, unload
 * and answer in given times, a daemon that holds or refuses requests, and callers that retry once.
 * The clock advances in steps of 10 ms; the same input gives the same results.
 */
import { BackendLedger } from '../../../src/core/backend-ledger.js';
import { GoalWindowHold } from '../../../src/core/hold-policy-goal-windows.js';
import { FIRST_PART_MS, type HoldPolicy } from '../../../src/core/hold-policy.js';
import type { LoadPlanner } from '../../../src/core/planning.js';
import { ModelDemand } from '../../../src/core/model-demand.js';
import type { PlannedOrder, PlanningInput } from '../../../src/core/planning.js';
import type { Policies } from '../../../src/core/policies.js';
import type { BackendRecord, ModelHostSpec } from '../../../src/core/service-configuration.js';
import { UnloadTimeEstimator } from '../../../src/core/unload-time-estimator.js';
import { comparatorForPolicies } from '../../../src/core/waiting-model-comparators.js';
import { RequestTracker, type WaitingCaller } from '../../../src/gateway/request-tracker.js';

const STEP_MS = 10;
/** Time between two planning rounds of an owner that sends updates to 91 daemons. */
const ROUND_INTERVAL_MS = 75;
/** Time between two planning rounds if nothing has changed. */
const IDLE_ROUND_INTERVAL_MS = 100;
/** Time between a daemon's checks of its held requests, and between its reports. */
const CHECK_INTERVAL_MS = 50;
/**
 * Round trip of an order and its answer, plus the delay until the backend list shows that the order
 * is done.
 */
const ORDER_DELAY_MS = 20;
const SERVICE = 's';
/** A caller retries after at most this share of the time until its deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/** A refusal within this share of the goal counts as early. */
const EARLY_REFUSAL_SHARE = 0.25;

/** Number of requests from which a model counts in `frequentModels` and `neverServed`. */
const FREQUENT_MODEL_REQUESTS = 4;

/** Kind of request. */
export interface RequestClass {
  readonly name: string;
  readonly goalMs: number;
  readonly deadlineMs: number;
}

/** First try of one recorded request. */
export interface RecordedCaller {
  readonly at: number;
  readonly kind: RequestClass;
  readonly model: string;
  /** Time that the request runs at a backend, in milliseconds. */
  readonly runMs: number;
}

/** Backends with their initial models, and limits of the simulated site. */
export interface ReplaySite {
  readonly host: ModelHostSpec;
  /** Models loaded, and on disk, by backend. */
  readonly backends: readonly {
    readonly held: readonly string[];
    readonly onDisk: readonly string[];
  }[];
  /** Ratio of the actual load time to the time in the host specification. */
  readonly loadFactor: number;
  /** Number of models that fit on a backend's disk and in its host memory. */
  readonly diskModels: number;
  readonly memoryModels: number;
  /** Maximum number of concurrent loads from the weight store. */
  readonly storeLoads: number;
  /** Milliseconds before the first request in which the owner may give orders. */
  readonly leadMs: number;
}

/** Results for one kind of request; each request is counted once, with its first try. */
export interface RequestClassOutcome {
  owed: number;
  /** Served within the goal on the first try. */
  inGoal: number;
  /** Refused early, and served within the goal on the second try. */
  cameBack: number;
  late: number;
  refused: number;
}

/** Results of a replay. */
export interface ReplayOutcome {
  readonly kinds: ReadonlyMap<string, RequestClassOutcome>;
  loads: number;
  storeLoads: number;
  unloads: number;
  /** Share of the backends' time in which an order was running. */
  busyShare: number;
  /** Number of models requested four or more times, and how many of them were never served. */
  frequentModels: number;
  neverServed: number;
  refusedWithoutForecast: number;
  /**
   * Milliseconds from the first forecast load time to the actual serving of held requests, sorted;
   * negative if early.
   */
  readonly forecastErrorsMs: number[];
}

/** Policies and planner under test. */
export interface ReplayVariant {
  readonly policies: Policies;
  readonly planner: LoadPlanner;
}

interface RunningRequest {
  readonly model: string;
  readonly endsAt: number;
}

class ReplayBackend {
  readonly ledger: BackendLedger;
  readonly models: Set<string>;
  running: RunningRequest[] = [];
  /** Models on disk, most recently used last. */
  disk: string[];
  memory: string[] = [];
  order: { readonly planned: PlannedOrder; readonly beganAt: number; endsAt: number } | undefined;
  revision = 1;
  sequence = 0;

  constructor(
    readonly id: string,
    held: readonly string[],
    onDisk: readonly string[],
  ) {
    this.models = new Set(held);
    this.disk = [...onDisk];
    this.ledger = new BackendLedger(id);
    const models = held.map((name) => ({ name, adapters: [] }));
    const report = { busy: false, sequence: 0, models, coming: [], waiting: 0, running: 0 };
    const copies = { inMemory: [], onDisk };
    this.ledger.applyReport({ ...report, ...copies }, -2_000);
    this.ledger.applyReport({ ...report, ...copies }, -1_000);
  }

  inFlightOf(model: string): number {
    return this.running.filter((request) => request.model === model).length;
  }

  /** Whether requests for the model may be sent to this backend. */
  serves(model: string): boolean {
    const order = this.order?.planned.order;
    return this.models.has(model) && !(order?.operation === 'unload' && order.model === model);
  }

  record(): BackendRecord {
    const models = [...this.models].map((name) => ({ name, adapters: [] }));
    const copies = { inMemory: this.memory, onDisk: this.disk };
    const place = {
      id: this.id,
      service: SERVICE,
      address: '',
      zone: '',
      slots: 1,
      leaving: false,
    };
    return { ...place, ...copies, models, revision: this.revision, sequence: this.sequence };
  }
}

interface Attempt {
  readonly caller: RecordedCaller;
  readonly at: number;
  readonly hasComeBack: boolean;
  readonly refusedEarly: boolean;
  readonly waiting: WaitingCaller;
  readonly deadlineAt: number;
  forecastReadyAt?: number;
}

/** Simulation of one site with one set of policies. */
export class SiteReplay {
  private now = 0;
  private readonly backends: ReplayBackend[];
  private readonly tracker = new RequestTracker();
  private readonly demand: ModelDemand;
  private readonly hold: HoldPolicy;
  private readonly unloadTimes = new UnloadTimeEstimator();
  private held: Attempt[] = [];
  private readonly returns = new Map<number, Attempt[]>();
  private forecasts = new Map<string, number>();
  private readonly endsOfExpectedReturns = new Map<number, (() => void)[]>();
  private busyMs = 0;
  private readonly served = new Map<string, number>();
  private readonly requestCounts = new Map<string, number>();
  private readonly outcome: ReplayOutcome = {
    kinds: new Map(),
    loads: 0,
    storeLoads: 0,
    unloads: 0,
    busyShare: 0,
    frequentModels: 0,
    neverServed: 0,
    refusedWithoutForecast: 0,
    forecastErrorsMs: [],
  };

  constructor(
    private readonly site: ReplaySite,
    private readonly callers: readonly RecordedCaller[],
    private readonly variant: ReplayVariant,
  ) {
    this.demand = new ModelDemand(comparatorForPolicies(variant.policies));
    this.hold = new GoalWindowHold();
    this.backends = site.backends.map(
      ({ held, onDisk }, index) => new ReplayBackend(`b${index}`, held, onDisk),
    );
  }

  run(): ReplayOutcome {
    const lastAt = Math.max(...this.callers.map(({ at }) => at));
    const end = lastAt + Math.max(...this.callers.map(({ kind }) => kind.deadlineMs));
    for (this.now = -this.site.leadMs; this.now <= end; this.now += STEP_MS) {
      this.step();
      const isCounted = this.now >= 0 && this.now <= lastAt;
      if (isCounted) this.busyMs += STEP_MS * this.backends.filter(({ order }) => order).length;
    }
    this.outcome.busyShare = this.busyMs / (lastAt * this.backends.length);
    const frequent = [...this.requestCounts].filter(
      ([, count]) => count >= FREQUENT_MODEL_REQUESTS,
    );
    this.outcome.frequentModels = frequent.length;
    this.outcome.neverServed = frequent.filter(([model]) => !this.served.has(model)).length;
    this.outcome.forecastErrorsMs.sort((a, b) => a - b);
    return this.outcome;
  }

  private step(): void {
    this.processArrivals();
    for (const ended of this.endsOfExpectedReturns.get(this.now) ?? []) ended();
    this.endRequests();
    const isCheckDue = this.now % CHECK_INTERVAL_MS === 0;
    if (isCheckDue) this.report();
    if (isCheckDue || this.isChanged) this.checkHeld();
    const pauseMs = this.isRoundDue ? ROUND_INTERVAL_MS : IDLE_ROUND_INTERVAL_MS;
    if (this.now - this.lastRound >= pauseMs) this.round();
  }

  private processArrivals(): void {
    for (;;) {
      const caller = this.callers[this.nextCaller];
      if (caller === undefined || caller.at > this.now) break;
      this.nextCaller += 1;
      this.handleArrival(caller, false, false, caller.at + caller.kind.deadlineMs);
    }
    for (const returned of this.returns.get(this.now) ?? []) {
      this.handleArrival(returned.caller, true, returned.refusedEarly, returned.deadlineAt);
    }
  }

  private nextCaller = 0;
  private isChanged = false;
  private lastRound = -Infinity;
  private isRoundDue = false;

  private handleArrival(
    caller: RecordedCaller,
    hasComeBack: boolean,
    refusedEarly: boolean,
    deadlineAt: number,
  ): void {
    const { kind, model } = caller;
    const reference = { model, adapter: undefined };
    this.tracker.recordArrival(SERVICE, reference, kind.goalMs, this.now);
    if (!hasComeBack) {
      this.kindOf(kind).owed += 1;
      this.requestCounts.set(model, (this.requestCounts.get(model) ?? 0) + 1);
    }
    const waiting = { dueAt: this.now + kind.goalMs - FIRST_PART_MS, goalMs: kind.goalMs };
    const attempt: Attempt = {
      caller,
      at: this.now,
      hasComeBack,
      refusedEarly,
      waiting,
      deadlineAt,
    };
    if (this.send(attempt)) return;
    if (this.decide(attempt)) {
      this.held.push(attempt);
      this.tracker.addWaiting(SERVICE, reference, waiting);
    }
  }

  private kindOf(kind: RequestClass): RequestClassOutcome {
    const kinds = this.outcome.kinds as Map<string, RequestClassOutcome>;
    const existing = kinds.get(kind.name) ?? {
      owed: 0,
      inGoal: 0,
      cameBack: 0,
      late: 0,
      refused: 0,
    };
    kinds.set(kind.name, existing);
    return existing;
  }

  private checkHeld(): void {
    this.isChanged = false;
    const remaining: Attempt[] = [];
    for (const attempt of this.held) {
      const reference = { model: attempt.caller.model, adapter: undefined };
      if (!this.send(attempt) && this.decide(attempt)) remaining.push(attempt);
      else this.tracker.removeWaiting(SERVICE, reference, attempt.waiting);
    }
    this.held = remaining;
  }

  /** Sends a request to the least loaded backend that serves its model; false if there is none. */
  private send(attempt: Attempt): boolean {
    const { caller } = attempt;
    let best: ReplayBackend | undefined;
    for (const backend of this.backends) {
      if (!backend.serves(caller.model)) continue;
      if (best === undefined || backend.running.length < best.running.length) best = backend;
    }
    if (best === undefined) return false;
    const excess = Math.max(0, best.running.length - this.site.host.slots);
    // A request without a free slot starts after as many running requests have ended as are ahead
    // of it.
    const ends = best.running.map(({ endsAt }) => endsAt).sort((a, b) => a - b);
    const slotAt =
      best.running.length < this.site.host.slots ? this.now : (ends[excess] ?? this.now);
    const firstPartAt = slotAt + FIRST_PART_MS;
    best.running.push({
      model: caller.model,
      endsAt: slotAt + Math.max(FIRST_PART_MS, caller.runMs),
    });
    this.tracker.addInFlight(SERVICE, best.id, { model: caller.model, adapter: undefined }, 1);
    this.note(attempt, firstPartAt);
    return true;
  }

  private note(attempt: Attempt, firstPartAt: number): void {
    const { caller, hasComeBack, refusedEarly, at, forecastReadyAt } = attempt;
    const { kind } = caller;
    const counted = this.kindOf(kind);
    const inGoal = firstPartAt - at <= kind.goalMs;
    if (firstPartAt > attempt.deadlineAt) counted.refused += 1;
    else if (!hasComeBack && inGoal) counted.inGoal += 1;
    else if (hasComeBack && refusedEarly && inGoal) counted.cameBack += 1;
    else counted.late += 1;
    this.served.set(caller.model, (this.served.get(caller.model) ?? 0) + 1);
    if (forecastReadyAt !== undefined)
      this.outcome.forecastErrorsMs.push(this.now - forecastReadyAt);
  }

  /** Decides whether to hold a request; false if it is refused. */
  private decide(attempt: Attempt): boolean {
    const { caller, hasComeBack, at, deadlineAt } = attempt;
    const { kind, model } = caller;
    const readyInMs = this.readyInMs(model);
    const waitedMs = this.now - at;
    const remainingMs = deadlineAt - this.now;
    if (remainingMs <= 0) {
      this.kindOf(kind).refused += 1;
      return false;
    }
    const { goalMs } = kind;
    const decision = this.hold.decide({
      goalMs,
      waitedMs,
      remainingMs,
      readyInMs,
      isRetry: hasComeBack,
    });
    if (decision.type === 'hold') {
      if (readyInMs !== undefined) attempt.forecastReadyAt ??= this.now + readyInMs;
      return true;
    }
    if (readyInMs === undefined) this.outcome.refusedWithoutForecast += 1;
    this.refuse(attempt, decision.retryAfterMs);
    return false;
  }

  private refuse(attempt: Attempt, retryAfterMs: number): void {
    const { caller, hasComeBack, at, deadlineAt } = attempt;
    const { kind, model } = caller;
    const reference = { model, adapter: undefined };
    const expected = { dueAt: this.now + retryAfterMs, goalMs: kind.goalMs };
    this.tracker.addWaiting(SERVICE, reference, expected);
    const ended = (): void => this.tracker.removeWaiting(SERVICE, reference, expected);
    scheduleAt(this.endsOfExpectedReturns, stepAfter(this.now + retryAfterMs), ended);
    if (hasComeBack) {
      this.kindOf(kind).refused += 1;
      return;
    }
    const refusedEarly = this.now - at <= kind.goalMs * EARLY_REFUSAL_SHARE;
    const backAt =
      this.now + Math.min(retryAfterMs, (deadlineAt - this.now) * MAX_RETRY_DELAY_SHARE);
    scheduleAt(this.returns, stepAfter(backAt), { ...attempt, refusedEarly });
  }

  private readyInMs(model: string): number | undefined {
    let readyAt = this.forecasts.get(model) ?? Infinity;
    for (const backend of this.backends) {
      const { ledger } = backend;
      const order = ledger.currentOrder;
      const isComing = order?.operation === 'load' && order.model === model;
      if (isComing) readyAt = Math.min(readyAt, Math.max(ledger.expectedEnd, this.now));
      else if (backend.serves(model)) readyAt = this.now;
    }
    return readyAt === Infinity ? undefined : Math.max(0, readyAt - this.now);
  }

  private report(): void {
    this.demand.applyReport(this.tracker.report(SERVICE, 'd', [], this.now), this.now);
    if (this.held.length > 0) this.isRoundDue = true;
  }

  private endRequests(): void {
    for (const backend of this.backends) {
      const remaining = backend.running.filter(({ endsAt }) => endsAt > this.now);
      if (remaining.length !== backend.running.length) {
        for (const { model, endsAt } of backend.running) {
          const reference = { model, adapter: undefined };
          if (endsAt <= this.now) this.tracker.addInFlight(SERVICE, backend.id, reference, -1);
        }
        backend.running = remaining;
      }
      this.endOrder(backend);
    }
  }

  private endOrder(backend: ReplayBackend): void {
    const { order } = backend;
    if (order === undefined || order.endsAt > this.now) return;
    const { operation, model } = order.planned.order;
    if (operation === 'unload') {
      if (backend.inFlightOf(model) > 0) return;
      backend.models.delete(model);
      if (order.beganAt < this.now - 150) this.unloadTimes.observeInUse(this.now - order.beganAt);
    } else {
      backend.models.add(model);
      backend.disk = [...backend.disk.filter((name) => name !== model), model];
      backend.disk = backend.disk.slice(-this.site.diskModels);
      backend.memory = [...backend.memory.filter((name) => name !== model), model];
      backend.memory = backend.memory.slice(-this.site.memoryModels);
    }
    backend.order = undefined;
    backend.ledger.setCopies(backend.memory, backend.disk);
    backend.ledger.applyListing(backend.record(), this.now);
    this.isChanged = true;
    this.isRoundDue = true;
  }

  private input(): PlanningInput {
    const { host, storeLoads } = this.site;
    const ends = this.backends.flatMap(({ order }) => {
      return order?.planned.copy === 'store' ? [Math.max(1, order.endsAt - this.now)] : [];
    });
    const free = Math.max(0, storeLoads - ends.length);
    return {
      host,
      backends: this.backends.map(({ ledger }) => ledger),
      demand: this.demand,
      policies: this.variant.policies,
      now: this.now,
      storeLoads: free,
      storeSlotWaitsMs: [...Array<number>(free).fill(0), ...ends],
      unloadTimes: this.unloadTimes,
    };
  }

  private round(): void {
    this.lastRound = this.now;
    this.isRoundDue = false;
    this.report();
    for (const planned of this.variant.planner.plan(this.input())) this.begin(planned);
    const readyTimes = this.variant.planner.forecasts(this.input());
    this.forecasts = new Map(
      [...readyTimes].map(([model, readyInMs]) => [model.replace(/\/$/, ''), this.now + readyInMs]),
    );
  }

  private begin(planned: PlannedOrder): void {
    const backend = this.backends.find(({ id }) => id === planned.backend);
    if (backend === undefined || backend.order !== undefined) return;
    const { order, copy, durationMs } = planned;
    backend.ledger.recordSent(order, this.now + durationMs);
    backend.ledger.recordOutcome(order, { type: 'accepted' }, this.now, durationMs);
    backend.sequence += 1;
    const isLoad = order.operation === 'load';
    const realMs = isLoad ? durationMs * this.site.loadFactor : 80;
    backend.order = { planned, beganAt: this.now, endsAt: this.now + ORDER_DELAY_MS + realMs };
    if (!isLoad) this.outcome.unloads += 1;
    else this.outcome.loads += 1;
    if (copy === 'store') this.outcome.storeLoads += 1;
  }
}

function stepAfter(at: number): number {
  return Math.ceil(at / STEP_MS) * STEP_MS;
}

function scheduleAt<Item>(timetable: Map<number, Item[]>, at: number, item: Item): void {
  timetable.set(at, [...(timetable.get(at) ?? []), item]);
}
