/**
 * The owner of a service: collects demand, plans the placement of models, sends orders
 * to the backends and publishes to every daemon where the models are placed.
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
import { CapacityTracker } from './capacity-tracker.js';
import { LoadTracker } from './load-tracker.js';
import type { BackendControl } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Interval between planning rounds while no event triggers one, in milliseconds. */
const ROUND_PERIOD_MS = 100;
/** Minimum time between two rounds, in milliseconds. */
const ROUND_PAUSE_MS = 20;
/** Minimum time between two rounds per daemon that receives updates, in milliseconds: at most 1,250 messages per second. */
const ROUND_PAUSE_PER_DAEMON_MS = 0.8;
/** Delay of a report request after an order, in milliseconds: reports lag behind, so an earlier one may not show the order. */
const REPORT_LAG_MS = 220;
/** Interval between two reports of one backend, in milliseconds. */
const REPORT_PERIOD_MS = 150;
/** Time in milliseconds that requests wait for a model after which a backend that has it loaded is suspected to have failed. */
const SUSPECT_AFTER_MS = 200;
/** Minimum interval between two report requests to a suspected backend, in milliseconds. */
const SUSPECT_REPORT_PERIOD_MS = 600;
/**
 * Interval at which the owner publishes an update even without changes of placement, with the loads that have
 * changed, in milliseconds.
 */
const PUBLISH_PERIOD_MS = 250;
/** Fraction of a backend's slots by which its load must change to be published again. */
const LOAD_TOLERANCE_SHARE = 1 / 6;

/**
 * A published forecast is published again only if it is off by more than this fraction of itself. The
 * decision whether a caller waits stays the same, and daemons receive only a fraction of the changes of a long queue.
 */
const FORECAST_TOLERANCE_SHARE = 0.15;

/** Options of {@link ServiceOwner}. */
export interface ServiceOwnerOptions {
  readonly service: string;
  readonly epoch: number;
  /** Name of this daemon in orders. */
  readonly holder: string;
  readonly host: () => ModelHostSpec | undefined;
  readonly directory: BackendDirectory;
  readonly control: BackendControl;
  readonly ceiling: StoreLoadCeiling;
  readonly policies: Policies;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Publishes an update to every daemon, including this one. */
  readonly publish: (update: PlacementUpdate) => void;
  /** Called with the address of a backend that has not answered an order or a request for a report. */
  readonly onNoAnswer: (address: string) => void;
  /** Whether this daemon still owns the service, according to its own state. */
  readonly isOwner: () => boolean;
  /** Milliseconds until an order may be sent; infinite if unknown. No orders are planned until then. */
  readonly orderDelayMs: () => number;
  /** Number of daemons that receive updates; each update costs one message per daemon. */
  readonly daemonCount: () => number;
}

/** Sends orders under one epoch until stopped. */
export class ServiceOwner {
  readonly demand: ModelDemand;
  private readonly planner = new PlacementPlanner();
  private readonly ledgers = new Map<string, BackendLedger>();
  private readonly reportDueAt = new Map<string, number>();
  private readonly lastReport = new Map<string, number>();
  private readonly storeLoads: StoreLoadWindow;
  private readonly storeLimit: StoreLoadLimit;
  private readonly loadWatch: LoadTracker;
  /** Learned speeds of the backends; undefined if all backends count as equally fast. */
  private readonly capacity: CapacityTracker | undefined;
  private readonly publisher: PlacementPublisher;
  private roundTimer: NodeJS.Timeout | undefined;
  private lastRound = -Infinity;
  private lastPublished = -Infinity;
  private changed = true;
  private failingNames = '';
  private stopped = false;

  /** @param onFenced - Called when a backend has refused an order because it has seen a higher epoch. */
  constructor(
    private readonly options: ServiceOwnerOptions,
    private readonly onFenced: () => void,
  ) {
    this.storeLoads = new StoreLoadWindow(options.ceiling);
    const { service, epoch, policies, logger, metrics } = options;
    this.demand = new ModelDemand(comparatorForPolicies(policies));
    this.storeLimit = policies.storeLoadLimit
      ? new AdaptiveStoreLoadLimit(this.startingStoreLoadLimit())
      : new UnlimitedStoreLoads();
    this.loadWatch = new LoadTracker({ service, epoch, limit: this.storeLimit, logger, metrics });
    const isListed = (backend: string): boolean => this.ledgers.has(backend);
    const watched = { service, epoch, logger, metrics, isListed };
    this.capacity = policies.learnedCapacity ? new CapacityTracker(watched) : undefined;
    this.publisher = new PlacementPublisher(
      options.service,
      options.epoch,
      policies.forecastAll ? FORECAST_TOLERANCE_SHARE : 0,
    );
  }

  /** The limit that the previous owner learned, or an initial estimate. */
  private startingStoreLoadLimit(): number {
    const { directory, service, host } = this.options;
    const learned = directory.storeLoadLimitOf(service);
    if (learned > 0) return learned;
    const spec = host();
    return spec === undefined ? 1 : initialStoreLoadLimit(spec);
  }

  /** Full update of everything published so far, for a daemon that missed an update. */
  fullUpdate(): PlacementUpdate {
    return this.publisher.fullUpdate(steadyNow());
  }

  /** Stops sending orders and updates. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.roundTimer);
  }

  /** Applies a daemon's demand report; waiting requests trigger a planning round. */
  applyDemand(report: DemandReport): void {
    this.demand.applyReport(report, steadyNow());
    this.capacity?.addReport(report, steadyNow());
    if (report.samples.some((sample) => sample.waiting > 0)) this.scheduleRound();
  }

  /** Handles a change of the platform's list of backends. */
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
      this.reportDueAt.delete(backend.id);
      this.changed = true;
    }
    this.scheduleRound();
  }

  /** Runs a planning round or publishes an update when due; must be called frequently. */
  tick(): void {
    const now = steadyNow();
    if (now - this.lastRound >= ROUND_PERIOD_MS) this.round();
    if (now - this.lastPublished >= PUBLISH_PERIOD_MS) this.publish(now);
  }

  /** Runs a round now or after the minimum pause since the last one; all triggers within the pause share one round. */
  private scheduleRound(): void {
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
    this.loadWatch.endFinished(this.ledgers, now);
    this.capacity?.recompute(now);
    this.logFailingBackends(now);
    this.checkSuspectHolders(now);
    this.readReports(now);
    const mayOrder = this.options.orderDelayMs() === 0;
    this.sendOrders(mayOrder ? this.planner.plan(this.planningInput(host, now)) : [], now);
    this.options.metrics.roundSeconds.observe((steadyNow() - now) / 1_000);
  }

  private sendOrders(orders: readonly PlannedOrder[], now: number): void {
    const sendable = orders.flatMap((planned) => {
      const ledger = this.ledgers.get(planned.backend);
      const backend = this.options.directory.get(planned.backend);
      return ledger === undefined || backend === undefined ? [] : [{ planned, ledger, backend }];
    });
    for (const { planned, ledger } of sendable) {
      if (planned.copy === 'store') this.storeLoads.count(now);
      ledger.recordSent(planned.order, now + planned.durationMs);
      this.loadWatch.begin(planned, now);
    }
    // Daemons must stop sending requests for a model before its unload is ordered.
    const unloads = sendable.some(({ planned }) => planned.order.operation === 'unload');
    if (this.changed || unloads) this.publish(now);
    for (const { planned, ledger, backend } of sendable)
      void this.sendOrder(planned, ledger, backend);
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
    const storeSlotWaits = this.storeSlotWaits(now);
    const { demand, options } = this;
    const { policies } = options;
    const { unloadTimes } = this.loadWatch;
    const capacity = this.capacity?.planningCapacity();
    const loads = { storeLoads, storeSlotWaitsMs: storeSlotWaits, unloadTimes };
    return { host, backends, demand, policies, now, ...loads, capacity };
  }

  /** Milliseconds until each slot for a load from the store is free; loads in progress beyond the limit free no slot. */
  private storeSlotWaits(now: number): number[] {
    const { maxConcurrent: limit } = this.storeLimit;
    if (!Number.isFinite(limit)) return [0];
    const ends = this.loadWatch.storeLoadEnds(now).sort((a, b) => a - b);
    const excess = Math.max(0, ends.length - limit);
    const free = Math.max(0, limit - ends.length);
    return [...Array<number>(free).fill(0), ...ends.slice(excess).map((end) => Math.max(1, end))];
  }

  private backends(): BackendRecord[] {
    const { directory, service } = this.options;
    return directory.all().filter((backend) => backend.service === service);
  }

  /** Creates a ledger for each listed backend process and removes the ledgers of processes that are no longer listed. */
  private syncLedgers(now: number): void {
    const listed = new Set<string>();
    for (const backend of this.backends()) {
      listed.add(backend.id);
      const known = this.ledgers.get(backend.id);
      if (known === undefined) this.createLedger(backend, now);
      else if (isDifferentStart(known, backend)) this.restartLedger(known, backend, now);
      else {
        known.start ??= backend.start;
        known.releaseExpiredOrders(now);
      }
    }
    for (const id of this.ledgers.keys()) {
      if (listed.has(id)) continue;
      this.ledgers.delete(id);
      this.reportDueAt.delete(id);
      this.lastReport.delete(id);
      this.capacity?.forget(id);
      this.changed = true;
    }
  }

  private createLedger(backend: BackendRecord, now: number): BackendLedger {
    const ledger = new BackendLedger(backend.id, backend.start);
    ledger.seedFromListing(backend);
    const loading = this.options.directory.expectedLoadAt(backend, now);
    if (loading !== undefined) ledger.seedLoad(loading.model, loading.expectedEnd);
    this.ledgers.set(backend.id, ledger);
    this.reportDueAt.set(backend.id, 0);
    this.changed = true;
    return ledger;
  }

  /**
   * Discards the orders, responses and reports of a backend's earlier process, and reserves memory for its
   * unanswered orders that may still arrive.
   */
  private restartLedger(earlier: BackendLedger, backend: BackendRecord, now: number): void {
    const { id } = backend;
    this.lastReport.delete(id);
    this.loadWatch.backendRestarted(id, now);
    this.demand.removeBackend(id);
    this.capacity?.forget(id);
    const lateOrders = earlier.unansweredOrders(now);
    this.createLedger(backend, now).reserveForLateOrders(lateOrders);
    const { service, epoch, logger } = this.options;
    logger.info('backend_ledger_restarted', {
      service,
      epoch,
      backend: id,
      start: backend.start,
      earlierSequence: earlier.sequence,
      lateOrders: lateOrders.length,
    });
  }

  /** Requests reports from backends for whose loaded models requests wait, to find out whether they still respond. */
  private checkSuspectHolders(now: number): void {
    const awaitedModels = this.demand.modelsWaitingFor(SUSPECT_AFTER_MS, now);
    if (awaitedModels.size === 0) return;
    for (const ledger of this.ledgers.values()) {
      if (ledger.phase !== 'ready' || this.reportDueAt.has(ledger.id)) continue;
      const holds = [...ledger.models.keys()].some((model) => awaitedModels.has(model));
      const isRecent =
        now - (this.lastReport.get(ledger.id) ?? -Infinity) < SUSPECT_REPORT_PERIOD_MS;
      if (holds && !isRecent) this.reportDueAt.set(ledger.id, now);
    }
  }

  private readReports(now: number): void {
    for (const backend of this.backends()) {
      const ledger = this.ledgers.get(backend.id);
      const due = this.reportDueAt.get(backend.id);
      if (ledger === undefined || due === undefined || due > now) continue;
      if (ledger.phase === 'ordering') continue;
      this.reportDueAt.delete(backend.id);
      this.lastReport.set(backend.id, now);
      void this.readReport(backend, ledger);
    }
  }

  private async readReport(backend: BackendRecord, ledger: BackendLedger): Promise<void> {
    const report = await this.options.control.report(backend);
    if (report === undefined) this.options.onNoAnswer(backend.address);
    const now = steadyNow();
    if (this.stopped || this.ledgers.get(backend.id) !== ledger) return;
    if (ledger.phase === 'ordering') {
      this.reportDueAt.set(backend.id, now + REPORT_LAG_MS);
      return;
    }
    this.setUnresponsive(ledger, report === undefined);
    const current = report !== undefined && ledger.applyReport(report, now);
    const isReportNeeded = !current || ledger.loadingAdapters.size > 0;
    if (isReportNeeded) this.reportDueAt.set(backend.id, now + REPORT_PERIOD_MS);
    this.changed = true;
    if (current || ledger.isUnresponsive) this.scheduleRound();
  }

  /** Logs changes of the set of backends that daemons report as failing; planning leaves these out. */
  private logFailingBackends(now: number): void {
    const failing = this.demand.failingBackends(this.backends().length, now);
    const names = [...failing].sort().join(',');
    if (names === this.failingNames) return;
    this.failingNames = names;
    const { service, epoch, logger } = this.options;
    logger.warn('backends_failing', { service, epoch, backends: names });
  }

  private setUnresponsive(ledger: BackendLedger, isSilent: boolean): void {
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

  private async sendOrder(
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
    if (outcome.type === 'unknown') options.onNoAnswer(backend.address);
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
    this.reportDueAt.set(backend.id, now + this.reportDelay(planned, ledger));
    if (outcome.type === 'fenced') return this.onFenced();
    this.changed = true;
    this.scheduleRound();
  }

  private reportDelay(planned: PlannedOrder, ledger: BackendLedger): number {
    if (ledger.phase === 'unsynchronized') return REPORT_LAG_MS;
    const isAdapter = planned.order.adapter !== undefined;
    // The platform's list shows changes of models immediately; the report covers a lost notification.
    return isAdapter ? planned.durationMs + 70 : planned.durationMs * 1.5 + REPORT_LAG_MS;
  }

  private publish(now: number): void {
    if (this.stopped) return;
    this.changed = false;
    const host = this.options.host();
    const backends = new Map<string, KnownPlacement[]>();
    for (const ledger of this.ledgers.values()) {
      if (ledger.phase === 'unsynchronized' && ledger.models.size === 0) continue;
      // Requests must not wait for models on an unresponsive backend.
      backends.set(ledger.id, ledger.isUnresponsive ? [] : placementOf(ledger, now));
    }
    const forecasts = host === undefined ? new Map<string, number>() : this.forecasts(host, now);
    const loads = new Map<string, number>();
    for (const id of this.ledgers.keys()) loads.set(id, this.demand.inFlightAt(id, now));
    const loadTolerance = Math.max(1, (host?.slots ?? 1) * LOAD_TOLERANCE_SHARE);
    const { maxConcurrent: limit } = this.storeLimit;
    const storeLoadLimit = Number.isFinite(limit) ? limit : 0;
    const capacity = this.capacity?.figures;
    const state = { backends, forecasts, loads, storeLoadLimit, loadTolerance, capacity };
    const update = this.publisher.nextUpdate(state, now);
    const isNew = update.version !== update.baseVersion;
    if (!isNew && now - this.lastPublished < PUBLISH_PERIOD_MS) return;
    this.lastPublished = now;
    this.options.publish(update);
  }

  /** Expected steady times at which models that no backend has loaded will be loaded. */
  private forecasts(host: ModelHostSpec, now: number): Map<string, number> {
    const delayMs = this.options.orderDelayMs();
    // Requests must not wait for a load whose order has an unknown delay.
    if (!Number.isFinite(delayMs)) return new Map();
    const forecasts = this.planner.forecasts(this.planningInput(host, now));
    return new Map([...forecasts].map(([model, readyInMs]) => [model, now + delayMs + readyInMs]));
  }
}

/** The models of one backend, in the form that is published to every daemon. */
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
