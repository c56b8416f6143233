/** Where a model costs least to load: copies at hand, room, and work in progress. Pure. */
import { modelSpec, type BackendLedger } from './backend-ledger.js';
import type { ModelWorth } from './model-worth.js';
import { ExpectedCallersCost, FreeOrderChannel, type OrderChannelCost } from './order-channel.js';
import type { CopyPlace, PlanningInput } from './planning.js';
import type { ModelSpec } from './service-configuration.js';

/** Cost of a load from the store, besides its time: it is priced and rationed. */
const STORE_LOAD_COST_MS = 600;

/** A backend at which a model could be loaded. */
export interface LoadPlace {
  readonly ledger: BackendLedger;
  /** Whether an order can be given now. */
  readonly isFree: boolean;
  /** Time and displaced worth together, in milliseconds. */
  readonly cost: number;
  /** Time until the model is loaded. */
  readonly readyInMs: number;
  /** Time of the load alone. */
  readonly loadMs: number;
  readonly copy: CopyPlace;
  /** Models that make way, in this order. */
  readonly victims: readonly string[];
  /** What they are worth. */
  readonly displacedWorth: number;
}

/** A model that could make way. */
interface Victim {
  readonly name: string;
  readonly megabytes: number;
  readonly worth: number;
  readonly unloadMs: number;
}

/** What a backend holds, as the search for a place sees it. */
interface Occupancy {
  readonly usedMegabytes: number;
  /** Cheapest first. */
  readonly victims: readonly Victim[];
  /** Cache: victims by the megabytes of the model that they make way for; undefined if no room can be made. */
  readonly chosen: Map<number, readonly Victim[] | undefined>;
}

/** Places for loads, for one round of planning. */
export class LoadPlaces {
  private readonly reserved = new Set<string>();
  /** Work that waits for a backend, in milliseconds. */
  private readonly queuedMs = new Map<string, number>();
  /** Models for which backends make room. */
  private readonly expected = new Map<string, ModelSpec>();
  /** Worked out once a round: what the round orders reserves the backend, and so changes no other's. */
  private readonly occupancies = new Map<string, Occupancy>();
  private readonly channel: OrderChannelCost;
  private storeLoads: number;
  /** Milliseconds until each place for a load from the store is free; what waits takes them in turn. */
  private readonly storePlaceWaits: number[];

  constructor(
    private readonly input: PlanningInput,
    private readonly worth: ModelWorth,
  ) {
    this.channel = input.policies.orderChannelCost
      ? new ExpectedCallersCost(input)
      : new FreeOrderChannel();
    this.storeLoads = input.storeLoads;
    this.storePlaceWaits = [...input.storePlaceWaits];
  }

  /** Whether some backend can be given an order for a model now. */
  hasFree(): boolean {
    return this.input.backends.some((ledger) => this.isFree(ledger));
  }

  private isFree(ledger: BackendLedger): boolean {
    return ledger.takesModelOrder && !this.reserved.has(ledger.id);
  }

  /** The backend is given no further order in this round. */
  reserve(backend: string): void {
    this.reserved.add(backend);
  }

  isReserved(backend: string): boolean {
    return this.reserved.has(backend);
  }

  /** One load from the store begins. */
  useStore(place: LoadPlace): void {
    this.storeLoads -= 1;
    this.takeStorePlace(place);
  }

  private takeStorePlace(place: LoadPlace): void {
    const waits = this.storePlaceWaits;
    waits[waits.indexOf(Math.min(...waits))] = place.readyInMs;
  }

  /** A backend has more to do before it is free. */
  addWork(backend: string, milliseconds: number): void {
    this.queuedMs.set(backend, (this.queuedMs.get(backend) ?? 0) + milliseconds);
  }

  /** A backend will load a model for which it makes room. */
  expect(ledger: BackendLedger, spec: ModelSpec): void {
    this.addWork(ledger.id, 1000 * loadSeconds(spec, copyAt(ledger, spec.name)));
    this.expected.set(ledger.id, spec);
    this.occupancies.delete(ledger.id);
  }

  /**
   * A model waits for a place that is not free now. One that waits for the weight store keeps
   * the backend from nothing until the store takes it: the loads of copies at hand go before.
   */
  queue(place: LoadPlace): void {
    const isFromStore = place.copy === 'store';
    const keepsBackend = !isFromStore || !this.input.policies.forecastAll;
    if (keepsBackend) this.addWork(place.ledger.id, place.loadMs);
    if (isFromStore) this.takeStorePlace(place);
  }

  /** The place with the lowest cost, free or not, among those that suit. */
  cheapest(
    spec: ModelSpec,
    suits: (backend: string) => boolean = () => true,
  ): LoadPlace | undefined {
    let best: LoadPlace | undefined;
    for (const ledger of this.input.backends) {
      if (ledger.models.has(spec.name) || !suits(ledger.id)) continue;
      const place = this.at(ledger, spec);
      if (place !== undefined && (best === undefined || place.cost < best.cost)) best = place;
    }
    return best;
  }

  /** A load at the given backend; undefined if it cannot take the model. */
  at(ledger: BackendLedger, spec: ModelSpec): LoadPlace | undefined {
    const copy = copyAt(ledger, spec.name);
    const isFromStore = copy === 'store';
    const storeWaitMs = isFromStore ? Math.min(...this.storePlaceWaits) : 0;
    const victims = this.victimsFor(ledger, spec);
    if (victims === undefined) return undefined;
    const mayBegin = !isFromStore || (this.storeLoads > 0 && storeWaitMs === 0);
    const isFree = mayBegin && this.isFree(ledger);
    const loadMs = 1000 * loadSeconds(spec, copy);
    const unloadMs = sum(victims, (victim) => victim.unloadMs);
    const displacedWorth = sum(victims, (victim) => victim.worth);
    const readyInMs = Math.max(this.waitMs(ledger) + unloadMs, storeWaitMs) + loadMs;
    const storeCost = isFromStore ? STORE_LOAD_COST_MS : 0;
    const channelCost = this.channel.ofOrder(ledger, loadMs);
    const lateCost = this.lateCost(ledger, spec);
    const cost = readyInMs + displacedWorth + storeCost + channelCost + lateCost;
    const names = victims.map((victim) => victim.name);
    return { ledger, isFree, cost, readyInMs, loadMs, copy, victims: names, displacedWorth };
  }

  /** The rate is looked up only where streams are late: this is asked of every place for every model. */
  private lateCost(ledger: BackendLedger, { name }: ModelSpec): number {
    const { quality } = this.worth;
    if (quality.isGoodAnywhere(name)) return 0;
    return quality.lateMs(ledger.id, name, this.worth.urgentRate(name));
  }

  /** Time until the backend has done what it is doing and what waits for it. */
  waitMs(ledger: BackendLedger): number {
    const running = Math.max(0, ledger.expectedEnd - this.input.now);
    const unknown = ledger.phase === 'unsynchronized' ? SYNCHRONIZE_MS : 0;
    return unknown + running + (this.queuedMs.get(ledger.id) ?? 0);
  }

  /** The models of least worth that must go; undefined if no room can be made. */
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
    return missing > 0 ? undefined : withoutNeedless(chosen, -missing);
  }

  private occupancyOf(ledger: BackendLedger): Occupancy {
    const known = this.occupancies.get(ledger.id);
    if (known !== undefined) return known;
    const { host } = this.input;
    const leaving = this.leavingModel(ledger);
    const staying = [...ledger.models.keys()].filter((name) => name !== leaving);
    const victims = staying.map((name) => this.victim(ledger, name));
    victims.sort((a, b) => a.worth + a.unloadMs - (b.worth + b.unloadMs));
    const freed = leaving === undefined ? 0 : (modelSpec(host, leaving)?.megabytes ?? 0);
    const taken = this.expected.get(ledger.id)?.megabytes ?? 0;
    const usedMegabytes = ledger.usedMegabytes(host) - freed + taken;
    const made: Occupancy = { usedMegabytes, victims, chosen: new Map() };
    this.occupancies.set(ledger.id, made);
    return made;
  }

  /** A model that is being unloaded: its room is free by the time of the next order. */
  private leavingModel(ledger: BackendLedger): string | undefined {
    const order = ledger.currentOrder;
    const isUnload = order?.operation === 'unload' && order.adapter === undefined;
    return isUnload ? order.model : undefined;
  }

  private victim(ledger: BackendLedger, name: string): Victim {
    const spec = modelSpec(this.input.host, name);
    const adapters = ledger.models.get(name)?.adapters.size ?? 0;
    const megabytes = (spec?.megabytes ?? 0) + adapters * (spec?.adapterMegabytes ?? 0);
    const worth = this.worth.ofCopy(ledger, name);
    return { name, megabytes, worth, unloadMs: this.worth.unloadMs(ledger, name) };
  }
}

/** Expected time until a backend's state is known, so that it can be given orders. */
const SYNCHRONIZE_MS = 500;

const NO_VICTIMS: readonly Victim[] = [];

/** Spares chosen models that turn out not to be needed, dearest first. */
function withoutNeedless(chosen: readonly Victim[], spare: number): Victim[] {
  const kept: Victim[] = [];
  let left = spare;
  for (const victim of [...chosen].reverse()) {
    if (victim.megabytes <= left) left -= victim.megabytes;
    else kept.push(victim);
  }
  return kept.reverse();
}

/** The nearest copy of a model, seen from a backend. */
function copyAt(ledger: BackendLedger, model: string): CopyPlace {
  if (ledger.inMemory.has(model)) return 'memory';
  return ledger.onDisk.has(model) ? 'disk' : 'store';
}

function loadSeconds(spec: ModelSpec, copy: CopyPlace): number {
  if (copy === 'memory') return spec.memoryLoadSeconds;
  return copy === 'disk' ? spec.diskLoadSeconds : spec.storeLoadSeconds;
}

function sum(victims: readonly Victim[], of: (victim: Victim) => number): number {
  return victims.reduce((total, victim) => total + of(victim), 0);
}
