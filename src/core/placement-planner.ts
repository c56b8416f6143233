/**
 * Decides which orders the owner of a service gives next: loads for waiting
 * requests where they cost least, second copies of models in urgent demand, and
 * unloads that make room. Pure; times are milliseconds of a steady clock.
 */
import { AdapterPlan } from './adapter-plan.js';
import { adapterKey, modelSpec, type BackendLedger } from './backend-ledger.js';
import { LoadPlaces, type LoadPlace } from './load-place.js';
import type { DemandSample } from './demand-report.js';
import type { ModelOrder } from './model-order.js';
import { ModelWorth } from './model-worth.js';
import type { LoadPlanner, PlannedOrder, PlanningInput } from './planning.js';
import type { ModelSpec } from './service-configuration.js';

/** A backend that makes room for a model. */
interface Reservation {
  readonly backend: string;
  readonly reason: string;
  readonly until: number;
  /** Copies of the model, held or coming, when the room was ordered: with more of them it is not needed. */
  readonly copies: number;
}

/** A backend with the model that it makes room for. */
interface ReservedRoom {
  readonly ledger: BackendLedger;
  readonly spec: ModelSpec;
}

/** Urgent requests a second for which a model gets a second and a third copy. */
const SECOND_COPY_RATE = 0.25;
const THIRD_COPY_RATE = 10;
/** Share of a backend's slots that the requests of one model may take before it gets a further copy. */
const COPY_SLOTS_SHARE = 0.4;
/** A further copy must be worth so many times what makes way for it. */
const COPY_MARGIN = 2;
/** Forecasts that an owner tells at once, the most urgent, unless it tells all. */
const MOST_FORECASTS = 64;
/** The most that it tells if it tells all: some 20 kB of an update, and tens of milliseconds of the owner's time. */
const MOST_OF_ALL_FORECASTS = 1_024;
/** Room that is made and not used by then is given up. */
const RESERVATION_MS = 4_000;

/** Plans for one service; remembers which backend makes room for which model. */
export class PlacementPlanner implements LoadPlanner {
  private readonly reservations = new Map<string, Reservation>();
  /** Models that were fetched from the weight store before anybody asked for them. */
  private readonly fetched = new Set<string>();

  /** Orders to give now, at most one for each backend. */
  plan(input: PlanningInput): PlannedOrder[] {
    const round = new PlanningRound(input, this.reservations);
    round.useReservedRoom();
    round.relieveCrowded();
    for (const wanted of input.demand.waiting(input.now)) {
      if (!round.places.hasFree()) break;
      if (wanted.adapter === undefined) round.load(wanted);
      else round.loadAdapter(wanted);
    }
    round.addCopy();
    round.fetchAhead(this.fetched);
    return round.orders;
  }

  /**
   * Milliseconds until awaited models and adapters that nobody holds are expected to be loaded.
   * The others' would move with the time, and each request for one makes it awaited.
   */
  forecasts(input: PlanningInput): Map<string, number> {
    const round = new PlanningRound(input, this.reservations);
    const times = round.expectReserved();
    const most = input.policies.forecastAll ? MOST_OF_ALL_FORECASTS : MOST_FORECASTS;
    for (const wanted of input.demand.waiting(input.now)) {
      if (times.size >= most) break;
      if (wanted.adapter !== undefined) round.forecastAdapter(wanted, times);
      else if (!times.has(wanted.model)) round.forecast(wanted.model, times);
    }
    return times;
  }
}

/** One round of planning. */
class PlanningRound {
  readonly orders: PlannedOrder[] = [];
  readonly worth: ModelWorth;
  readonly places: LoadPlaces;

  constructor(
    private readonly input: PlanningInput,
    private readonly reservations: Map<string, Reservation>,
  ) {
    this.worth = new ModelWorth(input);
    this.places = new LoadPlaces(input, this.worth);
  }

  /** Begins the loads for which room was being made. */
  useReservedRoom(): void {
    for (const [model, reservation] of [...this.reservations]) {
      const { backend, reason } = reservation;
      const room = this.reservedRoom(model, backend);
      if (room !== undefined) this.renew(model, reservation, room.ledger);
      if (room === undefined || this.isOver(model)) {
        this.reservations.delete(model);
        continue;
      }
      const { ledger, spec } = room;
      const place = this.places.at(ledger, spec);
      // The backend makes room still, or the weight store allows no further load now.
      if (place !== undefined && !place.isFree) {
        this.places.reserve(ledger.id);
        this.places.expect(ledger, spec);
        continue;
      }
      this.reservations.delete(model);
      const isNeeded = this.worth.copies(model) <= reservation.copies;
      if (place !== undefined && isNeeded) this.order(spec, place, reason);
    }
  }

  /**
   * Room for a further copy is kept while the victim's requests run, however long: given up
   * and made anew elsewhere it would again be given up.
   */
  private renew(model: string, reservation: Reservation, ledger: BackendLedger): void {
    const isBeingMade = ledger.currentOrder?.operation === 'unload';
    if (reservation.copies === 0 || !isBeingMade) return;
    const until = this.input.now + RESERVATION_MS;
    this.reservations.set(model, { ...reservation, until });
  }

  private isOver(model: string): boolean {
    return (this.reservations.get(model)?.until ?? -Infinity) < this.input.now;
  }

  /** Loads for which room is being made, and the milliseconds until they have ended. */
  expectReserved(): Map<string, number> {
    const times = new Map<string, number>();
    for (const [model, { backend }] of this.reservations) {
      const room = this.reservedRoom(model, backend);
      if (room === undefined) continue;
      this.places.expect(room.ledger, room.spec);
      times.set(model, Math.round(this.places.waitMs(room.ledger)));
    }
    return times;
  }

  /** Undefined if the backend or the model is gone. */
  private reservedRoom(model: string, backend: string): ReservedRoom | undefined {
    const ledger = this.input.backends.find((candidate) => candidate.id === backend);
    const spec = modelSpec(this.input.host, model);
    return ledger === undefined || spec === undefined ? undefined : { ledger, spec };
  }

  /** Begins the load of a model that nobody holds, or makes room for it, or waits for its place. */
  load(wanted: DemandSample): void {
    const spec = modelSpec(this.input.host, wanted.model);
    if (spec === undefined || this.isHeldOrComing(wanted.model)) return;
    const place = this.places.cheapest(spec);
    if (place === undefined) return;
    if (place.isFree) this.order(spec, place, 'waiting requests');
    else this.places.queue(place);
  }

  /** Begins the load of an adapter where its model is held. */
  loadAdapter(wanted: DemandSample): void {
    const plan = new AdapterPlan(this.input, this.places);
    if (plan.isHeldOrComing(wanted)) return;
    const holders = plan.holders(wanted.model);
    if (holders.length === 0) return this.load({ ...wanted, adapter: undefined });
    const planned = plan.next(wanted, holders);
    if (planned !== undefined) this.push(planned);
  }

  /** Notes when a model will be ready; its load delays those behind it. */
  forecast(model: string, times: Map<string, number>): void {
    const spec = modelSpec(this.input.host, model);
    if (spec === undefined || this.worth.copies(model) > 0) return;
    const place = this.places.cheapest(spec);
    if (place === undefined) return;
    times.set(model, Math.round(place.readyInMs));
    this.places.queue(place);
  }

  /** Notes when an adapter will be ready at one of its model's holders, or after its model. */
  forecastAdapter(wanted: DemandSample, times: Map<string, number>): void {
    const plan = new AdapterPlan(this.input, this.places);
    const holders = plan.holders(wanted.model);
    if (holders.length === 0) return this.forecast(wanted.model, times);
    if (!plan.isHeldOrComing(wanted)) {
      times.set(adapterKey(wanted), Math.round(plan.readyInMs(holders)));
    }
  }

  /** Adds a copy of each model whose copies are nearly full, before rare models take the places. */
  relieveCrowded(): void {
    const { demand, now } = this.input;
    for (const model of demand.urgentModels(now)) {
      if (this.worth.isCrowded(model)) this.tryFurtherCopy(model, 'crowded copies');
    }
  }

  /** Adds one copy of a model in urgent demand. */
  addCopy(): void {
    const { demand, now } = this.input;
    for (const model of demand.urgentModels(now)) {
      if (this.isCopyWanted(model) && this.tryFurtherCopy(model, 'urgent demand')) return;
    }
  }

  /** Copies at slow places count in part, and there may be as many again that are better placed. */
  private isCopyWanted(model: string): boolean {
    const copies = this.worth.copies(model);
    if (copies === 0) return false;
    const wanted = this.copiesWanted(model);
    return this.worth.fullCopies(model) < wanted && copies < 2 * wanted;
  }

  /**
   * Fetches models that lie at no backend from the weight store while no caller has asked for
   * anything yet: the store gives a few at a time, slowly, so that callers of most of them
   * would be refused. Each at most once, and only in place of what can be loaded again at hand.
   */
  fetchAhead(fetched: Set<string>): void {
    const { backends, demand, host, now, policies } = this.input;
    if (!policies.fetchAhead || demand.totalRate(now) > 0) return;
    const kept = new Set(backends.flatMap(({ onDisk, inMemory }) => [...onDisk, ...inMemory]));
    for (const spec of host.models) {
      const { name } = spec;
      if (kept.has(name) || fetched.has(name) || this.isHeldOrComing(name)) continue;
      const place = this.places.cheapest(spec);
      if (place === undefined || !place.isFree) return;
      if (!place.victims.every((victim) => kept.has(victim))) continue;
      fetched.add(name);
      this.order(spec, place, 'on no disk');
    }
  }

  /** Orders one more copy where it displaces nothing worth more; false if there is no such place now. */
  private tryFurtherCopy(model: string, reason: string): boolean {
    const spec = modelSpec(this.input.host, model);
    if (spec === undefined || this.reservations.has(model)) return false;
    // A copy besides those that are wanted takes the place of one at a slow place.
    const isBesides = this.worth.copies(model) >= this.copiesWanted(model);
    const suits = (backend: string): boolean => this.worth.quality.isGood(backend, model);
    const place = this.places.cheapest(spec, isBesides ? suits : undefined);
    if (place === undefined || !place.isFree) return false;
    if (place.displacedWorth * COPY_MARGIN > this.worth.ofFurtherCopy(model)) return false;
    this.order(spec, place, reason);
    return true;
  }

  /** By the rate, so that the loss of one copy is borne, and by what runs at once. */
  private copiesWanted(model: string): number {
    const { host, demand, now } = this.input;
    const byRate = copiesForRate(this.worth.urgentRate(model));
    if (byRate === 1) return 1;
    const running = demand.inFlightOf(model, now);
    return Math.max(byRate, 1 + Math.ceil(running / (host.slots * COPY_SLOTS_SHARE)));
  }

  private isHeldOrComing(model: string): boolean {
    return this.reservations.has(model) || this.worth.copies(model) > 0;
  }

  private order(spec: ModelSpec, place: LoadPlace, reason: string): void {
    const { now } = this.input;
    const backend = place.ledger.id;
    const [victim] = place.victims;
    if (victim !== undefined) {
      const until = now + RESERVATION_MS;
      this.reservations.set(spec.name, { backend, reason, until, copies: this.copiesBefore(spec) });
      const order: ModelOrder = { operation: 'unload', model: victim, adapter: undefined };
      const durationMs = this.worth.unloadMs(place.ledger, victim);
      this.places.expect(place.ledger, spec);
      const why = `room for ${spec.name}: ${reason}`;
      return this.push({ backend, order, durationMs, copy: undefined, reason: why });
    }
    if (place.copy === 'store') this.places.useStore(place);
    this.worth.noteLoad(spec.name);
    const order: ModelOrder = { operation: 'load', model: spec.name, adapter: undefined };
    const { copy, loadMs } = place;
    this.push({ backend, order, durationMs: loadMs, copy, reason });
  }

  /** The most copies with which room ordered now is still needed; 0 if room is made for unheld models only. */
  private copiesBefore(spec: ModelSpec): number {
    return this.input.policies.relieveCrowdedCopies ? this.worth.copies(spec.name) : 0;
  }

  private push(planned: PlannedOrder): void {
    this.places.reserve(planned.backend);
    this.places.addWork(planned.backend, planned.durationMs);
    this.orders.push(planned);
  }
}

function copiesForRate(urgentRate: number): number {
  if (urgentRate >= THIRD_COPY_RATE) return 3;
  return urgentRate >= SECOND_COPY_RATE ? 2 : 1;
}
