/**
 * Plans the next orders of a service's owner: loads for waiting requests at the
 * backend where they cost least, further copies of models in urgent demand, and
 * unloads that free memory. Pure; times are milliseconds of a monotonic clock.
 */
import { AdapterPlan } from './adapter-plan.js';
import { adapterKey, modelSpec, type BackendLedger } from './backend-ledger.js';
import { LoadCandidates, type LoadCandidate } from './load-candidates.js';
import type { DemandSample } from './demand-report.js';
import type { ModelOrder } from './model-order.js';
import { ModelWorth } from './model-worth.js';
import type { LoadPlanner, PlannedOrder, PlanningInput } from './planning.js';
import type { ModelSpec } from './service-configuration.js';

/** Reservation of memory that a backend frees for a model. */
interface Reservation {
  readonly backend: string;
  readonly reason: string;
  readonly until: number;
  /**
   * Copies of the model, loaded or loading, when the reservation was made; with more copies the
   * reservation is no longer needed.
   */
  readonly copies: number;
}

/** A backend and the model for which it frees memory. */
interface ResolvedReservation {
  readonly ledger: BackendLedger;
  readonly spec: ModelSpec;
}

/** Urgent requests per second from which a model gets a second or third copy. */
const SECOND_COPY_RATE = 0.25;
const THIRD_COPY_RATE = 10;
/**
 * Share of a backend's slots that requests for one model may use before the model gets a further
 * copy.
 */
const COPY_SLOTS_SHARE = 0.4;
/** A further copy must be worth at least this many times the copies that are evicted for it. */
const FURTHER_COPY_WORTH_RATIO = 2;
/** Maximum number of forecasts per update, most urgent first, without `forecastAll`. */
const MAX_URGENT_FORECASTS = 64;
/**
 * Maximum number of forecasts with `forecastAll`: about 20 kB per update and tens of milliseconds
 * of the owner's time.
 */
const MAX_FORECASTS = 1_024;
/** Milliseconds after which unused reserved memory is released. */
const RESERVATION_MS = 4_000;

/** Plans orders for one service and keeps the memory reservations between rounds. */
export class PlacementPlanner implements LoadPlanner {
  private readonly reservations = new Map<string, Reservation>();
  /** Models that were fetched from the weight store ahead of any request. */
  private readonly fetched = new Set<string>();

  /** Returns the orders to give now, at most one per backend. */
  plan(input: PlanningInput): PlannedOrder[] {
    const round = new PlanningRound(input, this.reservations);
    round.startReservedLoads();
    round.relieveCrowded();
    for (const sample of input.demand.waiting(input.now)) {
      if (!round.candidates.hasAvailableBackend()) break;
      if (sample.adapter === undefined) round.planLoad(sample);
      else round.planAdapterLoad(sample);
    }
    round.addCopy();
    round.fetchAhead(this.fetched);
    return round.orders;
  }

  /**
   * Returns the milliseconds until models and adapters that requests wait for, and that no backend
   * has loaded, are expected to be loaded. Models without waiting requests are left out: their
   * forecasts would change all the time, and a model is included once a request waits for it.
   */
  forecasts(input: PlanningInput): Map<string, number> {
    const round = new PlanningRound(input, this.reservations);
    const times = round.forecastReserved();
    const maxForecasts = input.policies.forecastAll ? MAX_FORECASTS : MAX_URGENT_FORECASTS;
    for (const sample of input.demand.waiting(input.now)) {
      if (times.size >= maxForecasts) break;
      if (sample.adapter !== undefined) round.forecastAdapter(sample, times);
      else if (!times.has(sample.model)) round.forecast(sample.model, times);
    }
    return times;
  }
}

/** One planning round. */
class PlanningRound {
  readonly orders: PlannedOrder[] = [];
  readonly worth: ModelWorth;
  readonly candidates: LoadCandidates;

  constructor(
    private readonly input: PlanningInput,
    private readonly reservations: Map<string, Reservation>,
  ) {
    this.worth = new ModelWorth(input);
    this.candidates = new LoadCandidates(input, this.worth);
  }

  /** Starts the loads for which memory was reserved. */
  startReservedLoads(): void {
    for (const [model, reservation] of [...this.reservations]) {
      const { backend, reason } = reservation;
      const resolved = this.resolveReservation(model, backend);
      if (resolved !== undefined) this.extendReservation(model, reservation, resolved.ledger);
      if (resolved === undefined || this.hasExpired(model)) {
        this.reservations.delete(model);
        continue;
      }
      const { ledger, spec } = resolved;
      const candidate = this.candidates.candidateAt(ledger, spec);
      // The backend is still freeing memory, or the weight store allows no further load now.
      if (candidate !== undefined && !candidate.canStartNow) {
        this.candidates.reserve(ledger.id);
        this.candidates.addReservedLoad(ledger, spec);
        continue;
      }
      this.reservations.delete(model);
      const isNeeded = this.worth.copies(model) <= reservation.copies;
      if (candidate !== undefined && isNeeded) this.addLoad(spec, candidate, reason);
    }
  }

  /**
   * Extends the reservation for a further copy while the victim's unload waits for its running
   * requests, without a time limit: if it were released, a new reservation at another backend
   * would expire in the same way.
   */
  private extendReservation(model: string, reservation: Reservation, ledger: BackendLedger): void {
    const isUnloading = ledger.currentOrder?.operation === 'unload';
    if (reservation.copies === 0 || !isUnloading) return;
    const until = this.input.now + RESERVATION_MS;
    this.reservations.set(model, { ...reservation, until });
  }

  private hasExpired(model: string): boolean {
    return (this.reservations.get(model)?.until ?? -Infinity) < this.input.now;
  }

  /**
   * Returns the models for which memory is reserved, with the milliseconds until they are loaded.
   */
  forecastReserved(): Map<string, number> {
    const times = new Map<string, number>();
    for (const [model, { backend }] of this.reservations) {
      const resolved = this.resolveReservation(model, backend);
      if (resolved === undefined) continue;
      this.candidates.addReservedLoad(resolved.ledger, resolved.spec);
      times.set(model, Math.round(this.candidates.waitMs(resolved.ledger)));
    }
    return times;
  }

  /** Resolves a reservation; undefined if the backend or the model no longer exists. */
  private resolveReservation(model: string, backend: string): ResolvedReservation | undefined {
    const ledger = this.input.backends.find((candidate) => candidate.id === backend);
    const spec = modelSpec(this.input.host, model);
    return ledger === undefined || spec === undefined ? undefined : { ledger, spec };
  }

  /**
   * Orders the load of a model that no backend has loaded, or the unload that must come first, or
   * queues the load.
   */
  planLoad(sample: DemandSample): void {
    const spec = modelSpec(this.input.host, sample.model);
    if (spec === undefined || this.isLoadedOrLoading(sample.model)) return;
    const candidate = this.candidates.cheapest(spec);
    if (candidate === undefined) return;
    if (candidate.canStartNow) this.addLoad(spec, candidate, 'waiting requests');
    else this.candidates.queueLoad(candidate);
  }

  /** Orders the load of an adapter at a backend that has its model loaded. */
  planAdapterLoad(sample: DemandSample): void {
    const plan = new AdapterPlan(this.input, this.candidates);
    if (plan.isLoadedOrLoading(sample)) return;
    const holders = plan.holders(sample.model);
    if (holders.length === 0) return this.planLoad({ ...sample, adapter: undefined });
    const planned = plan.nextOrder(sample, holders);
    if (planned !== undefined) this.addOrder(planned);
  }

  /**
   * Adds the time at which a model will be loaded to `times`; its load delays the loads queued
   * after it.
   */
  forecast(model: string, times: Map<string, number>): void {
    const spec = modelSpec(this.input.host, model);
    if (spec === undefined || this.worth.copies(model) > 0) return;
    const candidate = this.candidates.cheapest(spec);
    if (candidate === undefined) return;
    times.set(model, Math.round(candidate.readyInMs));
    this.candidates.queueLoad(candidate);
  }

  /**
   * Adds the time at which an adapter will be loaded, or that of its model if no backend has the
   * model loaded.
   */
  forecastAdapter(sample: DemandSample, times: Map<string, number>): void {
    const plan = new AdapterPlan(this.input, this.candidates);
    const holders = plan.holders(sample.model);
    if (holders.length === 0) return this.forecast(sample.model, times);
    if (!plan.isLoadedOrLoading(sample)) {
      times.set(adapterKey(sample), Math.round(plan.readyInMs(holders)));
    }
  }

  /**
   * Adds a copy of each model whose copies are nearly full, before loads of rare models use the
   * backends.
   */
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

  /**
   * Whether a model needs a further copy. Copies at slow backends count in part, so up to twice the
   * wanted number is allowed.
   */
  private isCopyWanted(model: string): boolean {
    const copies = this.worth.copies(model);
    if (copies === 0) return false;
    const wanted = this.copiesWanted(model);
    return this.worth.effectiveCopies(model) < wanted && copies < 2 * wanted;
  }

  /**
   * Loads models that are stored at no backend from the weight store before the first request
   * arrives: the store serves few loads at a time and slowly, so callers of most of these
   * models would be refused. Fetches each model at most once, and evicts only models that a
   * backend has on disk or in memory.
   */
  fetchAhead(fetched: Set<string>): void {
    const { backends, demand, host, now, policies } = this.input;
    if (!policies.fetchAhead || demand.totalRate(now) > 0) return;
    const storedModels = new Set(
      backends.flatMap(({ onDisk, inMemory }) => [...onDisk, ...inMemory]),
    );
    for (const spec of host.models) {
      const { name } = spec;
      if (storedModels.has(name) || fetched.has(name) || this.isLoadedOrLoading(name)) continue;
      const candidate = this.candidates.cheapest(spec);
      if (candidate === undefined || !candidate.canStartNow) return;
      if (!candidate.victims.every((victim) => storedModels.has(victim))) continue;
      fetched.add(name);
      this.addLoad(spec, candidate, 'on no disk');
    }
  }

  /**
   * Orders one more copy unless the copies to evict are worth too much in comparison; returns
   * whether an order was given.
   */
  private tryFurtherCopy(model: string, reason: string): boolean {
    const spec = modelSpec(this.input.host, model);
    if (spec === undefined || this.reservations.has(model)) return false;
    // A copy beyond the wanted number replaces one at a slow backend, so it must go to a good one.
    const isExtra = this.worth.copies(model) >= this.copiesWanted(model);
    const suits = (backend: string): boolean => this.worth.quality.isGoodBackend(backend, model);
    const candidate = this.candidates.cheapest(spec, isExtra ? suits : undefined);
    if (candidate === undefined || !candidate.canStartNow) return false;
    if (candidate.displacedWorth * FURTHER_COPY_WORTH_RATIO > this.worth.furtherCopyWorth(model))
      return false;
    this.addLoad(spec, candidate, reason);
    return true;
  }

  /**
   * Wanted number of copies, by the urgent rate, so that one copy may be lost, and by the requests
   * in flight.
   */
  private copiesWanted(model: string): number {
    const { host, demand, now } = this.input;
    const byRate = copiesForRate(this.worth.urgentRate(model));
    if (byRate === 1) return 1;
    const running = demand.inFlightOf(model, now);
    return Math.max(byRate, 1 + Math.ceil(running / (host.slots * COPY_SLOTS_SHARE)));
  }

  private isLoadedOrLoading(model: string): boolean {
    return this.reservations.has(model) || this.worth.copies(model) > 0;
  }

  private addLoad(spec: ModelSpec, candidate: LoadCandidate, reason: string): void {
    const { now } = this.input;
    const backend = candidate.ledger.id;
    const [victim] = candidate.victims;
    if (victim !== undefined) {
      const until = now + RESERVATION_MS;
      this.reservations.set(spec.name, {
        backend,
        reason,
        until,
        copies: this.maxCopiesForReservation(spec),
      });
      const order: ModelOrder = { operation: 'unload', model: victim, adapter: undefined };
      const durationMs = this.worth.unloadMs(candidate.ledger, victim);
      this.candidates.addReservedLoad(candidate.ledger, spec);
      const unloadReason = `room for ${spec.name}: ${reason}`;
      return this.addOrder({ backend, order, durationMs, copy: undefined, reason: unloadReason });
    }
    if (candidate.copy === 'store') this.candidates.startStoreLoad(candidate);
    this.worth.recordLoad(spec.name);
    const order: ModelOrder = { operation: 'load', model: spec.name, adapter: undefined };
    const { copy, loadMs } = candidate;
    this.addOrder({ backend, order, durationMs: loadMs, copy, reason });
  }

  /**
   * Largest number of copies with which a reservation made now is still needed; 0 without
   * `relieveCrowdedCopies`, which reserves only for models that are not loaded.
   */
  private maxCopiesForReservation(spec: ModelSpec): number {
    return this.input.policies.relieveCrowdedCopies ? this.worth.copies(spec.name) : 0;
  }

  private addOrder(planned: PlannedOrder): void {
    this.candidates.reserve(planned.backend);
    this.candidates.addWork(planned.backend, planned.durationMs);
    this.orders.push(planned);
  }
}

function copiesForRate(urgentRate: number): number {
  if (urgentRate >= THIRD_COPY_RATE) return 3;
  return urgentRate >= SECOND_COPY_RATE ? 2 : 1;
}
