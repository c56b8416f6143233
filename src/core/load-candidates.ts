/**
 * Finds the backend where a model costs least to load, by the location of its weights, free memory
 * and queued work. Pure.
 */
import { modelSpec, type BackendLedger } from './backend-ledger.js';
import type { ModelWorth } from './model-worth.js';
import {
  ExpectedDelayCost,
  ZeroOrderChannelCost,
  type OrderChannelCost,
} from './order-channel-cost.js';
import type { WeightsLocation, PlanningInput } from './planning.js';
import type { ModelSpec } from './service-configuration.js';

/**
 * Extra cost of a load from the weight store, in milliseconds: such loads cost money and are
 * limited in number.
 */
const STORE_LOAD_COST_MS = 600;

/** A backend that could load the model, with the cost of the load there. */
export interface LoadCandidate {
  readonly ledger: BackendLedger;
  /** Whether the load, or the unload that must come first, can be ordered now. */
  readonly canStartNow: boolean;
  /**
   * Total cost in milliseconds: the time until the model is loaded, the worth of evicted models and
   * any surcharges.
   */
  readonly cost: number;
  /** Milliseconds until the model is loaded. */
  readonly readyInMs: number;
  /** Milliseconds that the load itself takes. */
  readonly loadMs: number;
  readonly copy: WeightsLocation;
  /** Models to unload first, in this order. */
  readonly victims: readonly string[];
  /** Total worth of the victims, in milliseconds. */
  readonly displacedWorth: number;
}

/** A loaded model that could be evicted. */
interface Victim {
  readonly name: string;
  readonly megabytes: number;
  readonly worth: number;
  readonly unloadMs: number;
}

/** Memory use of a backend and the models that can be evicted there. */
interface Occupancy {
  readonly usedMegabytes: number;
  /** Sorted by worth plus unload time, lowest first. */
  readonly victims: readonly Victim[];
  /**
   * Cache: victims by the megabytes of the model to load; undefined if evictions cannot free enough
   * memory.
   */
  readonly chosen: Map<number, readonly Victim[] | undefined>;
}

/** Computes the load candidates of one planning round. */
export class LoadCandidates {
  private readonly reserved = new Set<string>();
  /** Work queued for each backend, in milliseconds. */
  private readonly queuedMs = new Map<string, number>();
  /** Models for which memory is being freed, by backend. */
  private readonly modelsToLoad = new Map<string, ModelSpec>();
  /**
   * Computed once per backend and round: an order of this round reserves its backend, so it changes
   * the occupancy of no other.
   */
  private readonly occupancies = new Map<string, Occupancy>();
  private readonly channelPricing: OrderChannelCost;
  private storeLoads: number;
  /**
   * Milliseconds until each concurrent load slot of the weight store is free; queued loads take the
   * earliest.
   */
  private readonly storeSlotWaitsMs: number[];

  constructor(
    private readonly input: PlanningInput,
    private readonly worth: ModelWorth,
  ) {
    this.channelPricing = input.policies.orderChannelCost
      ? new ExpectedDelayCost(input)
      : new ZeroOrderChannelCost();
    this.storeLoads = input.storeLoads;
    this.storeSlotWaitsMs = [...input.storeSlotWaitsMs];
  }

  /** Whether any backend can be given a model order now. */
  hasAvailableBackend(): boolean {
    return this.input.backends.some((ledger) => this.isFree(ledger));
  }

  private isFree(ledger: BackendLedger): boolean {
    return ledger.canSendModelOrder && !this.reserved.has(ledger.id);
  }

  /** Excludes the backend from further orders in this round. */
  reserve(backend: string): void {
    this.reserved.add(backend);
  }

  isReserved(backend: string): boolean {
    return this.reserved.has(backend);
  }

  /** Counts a load from the weight store that starts now. */
  startStoreLoad(candidate: LoadCandidate): void {
    this.storeLoads -= 1;
    this.occupyStoreSlot(candidate);
  }

  private occupyStoreSlot(candidate: LoadCandidate): void {
    const waits = this.storeSlotWaitsMs;
    waits[waits.indexOf(Math.min(...waits))] = candidate.readyInMs;
  }

  /** Adds queued work to a backend. */
  addWork(backend: string, milliseconds: number): void {
    this.queuedMs.set(backend, (this.queuedMs.get(backend) ?? 0) + milliseconds);
  }

  /** Records that a backend will load a model for which memory is being freed. */
  addReservedLoad(ledger: BackendLedger, spec: ModelSpec): void {
    this.addWork(ledger.id, 1000 * loadSeconds(spec, nearestCopy(ledger, spec.name)));
    this.modelsToLoad.set(ledger.id, spec);
    this.occupancies.delete(ledger.id);
  }

  /**
   * Queues a load that cannot start now. With `forecastAll`, a load that waits for the weight
   * store does not occupy the backend: loads from its disk or host memory go first.
   */
  queueLoad(candidate: LoadCandidate): void {
    const isFromStore = candidate.copy === 'store';
    const occupiesBackend = !isFromStore || !this.input.policies.forecastAll;
    if (occupiesBackend) this.addWork(candidate.ledger.id, candidate.loadMs);
    if (isFromStore) this.occupyStoreSlot(candidate);
  }

  /**
   * Returns the candidate with the lowest cost among backends for which `suits` is true, whether or
   * not it can start now.
   */
  cheapest(
    spec: ModelSpec,
    suits: (backend: string) => boolean = () => true,
  ): LoadCandidate | undefined {
    let best: LoadCandidate | undefined;
    for (const ledger of this.input.backends) {
      if (ledger.models.has(spec.name) || !suits(ledger.id)) continue;
      const candidate = this.candidateAt(ledger, spec);
      if (candidate !== undefined && (best === undefined || candidate.cost < best.cost))
        best = candidate;
    }
    return best;
  }

  /**
   * Returns the candidate for a load at the given backend; undefined if the model cannot fit there.
   */
  candidateAt(ledger: BackendLedger, spec: ModelSpec): LoadCandidate | undefined {
    const copy = nearestCopy(ledger, spec.name);
    const isFromStore = copy === 'store';
    const storeWaitMs = isFromStore ? Math.min(...this.storeSlotWaitsMs) : 0;
    const victims = this.victimsFor(ledger, spec);
    if (victims === undefined) return undefined;
    const mayStart = !isFromStore || (this.storeLoads > 0 && storeWaitMs === 0);
    const isFree = mayStart && this.isFree(ledger);
    const loadMs = 1000 * loadSeconds(spec, copy);
    const unloadMs = sumOver(victims, (victim) => victim.unloadMs);
    const displacedWorth = sumOver(victims, (victim) => victim.worth);
    const readyInMs = Math.max(this.waitMs(ledger) + unloadMs, storeWaitMs) + loadMs;
    const storeCost = isFromStore ? STORE_LOAD_COST_MS : 0;
    const channelCost = this.channelPricing.orderCostMs(ledger, loadMs);
    const lateCost = this.lateCost(ledger, spec);
    const cost = readyInMs + displacedWorth + storeCost + channelCost + lateCost;
    const names = victims.map((victim) => victim.name);
    return {
      ledger,
      canStartNow: isFree,
      cost,
      readyInMs,
      loadMs,
      copy,
      victims: names,
      displacedWorth,
    };
  }

  /**
   * Reads the rate only if streams are late, because this runs for every pair of model and backend.
   */
  private lateCost(ledger: BackendLedger, { name }: ModelSpec): number {
    const { quality } = this.worth;
    if (quality.isGoodAnywhere(name)) return 0;
    return quality.latenessCostMs(ledger.id, name, this.worth.urgentRate(name));
  }

  /** Milliseconds until the backend has finished its current order and its queued work. */
  waitMs(ledger: BackendLedger): number {
    const running = Math.max(0, ledger.expectedEnd - this.input.now);
    const synchronizeMs = ledger.phase === 'unsynchronized' ? SYNCHRONIZE_MS : 0;
    return synchronizeMs + running + (this.queuedMs.get(ledger.id) ?? 0);
  }

  /**
   * Returns the models of least worth to evict; undefined if evictions cannot free enough memory.
   */
  private victimsFor(ledger: BackendLedger, spec: ModelSpec): readonly Victim[] | undefined {
    const occupancy = this.occupancyOf(ledger);
    const { chosen } = occupancy;
    if (!chosen.has(spec.megabytes)) {
      chosen.set(spec.megabytes, this.chooseVictims(occupancy, spec));
    }
    return chosen.get(spec.megabytes);
  }

  private chooseVictims(
    { usedMegabytes, victims }: Occupancy,
    spec: ModelSpec,
  ): readonly Victim[] | undefined {
    let missing = usedMegabytes + spec.megabytes - this.input.host.megabytes;
    if (missing <= 0) return NO_VICTIMS;
    const chosen: Victim[] = [];
    for (const victim of victims) {
      if (missing <= 0) break;
      chosen.push(victim);
      missing -= victim.megabytes;
    }
    return missing > 0 ? undefined : withoutUnneeded(chosen, -missing);
  }

  private occupancyOf(ledger: BackendLedger): Occupancy {
    const known = this.occupancies.get(ledger.id);
    if (known !== undefined) return known;
    const { host } = this.input;
    const unloading = this.unloadingModel(ledger);
    const remaining = [...ledger.models.keys()].filter((name) => name !== unloading);
    const victims = remaining.map((name) => this.victim(ledger, name));
    victims.sort((a, b) => a.worth + a.unloadMs - (b.worth + b.unloadMs));
    const freedMegabytes =
      unloading === undefined ? 0 : (modelSpec(host, unloading)?.megabytes ?? 0);
    const expectedMegabytes = this.modelsToLoad.get(ledger.id)?.megabytes ?? 0;
    const usedMegabytes = ledger.usedMegabytes(host) - freedMegabytes + expectedMegabytes;
    const created: Occupancy = { usedMegabytes, victims, chosen: new Map() };
    this.occupancies.set(ledger.id, created);
    return created;
  }

  /** Returns the model that is being unloaded; its memory is free when the next order starts. */
  private unloadingModel(ledger: BackendLedger): string | undefined {
    const order = ledger.currentOrder;
    const isUnload = order?.operation === 'unload' && order.adapter === undefined;
    return isUnload ? order.model : undefined;
  }

  private victim(ledger: BackendLedger, name: string): Victim {
    const spec = modelSpec(this.input.host, name);
    const adapters = ledger.models.get(name)?.adapters.size ?? 0;
    const megabytes = (spec?.megabytes ?? 0) + adapters * (spec?.adapterMegabytes ?? 0);
    const worth = this.worth.copyWorth(ledger, name);
    return { name, megabytes, worth, unloadMs: this.worth.unloadMs(ledger, name) };
  }
}

/**
 * Expected milliseconds until the state of an unsynchronized backend is known, so that it can be
 * given orders.
 */
const SYNCHRONIZE_MS = 500;

const NO_VICTIMS: readonly Victim[] = [];

/**
 * Removes chosen victims that are not needed to free enough memory; the last chosen is checked
 * first.
 */
function withoutUnneeded(chosen: readonly Victim[], spare: number): Victim[] {
  const kept: Victim[] = [];
  let spareMegabytes = spare;
  for (const victim of [...chosen].reverse()) {
    if (victim.megabytes <= spareMegabytes) spareMegabytes -= victim.megabytes;
    else kept.push(victim);
  }
  return kept.reverse();
}

/** Returns the nearest location of a model's weights for a backend. */
function nearestCopy(ledger: BackendLedger, model: string): WeightsLocation {
  if (ledger.inMemory.has(model)) return 'memory';
  return ledger.onDisk.has(model) ? 'disk' : 'store';
}

function loadSeconds(spec: ModelSpec, copy: WeightsLocation): number {
  if (copy === 'memory') return spec.memoryLoadSeconds;
  return copy === 'disk' ? spec.diskLoadSeconds : spec.storeLoadSeconds;
}

function sumOver(victims: readonly Victim[], of: (victim: Victim) => number): number {
  return victims.reduce((total, victim) => total + of(victim), 0);
}
