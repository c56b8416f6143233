/**
 * Decides which orders the owner of a service gives next: loads for waiting
 * requests at the backend where they cost least, second copies of models in
 * urgent demand, and unloads that make room. Pure; times are milliseconds of a
 * steady clock.
 */
import { adapterKey, modelSpec, type BackendLedger } from './backend-ledger.js';
import type { DemandSample, ModelDemand } from './model-demand.js';
import type { ModelOrder } from './model-order.js';
import type { ModelHostSpec, ModelReference, ModelSpec } from './service-configuration.js';

/** A backend that may be given orders. */
export interface PlanningBackend {
  readonly ledger: BackendLedger;
  readonly slots: number;
}

/** An order to give. */
export interface PlannedOrder {
  readonly backend: string;
  readonly order: ModelOrder;
  /** Expected time until it is carried out. */
  readonly durationMs: number;
  /** The load comes from the weight store. */
  readonly fromStore: boolean;
  /** Why, for the log. */
  readonly reason: string;
}

/** What the planner decides on. */
export interface PlanningInput {
  readonly host: ModelHostSpec;
  readonly backends: readonly PlanningBackend[];
  readonly demand: ModelDemand;
  readonly now: number;
  /** Whether one more load from the weight store may begin. */
  readonly storeHasRoom: boolean;
}

/** Time of an unload without running requests. */
const UNLOAD_MS = 300;
/** Expected time until a running request has ended. */
const RUNNING_REQUEST_MS = 1_500;
/** Expected time of an adapter's load. */
export const ADAPTER_LOAD_MS = 60;
/** Adapters that may be on their way to one backend. */
const MOST_COMING_ADAPTERS = 4;
/** Cost in milliseconds of one request a second in urgent demand that loses a copy. */
const URGENT_WORTH = 4_000;
const PATIENT_WORTH = 400;
/** Worth of the model that operators list first; they list their busiest first. */
const LISTED_FIRST_WORTH = 600;
/** Cost of a load from the store, besides its time: it is priced and rationed. */
const STORE_LOAD_COST = 1_000;
/** Urgent requests a second for which a model gets a second and a third copy. */
const SECOND_COPY_RATE = 0.25;
const THIRD_COPY_RATE = 1.5;
/** A further copy must be worth so much more than what makes way for it. */
const COPY_MARGIN = 2;

/** Plans for one service; remembers which backend makes room for which model. */
export class PlacementPlanner {
  /** Model to the backend that makes room for it. */
  private readonly reservations = new Map<string, string>();

  /** Orders to give now, at most one for each backend. */
  plan(input: PlanningInput): PlannedOrder[] {
    const round = new PlanningRound(input, this.reservations);
    this.dropReservations(input);
    for (const wanted of input.demand.waiting(input.now)) {
      if (wanted.adapter === undefined) round.load(wanted, 'waiting requests');
      else round.loadAdapter(wanted);
    }
    round.addCopies();
    return round.orders;
  }

  /** Milliseconds until a model that nobody holds is expected to be loaded. */
  forecasts(input: PlanningInput): Map<string, number> {
    const round = new PlanningRound(input, this.reservations);
    const times = new Map<string, number>();
    for (const spec of input.host.models) {
      if (round.isHeldOrComing(spec.name)) continue;
      const cheapest = round.cheapestPlace(spec, true);
      if (cheapest !== undefined) times.set(spec.name, Math.round(cheapest.readyInMs));
    }
    return times;
  }

  private dropReservations(input: PlanningInput): void {
    const byId = new Map(input.backends.map((backend) => [backend.ledger.id, backend.ledger]));
    for (const [model, backend] of this.reservations) {
      const ledger = byId.get(backend);
      if (ledger?.currentOrder === undefined) this.reservations.delete(model);
    }
  }
}

interface Place {
  readonly backend: PlanningBackend;
  readonly cost: number;
  readonly readyInMs: number;
  readonly fromStore: boolean;
  /** Models that make way, in this order. */
  readonly victims: readonly string[];
}

/** One round of planning. */
class PlanningRound {
  readonly orders: PlannedOrder[] = [];
  private readonly used = new Set<string>();
  private storeHasRoom: boolean;

  constructor(
    private readonly input: PlanningInput,
    private readonly reservations: Map<string, string>,
  ) {
    this.storeHasRoom = input.storeHasRoom;
  }

  /** Whether a model is held somewhere, is being loaded, or has room being made for it. */
  isHeldOrComing(model: string): boolean {
    if (this.reservations.has(model)) return true;
    return this.copies(model) > 0;
  }

  /** Begins the load of a model that nobody holds, or makes room for it. */
  load(wanted: DemandSample, reason: string): void {
    const spec = modelSpec(this.input.host, wanted.model);
    if (spec === undefined || this.isHeldOrComing(wanted.model)) return;
    const place = this.cheapestPlace(spec, false);
    if (place !== undefined) this.order(spec, place, reason);
  }

  /** Begins the load of an adapter where its model is held. */
  loadAdapter(wanted: DemandSample): void {
    const { model, adapter } = wanted;
    if (this.isAdapterComing(wanted)) return;
    const holders = this.input.backends.filter((backend) => backend.ledger.models.has(model));
    if (holders.some(({ ledger }) => this.holdsAdapter(ledger, wanted))) return;
    if (holders.length === 0) return this.load({ ...wanted, adapter: undefined }, 'adapter waits');
    const usable = holders.filter((backend) => this.takesAdapter(backend.ledger));
    const free = usable
      .filter((backend) => this.hasAdapterRoom(backend.ledger, model))
      .sort((a, b) => a.ledger.usedAdapterSlots() - b.ledger.usedAdapterSlots());
    const place = free[0]?.ledger;
    if (place !== undefined) {
      const order: ModelOrder = { operation: 'load', model, adapter };
      this.push(place, order, ADAPTER_LOAD_MS, false, 'adapter waits');
      return;
    }
    this.makeAdapterRoom(usable);
  }

  /** Adds copies of models in urgent demand where they displace nothing worth more. */
  addCopies(): void {
    const { demand, now, host } = this.input;
    for (const spec of host.models) {
      const rate = demand.urgentRate(reference(spec.name), now);
      const copies = this.copies(spec.name);
      if (copies === 0 || copies >= copiesWanted(rate) || this.reservations.has(spec.name))
        continue;
      const place = this.cheapestPlace(spec, false);
      if (place === undefined) continue;
      const displaced = this.worthOf(place);
      if (displaced * COPY_MARGIN > (rate * URGENT_WORTH) / (copies + 1)) continue;
      this.order(spec, place, 'urgent demand');
      return;
    }
  }

  /** The backend at which the model costs least to load. `anyTime`: also one that is busy now. */
  cheapestPlace(spec: ModelSpec, anyTime: boolean): Place | undefined {
    let best: Place | undefined;
    for (const backend of this.input.backends) {
      const ledger = backend.ledger;
      if (this.used.has(ledger.id) || ledger.models.has(spec.name)) continue;
      if (!anyTime && !ledger.takesModelOrder) continue;
      const place = this.placeAt(backend, spec);
      if (place === undefined || (best !== undefined && place.cost >= best.cost)) continue;
      best = place;
    }
    return best;
  }

  private placeAt(backend: PlanningBackend, spec: ModelSpec): Place | undefined {
    const { ledger } = backend;
    const victims = this.victimsFor(ledger, spec);
    if (victims === undefined) return undefined;
    const inMemory = ledger.inMemory.has(spec.name);
    const fromStore = !inMemory && !ledger.onDisk.has(spec.name);
    if (fromStore && !this.storeHasRoom) return undefined;
    const loadMs = 1000 * loadSeconds(spec, inMemory, fromStore);
    const waitMs = Math.max(0, (ledger.running?.expectedEnd ?? 0) - this.input.now);
    const unloadMs = victims.reduce((sum, victim) => sum + this.unloadMs(ledger, victim), 0);
    const worth = victims.reduce((sum, victim) => sum + this.copyWorth(victim), 0);
    const readyInMs = waitMs + unloadMs + loadMs;
    const cost = readyInMs + worth + (fromStore ? STORE_LOAD_COST : 0);
    return { backend, cost, readyInMs, fromStore, victims };
  }

  /** The models of least worth that must go; undefined if no room can be made. */
  private victimsFor(ledger: BackendLedger, spec: ModelSpec): string[] | undefined {
    const { host } = this.input;
    let missing = ledger.usedMegabytes(host) + spec.megabytes - host.megabytes;
    if (missing <= 0) return [];
    const byCost = [...ledger.models.keys()]
      .map((name) => ({ name, cost: this.copyWorth(name) + this.unloadMs(ledger, name) }))
      .sort((a, b) => a.cost - b.cost);
    const chosen: string[] = [];
    for (const { name } of byCost) {
      if (missing <= 0) break;
      chosen.push(name);
      missing -= this.sizeAt(ledger, name);
    }
    if (missing > 0) return undefined;
    return this.withoutNeedless(ledger, chosen, -missing);
  }

  /** Spares chosen models that turn out not to be needed, dearest first. */
  private withoutNeedless(ledger: BackendLedger, chosen: string[], spare: number): string[] {
    const kept: string[] = [];
    let left = spare;
    for (const name of [...chosen].reverse()) {
      const size = this.sizeAt(ledger, name);
      if (size <= left) left -= size;
      else kept.push(name);
    }
    return kept.reverse();
  }

  private sizeAt(ledger: BackendLedger, name: string): number {
    const spec = modelSpec(this.input.host, name);
    const adapters = ledger.models.get(name)?.adapters.size ?? 0;
    return (spec?.megabytes ?? 0) + adapters * (spec?.adapterMegabytes ?? 0);
  }

  private unloadMs(ledger: BackendLedger, model: string): number {
    const running = this.input.demand.inFlight(ledger.id, reference(model), this.input.now);
    return UNLOAD_MS + (running > 0 ? RUNNING_REQUEST_MS : 0);
  }

  /** What the loss of one copy of a model would cost. */
  private copyWorth(model: string): number {
    const { demand, now, host } = this.input;
    const urgent = demand.urgentRate(reference(model), now) * URGENT_WORTH;
    const patient = demand.patientRate(reference(model), now) * PATIENT_WORTH;
    const copies = Math.max(1, this.copies(model));
    const rank = host.models.findIndex((spec) => spec.name === model);
    const prior = LISTED_FIRST_WORTH / (1 + Math.max(0, rank));
    return (urgent + patient + prior) / copies ** 2;
  }

  private worthOf(place: Place): number {
    return place.victims.reduce((sum, victim) => sum + this.copyWorth(victim), 0);
  }

  private copies(model: string): number {
    let count = 0;
    for (const { ledger } of this.input.backends) {
      const order = ledger.currentOrder;
      const leaving = order !== undefined && isUnloadOf(order, model);
      const loading = order !== undefined && isLoadOf(order, model);
      if ((ledger.models.has(model) && !leaving) || loading) count += 1;
    }
    return count + this.orders.filter(({ order }) => isLoadOf(order, model)).length;
  }

  private order(spec: ModelSpec, place: Place, reason: string): void {
    const { ledger } = place.backend;
    const victim = place.victims[0];
    if (victim !== undefined) {
      this.reservations.set(spec.name, ledger.id);
      const order: ModelOrder = { operation: 'unload', model: victim, adapter: undefined };
      this.push(ledger, order, this.unloadMs(ledger, victim), false, `room for ${spec.name}`);
      return;
    }
    if (place.fromStore) this.storeHasRoom = false;
    const order: ModelOrder = { operation: 'load', model: spec.name, adapter: undefined };
    this.push(ledger, order, place.readyInMs, place.fromStore, reason);
  }

  private holdsAdapter(ledger: BackendLedger, wanted: ModelReference): boolean {
    const { model, adapter } = wanted;
    if (adapter === undefined) return false;
    const order = ledger.currentOrder;
    const isLeaving =
      order?.operation === 'unload' && order.model === model && order.adapter === adapter;
    return !isLeaving && ledger.models.get(model)?.adapters.has(adapter) === true;
  }

  private isAdapterComing(wanted: DemandSample): boolean {
    const key = adapterKey(wanted);
    return this.input.backends.some(({ ledger }) => {
      const { sent } = ledger;
      const isSent = sent?.operation === 'load' && adapterKey(sent) === key;
      return isSent || ledger.comingAdapters.has(key);
    });
  }

  private takesAdapter(ledger: BackendLedger): boolean {
    return ledger.takesAdapterOrder && !this.used.has(ledger.id);
  }

  private hasAdapterRoom(ledger: BackendLedger, model: string): boolean {
    const { host } = this.input;
    const size = modelSpec(host, model)?.adapterMegabytes ?? 0;
    if (ledger.comingAdapters.size >= MOST_COMING_ADAPTERS) return false;
    if (ledger.usedAdapterSlots() >= host.adapterSlots) return false;
    return ledger.usedMegabytes(host) + size <= host.megabytes;
  }

  /** Unloads the adapter in least demand among the holders. */
  private makeAdapterRoom(holders: readonly PlanningBackend[]): void {
    const { demand, now } = this.input;
    let best: { ledger: BackendLedger; order: ModelOrder; rate: number } | undefined;
    for (const { ledger } of holders) {
      for (const [model, held] of ledger.models) {
        for (const adapter of held.adapters) {
          const candidate: ModelReference = { model, adapter };
          if (demand.inFlight(ledger.id, candidate, now) > 0) continue;
          const rate = demand.urgentRate(candidate, now) + demand.patientRate(candidate, now);
          if (best !== undefined && rate >= best.rate) continue;
          best = { ledger, order: { operation: 'unload', model, adapter }, rate };
        }
      }
    }
    if (best !== undefined) this.push(best.ledger, best.order, 0, false, 'room for an adapter');
  }

  private push(
    ledger: BackendLedger,
    order: ModelOrder,
    durationMs: number,
    fromStore: boolean,
    reason: string,
  ): void {
    this.used.add(ledger.id);
    this.orders.push({ backend: ledger.id, order, durationMs, fromStore, reason });
  }
}

function copiesWanted(urgentRate: number): number {
  if (urgentRate >= THIRD_COPY_RATE) return 3;
  return urgentRate >= SECOND_COPY_RATE ? 2 : 1;
}

function loadSeconds(spec: ModelSpec, inMemory: boolean, fromStore: boolean): number {
  if (inMemory) return spec.memoryLoadSeconds;
  return fromStore ? spec.storeLoadSeconds : spec.diskLoadSeconds;
}

function isLoadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'load' && order.model === model && order.adapter === undefined;
}

function isUnloadOf(order: ModelOrder, model: string): boolean {
  return order.operation === 'unload' && order.model === model && order.adapter === undefined;
}

function reference(model: string): ModelReference {
  return { model, adapter: undefined };
}
