/**
 * The owner's record of one backend's models and of the load and unload orders sent to it.
 *
 * Orders cannot overcommit the backend's memory: an order carries the sequence number for which its
 * memory demand was computed, and the backend accepts it only at that sequence number. An unanswered
 * order may still be accepted later, but only if the backend has accepted no other order in between.
 * Therefore at most one of a delayed order and the next order, which has the same sequence number, is
 * accepted. No I/O.
 */
import type { BackendReport, ModelOrder, OrderOutcome } from './model-order.js';
import type {
  BackendRecord,
  ModelHostSpec,
  ModelReference,
  ModelSpec,
} from './service-configuration.js';

/** Once no order has been in progress for this long, a report shows the effects of all earlier orders. */
const REPORT_SETTLE_MS = 400;
/** An unanswered order is not carried out after this time: the network delays nothing for longer. */
const MAX_ORDER_DELAY_MS = 10_000;

/** A loaded model. */
export interface LedgerModel {
  readonly adapters: Set<string>;
  /** Time at which this owner saw the load finish; `-Infinity` if the model was already loaded. */
  readonly loadedAt: number;
}

/** An order that the backend has accepted and is carrying out. */
export interface RunningOrder {
  readonly order: ModelOrder;
  /** Expected completion time, in milliseconds of a monotonic clock. */
  readonly expectedEnd: number;
  /** The backend's sequence number after it accepted the order. */
  readonly sequence: number;
}

/** An unanswered order. The backend may still accept it while its own sequence number equals `sequence`. */
export interface UnansweredOrder {
  readonly order: ModelOrder;
  readonly sequence: number;
  /** Time after which the order can no longer be accepted, in milliseconds of a monotonic clock. */
  readonly until: number;
}

/** Whether the ledger is up to date and the next order may be sent. */
export type LedgerPhase =
  /** A report must be applied before the next order. */
  | 'unsynchronized'
  /** The next order may be sent. */
  | 'ready'
  /** An order has been sent and its response is pending. */
  | 'ordering';

/** Models, orders and stored model copies of one backend. */
export class BackendLedger {
  phase: LedgerPhase = 'unsynchronized';
  /** Number of orders that the backend has accepted. */
  sequence = 0;
  readonly models = new Map<string, LedgerModel>();
  /** The order that was sent and whose response is pending. */
  sent: ModelOrder | undefined;
  /** Expected completion time of the sent order. */
  private sentExpectedEnd = 0;
  /** The model order in progress. Adapter orders are tracked separately because they do not block other orders. */
  running: RunningOrder | undefined;
  readonly loadingAdapters = new Map<string, RunningOrder>();
  inMemory: ReadonlySet<string> = new Set();
  onDisk: ReadonlySet<string> = new Set();
  /** Period during which all reports showed the same sequence number and no order in progress. */
  private idlePeriod: { readonly sequence: number; readonly since: number } | undefined;
  /** The backend did not respond to the last query, so its models are not offered to callers. */
  isUnresponsive = false;
  /** Unanswered orders to the current process. The backend rejects them by their sequence number once it has accepted a later order. */
  private unanswered: UnansweredOrder[] = [];
  /**
   * Unanswered orders to the backend's previous process that may still reach the current one. The sequence
   * number restarts with the process and may reach the number of such an order, so memory is reserved for
   * the order until the sequence number has passed it or the order has expired.
   */
  private lateOrders: readonly UnansweredOrder[] = [];

  /** @param start - Identifies the backend's process across restarts; undefined if unknown. */
  constructor(
    readonly id: string,
    public start: string | undefined = undefined,
  ) {}

  /** Returns the unanswered orders that may still be accepted, including the one that was just sent. */
  unansweredOrders(now: number): UnansweredOrder[] {
    const { sent, sequence } = this;
    const inTransit = sent && { order: sent, sequence, until: now + MAX_ORDER_DELAY_MS };
    const all = [...this.lateOrders, ...this.unanswered, ...(inTransit ? [inTransit] : [])];
    return all.filter(({ until }) => until > now);
  }

  /** Reserves memory for unanswered orders to the backend's previous process. */
  reserveForLateOrders(orders: readonly UnansweredOrder[]): void {
    this.lateOrders = orders;
  }

  /** Releases the memory reserved for orders that can no longer be accepted. */
  releaseExpiredOrders(now: number): void {
    const mayArrive = (late: UnansweredOrder): boolean => late.until > now;
    this.unanswered = this.unanswered.filter(mayArrive);
    this.lateOrders = this.lateOrders.filter(mayArrive);
  }

  /** Load orders, for models or adapters, to the previous process that the current one may still accept. */
  private lateLoads(): ModelOrder[] {
    const acceptable = this.lateOrders.filter(({ sequence }) => sequence >= this.sequence);
    return acceptable.map(({ order }) => order).filter(({ operation }) => operation === 'load');
  }

  /** The order that is sent or in progress. */
  get currentOrder(): ModelOrder | undefined {
    return this.sent ?? this.running?.order;
  }

  /** Expected completion time of the current order; 0 if there is none. */
  get expectedEnd(): number {
    return this.sent === undefined ? (this.running?.expectedEnd ?? 0) : this.sentExpectedEnd;
  }

  /** Whether a model order may be sent now. */
  get canSendModelOrder(): boolean {
    return this.phase === 'ready' && this.running === undefined && this.loadingAdapters.size === 0;
  }

  /** Whether an adapter order may be sent now. */
  get canSendAdapterOrder(): boolean {
    return this.phase === 'ready' && this.running === undefined;
  }

  /**
   * Applies a report. Returns false if the report is outdated or does not yet show the whole state: a
   * report may show that an order has finished before its model list shows the effect.
   */
  applyReport(report: BackendReport, now: number): boolean {
    if (report.sequence < this.sequence) return false;
    const isSettled = this.isSettled(report, now);
    if (!isSettled && !this.showsEffect(report)) return false;
    this.sequence = report.sequence;
    this.setModels(report, now);
    this.setCopies(report.inMemory, report.onDisk);
    this.dropFinishedAdapters(report, now);
    this.running = undefined;
    this.phase = 'ready';
    return true;
  }

  /** Whether reports have shown an idle backend and an unchanged sequence number for long enough. */
  private isSettled(report: BackendReport, now: number): boolean {
    if (report.busy) {
      this.idlePeriod = undefined;
      return false;
    }
    if (this.idlePeriod?.sequence !== report.sequence) {
      this.idlePeriod = { sequence: report.sequence, since: now };
    }
    return now - this.idlePeriod.since >= REPORT_SETTLE_MS;
  }

  /** Whether the report shows the effect of the order in progress and no orders unknown to the ledger. */
  private showsEffect(report: BackendReport): boolean {
    const running = this.running;
    if (report.busy || this.phase !== 'ready' || report.sequence !== this.sequence) return false;
    if (running === undefined) return true;
    const { model, operation } = running.order;
    const isListed = report.models.some((listed) => listed.name === model);
    return isListed === (operation === 'load');
  }

  /** Drops pending adapters that are loaded, or that are overdue and no longer loading and so must have failed. */
  private dropFinishedAdapters(report: BackendReport, now: number): void {
    for (const [key, pending] of this.loadingAdapters) {
      const { model, adapter = '' } = pending.order;
      const isListed = this.models.get(model)?.adapters.has(adapter) === true;
      const isLoading = report.coming.some((reference) => adapterKey(reference) === key);
      const isOverdue = now - pending.expectedEnd >= REPORT_SETTLE_MS;
      if (isListed || (!isLoading && isOverdue)) this.loadingAdapters.delete(key);
    }
  }

  /** Completes the order in progress if the platform's list shows its effect; returns false otherwise. */
  applyListing(record: BackendRecord, now: number): boolean {
    const running = this.running;
    if (running === undefined || this.phase !== 'ready') return false;
    if (record.sequence < running.sequence) return false;
    const { model, operation } = running.order;
    const isListed = record.models.some((listed) => listed.name === model);
    if (isListed !== (operation === 'load')) return false;
    this.running = undefined;
    if (operation === 'load') this.models.set(model, { adapters: new Set(), loadedAt: now });
    else this.models.delete(model);
    return true;
  }

  /** Fills in the platform's list until a report has been applied. No order is based on it. */
  seedFromListing(record: BackendRecord): void {
    for (const { name, adapters } of record.models) {
      this.models.set(name, { adapters: new Set(adapters), loadedAt: -Infinity });
    }
    this.setCopies(record.inMemory, record.onDisk);
  }

  /** Fills in the previous owner's load in progress until a report has been applied. No order is based on it. */
  seedLoad(model: string, expectedEnd: number): void {
    if (this.phase !== 'unsynchronized' || this.models.has(model)) return;
    const order: ModelOrder = { operation: 'load', model, adapter: undefined };
    this.running = { order, expectedEnd, sequence: this.sequence };
  }

  /** Sets which models the backend has copies of in host memory and on disk. */
  setCopies(inMemory: readonly string[], onDisk: readonly string[]): void {
    this.inMemory = new Set(inMemory);
    this.onDisk = new Set(onDisk);
  }

  /** Records that an order is being sent. @param expectedEnd - Expected completion time. */
  recordSent(order: ModelOrder, expectedEnd = 0): void {
    this.phase = 'ordering';
    this.sent = order;
    this.sentExpectedEnd = expectedEnd;
  }

  /** Records the result of an order call. */
  recordOutcome(order: ModelOrder, outcome: OrderOutcome, now: number, durationMs: number): void {
    this.sent = undefined;
    switch (outcome.type) {
      case 'accepted':
        this.phase = 'ready';
        this.sequence += 1;
        this.startOrder(order, now + durationMs);
        return;
      case 'holds':
        this.phase = 'ready';
        this.recordImmediate(order, now);
        return;
      case 'unknown':
        this.unanswered.push({ order, sequence: this.sequence, until: now + MAX_ORDER_DELAY_MS });
        this.phase = 'unsynchronized';
        return;
      case 'conflict':
      case 'fenced':
      case 'rejected':
        this.phase = 'unsynchronized';
        return;
    }
  }

  /** Megabytes in use, including adapters, loads in progress and orders that may still be accepted. */
  usedMegabytes(host: ModelHostSpec): number {
    let used = 0;
    for (const [name, model] of this.models) {
      const spec = modelSpec(host, name);
      used += spec?.megabytes ?? host.megabytes;
      used += model.adapters.size * (spec?.adapterMegabytes ?? 0);
    }
    for (const pending of this.loadingAdapters.values()) {
      used += modelSpec(host, pending.order.model)?.adapterMegabytes ?? 0;
    }
    const loading = this.running?.order;
    if (loading?.operation === 'load') used += modelSpec(host, loading.model)?.megabytes ?? 0;
    for (const late of this.lateLoads()) used += loadMegabytes(host, late);
    return used;
  }

  /** Number of adapter slots in use, including loads in progress and orders that may still be accepted. */
  usedAdapterSlots(): number {
    let used = this.loadingAdapters.size;
    used += this.lateLoads().filter(({ adapter }) => adapter !== undefined).length;
    for (const model of this.models.values()) used += model.adapters.size;
    return used;
  }

  private startOrder(order: ModelOrder, expectedEnd: number): void {
    const running: RunningOrder = { order, expectedEnd, sequence: this.sequence };
    if (order.adapter === undefined) {
      this.running = running;
    } else if (order.operation === 'load') {
      this.loadingAdapters.set(adapterKey(order), running);
    } else {
      this.models.get(order.model)?.adapters.delete(order.adapter);
    }
  }

  /** Records an order that was unnecessary or was carried out immediately. */
  private recordImmediate(order: ModelOrder, now: number): void {
    if (order.operation === 'load') {
      const model = this.models.get(order.model);
      if (order.adapter !== undefined) model?.adapters.add(order.adapter);
      else if (model === undefined) {
        this.models.set(order.model, { adapters: new Set(), loadedAt: now });
      }
      return;
    }
    // An adapter without running requests is unloaded immediately, which counts as an accepted order.
    this.sequence += 1;
    if (order.adapter === undefined) this.models.delete(order.model);
    else this.models.get(order.model)?.adapters.delete(order.adapter);
  }

  private setModels(report: BackendReport, now: number): void {
    const before = new Map(this.models);
    const loading = this.running?.order;
    this.models.clear();
    for (const { name, adapters } of report.models) {
      const isLoaded = loading !== undefined && isLoadOf(loading, name);
      const loadedAt = before.get(name)?.loadedAt ?? (isLoaded ? now : -Infinity);
      this.models.set(name, { adapters: new Set(adapters), loadedAt });
    }
    // A report may lag behind the platform's list and not show a model that was loaded a moment ago.
    for (const [name, model] of before) {
      if (now - model.loadedAt < REPORT_SETTLE_MS && !this.models.has(name))
        this.models.set(name, model);
    }
  }
}

/** Megabytes that a load of a model or an adapter needs. */
function loadMegabytes(host: ModelHostSpec, { model, adapter }: ModelReference): number {
  const spec = modelSpec(host, model);
  return (adapter === undefined ? spec?.megabytes : spec?.adapterMegabytes) ?? 0;
}

/** Returns a model's specification, or undefined if the host's configuration lacks the model. */
export function modelSpec(host: ModelHostSpec, name: string): ModelSpec | undefined {
  return catalogueOf(host).get(name)?.spec;
}

/** Zero-based position of a model in the operator's list; the list's length if the model is not in it. */
export function modelRank(host: ModelHostSpec, name: string): number {
  return catalogueOf(host).get(name)?.rank ?? host.models.length;
}

interface CatalogueEntry {
  readonly spec: ModelSpec;
  readonly rank: number;
}

/** Model specifications by name. A host's specification never changes, so each catalogue is built once. */
const catalogues = new WeakMap<ModelHostSpec, ReadonlyMap<string, CatalogueEntry>>();

function catalogueOf(host: ModelHostSpec): ReadonlyMap<string, CatalogueEntry> {
  const known = catalogues.get(host);
  if (known !== undefined) return known;
  const catalogue = new Map(host.models.map((spec, rank) => [spec.name, { spec, rank }]));
  catalogues.set(host, catalogue);
  return catalogue;
}

/** Key that identifies an adapter of a model. */
export function adapterKey(reference: ModelReference): string {
  return `${reference.model}/${reference.adapter ?? ''}`;
}

/** Whether an order loads the model itself rather than one of its adapters. */
export function isLoadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'load' && order.model === model && order.adapter === undefined;
}

/** Whether an order unloads the model itself rather than one of its adapters. */
export function isUnloadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'unload' && order.model === model && order.adapter === undefined;
}
