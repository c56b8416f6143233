/**
 * The owner of a service: gathers demand, plans, gives orders to the backends,
 * and tells every daemon where the models are.
 */
import type { Logger } from '../common/logger.js';
import { BackendLedger } from '../core/backend-ledger.js';
import { isDifferentStart } from '../core/backend-starts.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { DemandReport } from '../core/demand-report.js';
import { ModelDemand } from '../core/model-demand.js';
import { PlacementPlanner } from '../core/placement-planner.js';
import type { PlannedOrder, PlanningInput } from '../core/planning.js';
import { PlacementPublisher, type KnownPlacement } from '../core/placement-publisher.js';
import type { PlacementUpdate } from '../core/placement-update.js';
import type { BackendRecord, ModelHostSpec } from '../core/service-configuration.js';
import type { Policies } from '../core/policies.js';
import { StoreLoadWindow, type StoreLoadCeiling } from '../core/store-load-ceiling.js';
import {
  AdaptiveStoreLoadLimit,
  initialStoreLoadLimit,
  UnlimitedStoreLoads,
  type StoreLoadLimit,
} from '../core/store-load-limit.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import { comparatorForPolicies } from '../core/waiting-model-comparators.js';
import { CapacityWatch } from './capacity-watch.js';
import { LoadWatch } from './load-watch.js';
import type { BackendControl } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Between two rounds while nothing calls for one. */
const ROUND_PERIOD_MS = 100;
/** Least time between two rounds. */
const ROUND_PAUSE_MS = 20;
/** Time between two rounds for each daemon that is told: at most 1,250 messages a second. */
const ROUND_PAUSE_PER_DAEMON_MS = 0.8;
/** A report shows the state of some time ago; one asked for earlier may not show an order. */
const REPORT_LAG_MS = 220;
/** Between two reports of one backend. */
const REPORT_PERIOD_MS = 150;
/** A held model for which requests wait so long makes its holder doubtful. */
const DOUBT_AFTER_MS = 200;
/** Between two questions to a doubtful backend. */
const DOUBT_PERIOD_MS = 600;
/** The owner's word is repeated so often, with the loads that have changed. */
const REPEAT_PERIOD_MS = 250;
/** Share of a backend's slots by which its load must change to be told again. */
const LOAD_TOLERANCE_SHARE = 1 / 6;

/**
 * A time told may be off by this share of itself before it is told again: a caller who holds or
 * leaves by it decides the same, and the daemons are sent a fraction of the changes of a long queue.
 */
const FORECAST_TOLERANCE_SHARE = 0.15;

/** Options of {@link ServiceOwner}. */
export interface ServiceOwnerOptions {
  readonly service: string;
  readonly epoch: number;
  /** Names this daemon in orders. */
  readonly holder: string;
  readonly host: () => ModelHostSpec | undefined;
  readonly directory: BackendDirectory;
  readonly control: BackendControl;
  readonly ceiling: StoreLoadCeiling;
  readonly policies: Policies;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Tells every daemon, this one included. */
  readonly publish: (update: PlacementUpdate) => void;
  /** Whether this daemon still owns the service, as far as it can know. */
  readonly isOwner: () => boolean;
  /** Milliseconds until an order may be sent; infinite if that cannot be told. Until then nothing is planned. */
  readonly orderDelayMs: () => number;
  /** Daemons that are told; each update costs a message to each of them. */
  readonly daemonCount: () => number;
}

/** Gives orders under one epoch until stopped. */
export class ServiceOwner {
  readonly demand: ModelDemand;
  private readonly planner = new PlacementPlanner();
  private readonly ledgers = new Map<string, BackendLedger>();
  private readonly reportDue = new Map<string, number>();
  private readonly lastReport = new Map<string, number>();
  private readonly storeLoads: StoreLoadWindow;
  private readonly storeLimit: StoreLoadLimit;
  private readonly loadWatch: LoadWatch;
  /** Undefined if all backends count as alike. */
  private readonly capacity: CapacityWatch | undefined;
  private readonly publisher: PlacementPublisher;
  private roundTimer: NodeJS.Timeout | undefined;
  private lastRound = -Infinity;
  private lastPublished = -Infinity;
  private changed = true;
  private failingNames = '';
  private stopped = false;

  /** @param onFenced - A backend has seen a higher epoch. */
  constructor(
    private readonly options: ServiceOwnerOptions,
    private readonly onFenced: () => void,
  ) {
    this.storeLoads = new StoreLoadWindow(options.ceiling);
    const { service, epoch, policies, logger, metrics } = options;
    this.demand = new ModelDemand(comparatorForPolicies(policies));
    this.storeLimit = policies.storeLoadLimit
      ? new AdaptiveStoreLoadLimit(this.firstStoreLoadLimit())
      : new UnlimitedStoreLoads();
    this.loadWatch = new LoadWatch({ service, epoch, limit: this.storeLimit, logger, metrics });
    const isListed = (backend: string): boolean => this.ledgers.has(backend);
    const watched = { service, epoch, logger, metrics, isListed };
    this.capacity = policies.learnedCapacity ? new CapacityWatch(watched) : undefined;
    this.publisher = new PlacementPublisher(
      options.service,
      options.epoch,
      policies.forecastAll ? FORECAST_TOLERANCE_SHARE : 0,
    );
  }

  /** What the former owner had learned, or a guess. */
  private firstStoreLoadLimit(): number {
    const { directory, service, host } = this.options;
    const learned = directory.storeLoadLimitOf(service);
    if (learned > 0) return learned;
    const spec = host();
    return spec === undefined ? 1 : initialStoreLoadLimit(spec);
  }

  /** Everything that the daemons have been told, for one that missed an update. */
  everything(): PlacementUpdate {
    return this.publisher.fullUpdate(steadyNow());
  }

  /** Gives no further orders. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.roundTimer);
  }

  /** Takes a daemon's demand; waiting requests call for a round. */
  hear(report: DemandReport): void {
    this.demand.applyReport(report, steadyNow());
    this.capacity?.hear(report, steadyNow());
    if (report.samples.some((sample) => sample.waiting > 0)) this.roundSoon();
  }

  /** The platform's list has changed. */
  backendsChanged(): void {
    for (const backend of this.backends()) {
      const ledger = this.ledgers.get(backend.id);
      if (ledger === undefined) continue;
      if (isDifferentStart(ledger, backend)) {
        this.restartLedger(ledger, backend, steadyNow());
        continue;
      }
      ledger.setCopies(backend.inMemory, backend.onDisk);
      if (!ledger.applyListing(backend, steadyNow())) continue;
      this.reportDue.delete(backend.id);
      this.changed = true;
    }
    this.roundSoon();
  }

  /** Looks at the clock; call it often. */
  tick(): void {
    const now = steadyNow();
    if (now - this.lastRound >= ROUND_PERIOD_MS) this.round();
    if (now - this.lastPublished >= REPEAT_PERIOD_MS) this.publish(now);
  }

  /** A round now, or as soon as the pause after the last one has passed: one for all that calls for it. */
  private roundSoon(): void {
    if (this.roundTimer !== undefined || this.stopped) return;
    const perDaemon = ROUND_PAUSE_PER_DAEMON_MS * this.options.daemonCount();
    const dueIn = this.lastRound + Math.max(ROUND_PAUSE_MS, perDaemon) - steadyNow();
    if (dueIn <= 0) return this.round();
    this.roundTimer = setTimeout(() => this.round(), dueIn);
  }

  private round(): void {
    clearTimeout(this.roundTimer);
    this.roundTimer = undefined;
    const host = this.options.host();
    if (this.stopped || host === undefined || !this.options.isOwner()) return;
    const now = steadyNow();
    this.lastRound = now;
    this.syncLedgers(now);
    this.loadWatch.settle(this.ledgers, now);
    this.capacity?.settle(now);
    this.noteFailing(now);
    this.doubtHolders(now);
    this.readReports(now);
    const mayOrder = this.options.orderDelayMs() === 0;
    this.giveAll(mayOrder ? this.planner.plan(this.planningInput(host, now)) : [], now);
    this.options.metrics.roundSeconds.observe((steadyNow() - now) / 1_000);
  }

  private giveAll(orders: readonly PlannedOrder[], now: number): void {
    const given = orders.flatMap((planned) => {
      const ledger = this.ledgers.get(planned.backend);
      const backend = this.options.directory.get(planned.backend);
      return ledger === undefined || backend === undefined ? [] : [{ planned, ledger, backend }];
    });
    for (const { planned, ledger } of given) {
      if (planned.copy === 'store') this.storeLoads.count(now);
      ledger.recordSent(planned.order, now + planned.durationMs);
      this.loadWatch.begin(planned, now);
    }
    // Daemons must stop sending requests for a model before its unload is ordered.
    const unloads = given.some(({ planned }) => planned.order.operation === 'unload');
    if (this.changed || unloads) this.publish(now);
    for (const { planned, ledger, backend } of given) void this.carryOut(planned, ledger, backend);
  }

  private planningInput(host: ModelHostSpec, now: number): PlanningInput {
    const listed = this.backends();
    const failing = this.demand.failingBackends(listed.length, now);
    const backends = listed
      .filter((backend) => !backend.leaving && !failing.has(backend.id))
      .flatMap((backend) => {
        const ledger = this.ledgers.get(backend.id);
        return ledger === undefined || ledger.isUnresponsive ? [] : [ledger];
      });
    const storeLoads = this.storeLoads.available(now);
    const storePlaceWaits = this.storePlaceWaits(now);
    const { demand, options } = this;
    const { policies } = options;
    const { unloadTimes } = this.loadWatch;
    const capacity = this.capacity?.planned();
    const loads = { storeLoads, storeSlotWaitsMs: storePlaceWaits, unloadTimes };
    return { host, backends, demand, policies, now, ...loads, capacity };
  }

  /** Milliseconds until each place for a load from the store is free: those beyond the limit never are. */
  private storePlaceWaits(now: number): number[] {
    const { maxConcurrent: most } = this.storeLimit;
    if (!Number.isFinite(most)) return [0];
    const ends = this.loadWatch.storeLoadEnds(now).sort((a, b) => a - b);
    const excess = Math.max(0, ends.length - most);
    const free = Math.max(0, most - ends.length);
    return [...Array<number>(free).fill(0), ...ends.slice(excess).map((end) => Math.max(1, end))];
  }

  private backends(): BackendRecord[] {
    const { directory, service } = this.options;
    return directory.all().filter((backend) => backend.service === service);
  }

  /** One ledger for each listed process; those of ended processes go. */
  private syncLedgers(now: number): void {
    const listed = new Set<string>();
    for (const backend of this.backends()) {
      listed.add(backend.id);
      const known = this.ledgers.get(backend.id);
      if (known === undefined) this.beginLedger(backend, now);
      else if (isDifferentStart(known, backend)) this.restartLedger(known, backend, now);
      else {
        known.start ??= backend.start;
        known.releaseExpiredOrders(now);
      }
    }
    for (const id of this.ledgers.keys()) {
      if (listed.has(id)) continue;
      this.ledgers.delete(id);
      this.reportDue.delete(id);
      this.lastReport.delete(id);
      this.capacity?.forget(id);
      this.changed = true;
    }
  }

  private beginLedger(backend: BackendRecord, now: number): BackendLedger {
    const ledger = new BackendLedger(backend.id, backend.start);
    ledger.seedFromListing(backend);
    const loading = this.options.directory.expectedLoadAt(backend, now);
    if (loading !== undefined) ledger.seedLoad(loading.model, loading.expectedEnd);
    this.ledgers.set(backend.id, ledger);
    this.reportDue.set(backend.id, 0);
    this.changed = true;
    return ledger;
  }

  /** Orders, answers and reports of a backend's earlier start are void; what may still reach it is reckoned with. */
  private restartLedger(earlier: BackendLedger, backend: BackendRecord, now: number): void {
    const { id } = backend;
    this.lastReport.delete(id);
    this.loadWatch.backendRestarted(id, now);
    this.demand.removeBackend(id);
    this.capacity?.forget(id);
    const late = earlier.unansweredOrders(now);
    this.beginLedger(backend, now).reserveForLateOrders(late);
    const { service, epoch, logger } = this.options;
    logger.info('backend_ledger_restarted', {
      service,
      epoch,
      backend: id,
      start: backend.start,
      earlierSequence: earlier.sequence,
      lateOrders: late.length,
    });
  }

  /** Requests wait although a backend holds their model: it is asked whether it lives. */
  private doubtHolders(now: number): void {
    const awaited = this.demand.modelsWaitingFor(DOUBT_AFTER_MS, now);
    if (awaited.size === 0) return;
    for (const ledger of this.ledgers.values()) {
      if (ledger.phase !== 'ready' || this.reportDue.has(ledger.id)) continue;
      const holds = [...ledger.models.keys()].some((model) => awaited.has(model));
      const isRecent = now - (this.lastReport.get(ledger.id) ?? -Infinity) < DOUBT_PERIOD_MS;
      if (holds && !isRecent) this.reportDue.set(ledger.id, now);
    }
  }

  private readReports(now: number): void {
    for (const backend of this.backends()) {
      const ledger = this.ledgers.get(backend.id);
      const due = this.reportDue.get(backend.id);
      if (ledger === undefined || due === undefined || due > now) continue;
      if (ledger.phase === 'ordering') continue;
      this.reportDue.delete(backend.id);
      this.lastReport.set(backend.id, now);
      void this.readReport(backend, ledger);
    }
  }

  private async readReport(backend: BackendRecord, ledger: BackendLedger): Promise<void> {
    const report = await this.options.control.report(backend);
    const now = steadyNow();
    if (this.stopped || this.ledgers.get(backend.id) !== ledger) return;
    if (ledger.phase === 'ordering') {
      this.reportDue.set(backend.id, now + REPORT_LAG_MS);
      return;
    }
    this.noteSilence(ledger, report === undefined);
    const current = report !== undefined && ledger.applyReport(report, now);
    const awaited = !current || ledger.loadingAdapters.size > 0;
    if (awaited) this.reportDue.set(backend.id, now + REPORT_PERIOD_MS);
    this.changed = true;
    if (current || ledger.isUnresponsive) this.roundSoon();
  }

  /** What the daemons say of failing backends changes what the owner counts on. */
  private noteFailing(now: number): void {
    const failing = this.demand.failingBackends(this.backends().length, now);
    const names = [...failing].sort().join(',');
    if (names === this.failingNames) return;
    this.failingNames = names;
    const { service, epoch, logger } = this.options;
    logger.warn('backends_failing', { service, epoch, backends: names });
  }

  private noteSilence(ledger: BackendLedger, isSilent: boolean): void {
    if (ledger.isUnresponsive === isSilent) return;
    ledger.isUnresponsive = isSilent;
    const { service, epoch, logger } = this.options;
    logger.warn(isSilent ? 'backend_silent' : 'backend_back', {
      service,
      epoch,
      backend: ledger.id,
      models: [...ledger.models.keys()].join(','),
    });
  }

  private async carryOut(
    planned: PlannedOrder,
    ledger: BackendLedger,
    backend: BackendRecord,
  ): Promise<void> {
    const { options } = this;
    const expectedSequence = ledger.sequence;
    const isCurrent = (): boolean => this.ledgers.get(backend.id) === ledger;
    const maySend = (): boolean => !this.stopped && options.orderDelayMs() === 0 && isCurrent();
    const fence = { holder: options.holder, epoch: options.epoch, expectedSequence, maySend };
    const { order } = planned;
    const outcome = await options.control.order(backend, order, fence);
    const now = steadyNow();
    options.metrics.orders.inc({ operation: order.operation, outcome: outcome.type });
    options.logger.info('order', {
      service: options.service,
      epoch: options.epoch,
      backend: backend.id,
      operation: order.operation,
      model: order.model,
      adapter: order.adapter,
      sequence: expectedSequence,
      reason: planned.reason,
      outcome: outcome.type,
    });
    if (!isCurrent()) return;
    ledger.recordOutcome(order, outcome, now, planned.durationMs);
    this.reportDue.set(backend.id, now + this.reportDelay(planned, ledger));
    if (outcome.type === 'fenced') return this.onFenced();
    this.changed = true;
    this.roundSoon();
  }

  private reportDelay(planned: PlannedOrder, ledger: BackendLedger): number {
    if (ledger.phase === 'unsynchronized') return REPORT_LAG_MS;
    const isAdapter = planned.order.adapter !== undefined;
    // The platform's list tells of models at once; the report is the way round a lost word.
    return isAdapter ? planned.durationMs + 70 : planned.durationMs * 1.5 + REPORT_LAG_MS;
  }

  private publish(now: number): void {
    if (this.stopped) return;
    this.changed = false;
    const host = this.options.host();
    const backends = new Map<string, KnownPlacement[]>();
    for (const ledger of this.ledgers.values()) {
      if (ledger.phase === 'unsynchronized' && ledger.models.size === 0) continue;
      // Nobody is to wait for what a silent backend holds.
      backends.set(ledger.id, ledger.isUnresponsive ? [] : placementOf(ledger, now));
    }
    const forecasts = host === undefined ? new Map<string, number>() : this.forecasts(host, now);
    const loads = new Map<string, number>();
    for (const id of this.ledgers.keys()) loads.set(id, this.demand.inFlightAt(id, now));
    const loadTolerance = Math.max(1, (host?.slots ?? 1) * LOAD_TOLERANCE_SHARE);
    const { maxConcurrent: most } = this.storeLimit;
    const storeLoadLimit = Number.isFinite(most) ? most : 0;
    const capacity = this.capacity?.figures;
    const state = { backends, forecasts, loads, storeLoadLimit, loadTolerance, capacity };
    const update = this.publisher.nextUpdate(state, now);
    const isNew = update.version !== update.baseVersion;
    if (!isNew && now - this.lastPublished < REPEAT_PERIOD_MS) return;
    this.lastPublished = now;
    this.options.publish(update);
  }

  /** Expected times at which models that no backend holds are loaded. */
  private forecasts(host: ModelHostSpec, now: number): Map<string, number> {
    const delayMs = this.options.orderDelayMs();
    // Nobody is to wait for a load that may not be ordered for as long as cannot be told.
    if (!Number.isFinite(delayMs)) return new Map();
    const forecasts = this.planner.forecasts(this.planningInput(host, now));
    return new Map([...forecasts].map(([model, readyInMs]) => [model, now + delayMs + readyInMs]));
  }
}

/** The models of one backend, as every daemon is told. */
function placementOf(ledger: BackendLedger, now: number): KnownPlacement[] {
  const order = ledger.currentOrder;
  const placed: KnownPlacement[] = [];
  for (const [name, model] of ledger.models) {
    const isTarget = order?.operation === 'unload' && order.model === name;
    const unloading = isTarget && order.adapter === undefined;
    const adapters = [...model.adapters].filter((name) => !isTarget || name !== order.adapter);
    placed.push({ name, adapters, readyAt: 0, unloading });
  }
  const isLoad = order?.operation === 'load' && order.adapter === undefined;
  if (isLoad && !ledger.models.has(order.model)) {
    const readyAt = ledger.running?.expectedEnd ?? now;
    placed.push({ name: order.model, adapters: [], readyAt, unloading: false });
  }
  return placed;
}
