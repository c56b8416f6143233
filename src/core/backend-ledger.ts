/**
 * What the owner of a service knows about one backend's models.
 *
 * Memory is safe by construction: an order carries the sequence at which its
 * room was worked out, and the backend takes it only at that sequence. An order
 * without an answer may still be taken later, but only if no other order has
 * been taken in between; so the next order, given at the same sequence, and a
 * late one exclude each other. Pure.
 */
import type { BackendReport, ModelOrder, OrderOutcome } from './model-order.js';
import type {
  BackendRecord,
  ModelHostSpec,
  ModelReference,
  ModelSpec,
} from './service-configuration.js';

/** After this time without an order in progress a report shows all that has been done. */
const SETTLED_MS = 400;
/** An order that got no answer is not carried out later than this: the wire holds nothing back for longer. */
const LATE_ORDER_MS = 10_000;

/** A loaded model. */
export interface LedgerModel {
  readonly adapters: Set<string>;
  /** When its load ended here; never if it was found loaded. */
  readonly loadedAt: number;
}

/** An order that the backend carries out. */
export interface RunningOrder {
  readonly order: ModelOrder;
  /** Milliseconds of a steady clock at which it is expected to end. */
  readonly expectedEnd: number;
  /** Sequence of the backend once it was taken. */
  readonly sequence: number;
}

/** An order without an answer: the backend may still take it, if it has taken exactly so many orders then. */
export interface UnansweredOrder {
  readonly order: ModelOrder;
  readonly sequence: number;
  /** Milliseconds of a steady clock after which it is not taken any more. */
  readonly until: number;
}

/** How far the ledger can be trusted. */
export type LedgerPhase =
  /** A report must be read before the next order. */
  | 'unsynchronized'
  /** Orders may be given. */
  | 'ready'
  /** An order has been sent; its answer is awaited. */
  | 'ordering';

/** One backend's models, orders and copies. */
export class BackendLedger {
  phase: LedgerPhase = 'unsynchronized';
  /** Orders that the backend has taken. */
  sequence = 0;
  readonly models = new Map<string, LedgerModel>();
  /** The order that has been sent and not been answered. */
  sent: ModelOrder | undefined;
  /** When the order that was sent is expected to be carried out. */
  private sentExpectedEnd = 0;
  /** The model order in progress; adapters do not keep the backend from others. */
  running: RunningOrder | undefined;
  readonly comingAdapters = new Map<string, RunningOrder>();
  inMemory: ReadonlySet<string> = new Set();
  onDisk: ReadonlySet<string> = new Set();
  /** Since when reports have told of the same sequence and of no order in progress. */
  private calm: { readonly sequence: number; readonly since: number } | undefined;
  /** It has not answered when asked: what it holds does not count for callers. */
  isSilent = false;
  /** Orders of this start that got no answer. Its own sequence keeps them apart from later ones. */
  private unanswered: UnansweredOrder[] = [];
  /**
   * Orders to the backend's earlier start that may reach this one. Its sequence begins anew and may come to
   * theirs, so room is kept for them until it has passed that, or they are too old.
   */
  private lateOrders: readonly UnansweredOrder[] = [];

  /** @param start - Which start of the backend this is; undefined if nobody has told. */
  constructor(
    readonly id: string,
    public start: string | undefined = undefined,
  ) {}

  /** Orders that got no answer, the one among them that is on its way. */
  unansweredOrders(now: number): UnansweredOrder[] {
    const { sent, sequence } = this;
    const onItsWay = sent && { order: sent, sequence, until: now + LATE_ORDER_MS };
    const all = [...this.lateOrders, ...this.unanswered, ...(onItsWay ? [onItsWay] : [])];
    return all.filter(({ until }) => until > now);
  }

  /** Keeps room for orders that the backend's earlier start has not answered. */
  awaitLateOrders(orders: readonly UnansweredOrder[]): void {
    this.lateOrders = orders;
  }

  /** Lets go of the room for orders that are not taken any more. */
  forgetLateOrders(now: number): void {
    const mayCome = (late: UnansweredOrder): boolean => late.until > now;
    this.unanswered = this.unanswered.filter(mayCome);
    this.lateOrders = this.lateOrders.filter(mayCome);
  }

  /** Loads that the backend may still be given by its earlier start's orders, of models or of adapters. */
  private lateLoads(): ModelOrder[] {
    const mayCome = this.lateOrders.filter(({ sequence }) => sequence >= this.sequence);
    return mayCome.map(({ order }) => order).filter(({ operation }) => operation === 'load');
  }

  /** The order that changes the models now: sent, or in progress. */
  get currentOrder(): ModelOrder | undefined {
    return this.sent ?? this.running?.order;
  }

  /** When the order that changes the models now is expected to be carried out; 0 if there is none. */
  get expectedEnd(): number {
    return this.sent === undefined ? (this.running?.expectedEnd ?? 0) : this.sentExpectedEnd;
  }

  /** Whether an order for a model may be given now. */
  get takesModelOrder(): boolean {
    return this.phase === 'ready' && this.running === undefined && this.comingAdapters.size === 0;
  }

  /** Whether an order for an adapter may be given now. */
  get takesAdapterOrder(): boolean {
    return this.phase === 'ready' && this.running === undefined;
  }

  /**
   * Takes over a report. Returns false while it does not show the whole state: a
   * report may say that an order has ended before its models show the effect.
   */
  adopt(report: BackendReport, now: number): boolean {
    if (report.sequence < this.sequence) return false;
    const isSettled = this.isSettled(report, now);
    if (!isSettled && !this.showsEffect(report)) return false;
    this.sequence = report.sequence;
    this.setModels(report, now);
    this.setCopies(report.inMemory, report.onDisk);
    this.dropArrivedAdapters(report, now);
    this.running = undefined;
    this.phase = 'ready';
    return true;
  }

  /** Whether the backend has told for a time that it has taken nothing new and does nothing. */
  private isSettled(report: BackendReport, now: number): boolean {
    if (report.busy) {
      this.calm = undefined;
      return false;
    }
    if (this.calm?.sequence !== report.sequence) {
      this.calm = { sequence: report.sequence, since: now };
    }
    return now - this.calm.since >= SETTLED_MS;
  }

  /** Whether the report shows the end of the order in progress, and nothing unknown before it. */
  private showsEffect(report: BackendReport): boolean {
    const running = this.running;
    if (report.busy || this.phase !== 'ready' || report.sequence !== this.sequence) return false;
    if (running === undefined) return true;
    const { model, operation } = running.order;
    const isListed = report.models.some((listed) => listed.name === model);
    return isListed === (operation === 'load');
  }

  /** An adapter that is no longer on its way counts until it is listed, or must have failed. */
  private dropArrivedAdapters(report: BackendReport, now: number): void {
    for (const [key, coming] of this.comingAdapters) {
      const { model, adapter = '' } = coming.order;
      const isListed = this.models.get(model)?.adapters.has(adapter) === true;
      const isComing = report.coming.some((reference) => adapterKey(reference) === key);
      const isOverdue = now - coming.expectedEnd >= SETTLED_MS;
      if (isListed || (!isComing && isOverdue)) this.comingAdapters.delete(key);
    }
  }

  /** Takes the end of the order in progress from the platform's list; false if it shows none. */
  observe(record: BackendRecord, now: number): boolean {
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

  /** Believes the platform's list until a report has been read; no order rests on it. */
  assume(record: BackendRecord): void {
    for (const { name, adapters } of record.models) {
      this.models.set(name, { adapters: new Set(adapters), loadedAt: -Infinity });
    }
    this.setCopies(record.inMemory, record.onDisk);
  }

  /** Believes a former owner's word on the load in progress until a report has been read; no order rests on it. */
  assumeLoading(model: string, expectedEnd: number): void {
    if (this.phase !== 'unsynchronized' || this.models.has(model)) return;
    const order: ModelOrder = { operation: 'load', model, adapter: undefined };
    this.running = { order, expectedEnd, sequence: this.sequence };
  }

  /** Updates where copies are at hand. */
  setCopies(inMemory: readonly string[], onDisk: readonly string[]): void {
    this.inMemory = new Set(inMemory);
    this.onDisk = new Set(onDisk);
  }

  /** Notes that an order is being sent that is expected to be carried out by `expectedEnd`. */
  send(order: ModelOrder, expectedEnd = 0): void {
    this.phase = 'ordering';
    this.sent = order;
    this.sentExpectedEnd = expectedEnd;
  }

  /** Notes the end of an order call. */
  settle(order: ModelOrder, outcome: OrderOutcome, now: number, durationMs: number): void {
    this.sent = undefined;
    switch (outcome.type) {
      case 'accepted':
        this.phase = 'ready';
        this.sequence += 1;
        this.begin(order, now + durationMs);
        return;
      case 'holds':
        this.phase = 'ready';
        this.holds(order, now);
        return;
      case 'unknown':
        this.unanswered.push({ order, sequence: this.sequence, until: now + LATE_ORDER_MS });
        this.phase = 'unsynchronized';
        return;
      case 'conflict':
      case 'fenced':
      case 'rejected':
        this.phase = 'unsynchronized';
        return;
    }
  }

  /** Megabytes taken, adapters and what is on its way included. */
  usedMegabytes(host: ModelHostSpec): number {
    let used = 0;
    for (const [name, model] of this.models) {
      const spec = modelSpec(host, name);
      used += spec?.megabytes ?? host.megabytes;
      used += model.adapters.size * (spec?.adapterMegabytes ?? 0);
    }
    for (const coming of this.comingAdapters.values()) {
      used += modelSpec(host, coming.order.model)?.adapterMegabytes ?? 0;
    }
    const loading = this.running?.order;
    if (loading?.operation === 'load') used += modelSpec(host, loading.model)?.megabytes ?? 0;
    for (const late of this.lateLoads()) used += loadMegabytes(host, late);
    return used;
  }

  /** Adapters that take a slot. */
  usedAdapterSlots(): number {
    let used = this.comingAdapters.size;
    used += this.lateLoads().filter(({ adapter }) => adapter !== undefined).length;
    for (const model of this.models.values()) used += model.adapters.size;
    return used;
  }

  private begin(order: ModelOrder, expectedEnd: number): void {
    const running: RunningOrder = { order, expectedEnd, sequence: this.sequence };
    if (order.adapter === undefined) {
      this.running = running;
    } else if (order.operation === 'load') {
      this.comingAdapters.set(adapterKey(order), running);
    } else {
      this.models.get(order.model)?.adapters.delete(order.adapter);
    }
  }

  /** The order was needless, or was carried out at once. */
  private holds(order: ModelOrder, now: number): void {
    if (order.operation === 'load') {
      const model = this.models.get(order.model);
      if (order.adapter !== undefined) model?.adapters.add(order.adapter);
      else if (model === undefined) {
        this.models.set(order.model, { adapters: new Set(), loadedAt: now });
      }
      return;
    }
    // An adapter that nobody uses goes at once, which counts as an order taken.
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
    // A report may not show yet what the platform's list has shown.
    for (const [name, model] of before) {
      if (now - model.loadedAt < SETTLED_MS && !this.models.has(name)) this.models.set(name, model);
    }
  }
}

/** What a load takes, of a model or of an adapter. */
function loadMegabytes(host: ModelHostSpec, { model, adapter }: ModelReference): number {
  const spec = modelSpec(host, model);
  return (adapter === undefined ? spec?.megabytes : spec?.adapterMegabytes) ?? 0;
}

/** The specification of a model. */
export function modelSpec(host: ModelHostSpec, name: string): ModelSpec | undefined {
  return catalogueOf(host).get(name)?.spec;
}

/** Place of a model in the operator's list, from 0; the list's length for one that it lacks. */
export function modelRank(host: ModelHostSpec, name: string): number {
  return catalogueOf(host).get(name)?.rank ?? host.models.length;
}

interface CatalogueEntry {
  readonly spec: ModelSpec;
  readonly rank: number;
}

/** By name; a host's specification never changes, so its catalogue is made once. */
const catalogues = new WeakMap<ModelHostSpec, ReadonlyMap<string, CatalogueEntry>>();

function catalogueOf(host: ModelHostSpec): ReadonlyMap<string, CatalogueEntry> {
  const known = catalogues.get(host);
  if (known !== undefined) return known;
  const made = new Map(host.models.map((spec, rank) => [spec.name, { spec, rank }]));
  catalogues.set(host, made);
  return made;
}

/** A text that names an adapter of a model. */
export function adapterKey(reference: ModelReference): string {
  return `${reference.model}/${reference.adapter ?? ''}`;
}

/** Whether an order loads the model itself. */
export function isLoadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'load' && order.model === model && order.adapter === undefined;
}

/** Whether an order unloads the model itself. */
export function isUnloadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'unload' && order.model === model && order.adapter === undefined;
}
