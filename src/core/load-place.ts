/** Where a model costs least to load: copies at hand, room, and work in progress. Pure. */
import { modelSpec, type BackendLedger } from './backend-ledger.js';
import type { ModelWorth } from './model-worth.js';
import type { PlanningInput } from './placement-planner.js';
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
  readonly fromStore: boolean;
  /** Models that make way, in this order. */
  readonly victims: readonly string[];
  /** What they are worth. */
  readonly displacedWorth: number;
}

/** Places for loads, for one round of planning. */
export class LoadPlaces {
  private readonly reserved = new Set<string>();
  /** Work that waits for a backend, in milliseconds. */
  private readonly queuedMs = new Map<string, number>();
  private storeHasRoom: boolean;

  constructor(
    private readonly input: PlanningInput,
    private readonly worth: ModelWorth,
  ) {
    this.storeHasRoom = input.storeHasRoom;
  }

  /** The backend is given no further order in this round. */
  reserve(backend: string): void {
    this.reserved.add(backend);
  }

  isReserved(backend: string): boolean {
    return this.reserved.has(backend);
  }

  /** One load from the store begins. */
  useStore(): void {
    this.storeHasRoom = false;
  }

  /** A model waits for a place that is not free now. */
  queue(place: LoadPlace): void {
    const { id } = place.ledger;
    this.queuedMs.set(id, (this.queuedMs.get(id) ?? 0) + place.loadMs);
  }

  /** The place with the lowest cost, free or not. */
  cheapest(spec: ModelSpec): LoadPlace | undefined {
    let best: LoadPlace | undefined;
    for (const ledger of this.input.backends) {
      if (ledger.phase === 'unsynchronized' || ledger.models.has(spec.name)) continue;
      const place = this.at(ledger, spec);
      if (place !== undefined && (best === undefined || place.cost < best.cost)) best = place;
    }
    return best;
  }

  /** A load at the given backend; undefined if it cannot take the model. */
  at(ledger: BackendLedger, spec: ModelSpec): LoadPlace | undefined {
    const victims = this.victimsFor(ledger, spec);
    if (victims === undefined) return undefined;
    const inMemory = ledger.inMemory.has(spec.name);
    const fromStore = !inMemory && !ledger.onDisk.has(spec.name);
    const isFree = ledger.takesModelOrder && !this.reserved.has(ledger.id);
    if (fromStore && !this.storeHasRoom) return undefined;
    const loadMs = 1000 * loadSeconds(spec, inMemory, fromStore);
    const unloadMs = sum(victims, (victim) => this.worth.unloadMs(ledger, victim));
    const displacedWorth = sum(victims, (victim) => this.worth.ofCopy(ledger, victim));
    const readyInMs = this.waitMs(ledger) + unloadMs + loadMs;
    const cost = readyInMs + displacedWorth + (fromStore ? STORE_LOAD_COST_MS : 0);
    return { ledger, isFree, cost, readyInMs, loadMs, fromStore, victims, displacedWorth };
  }

  /** Time until the backend has done what it is doing and what waits for it. */
  private waitMs(ledger: BackendLedger): number {
    const running = Math.max(0, (ledger.running?.expectedEnd ?? 0) - this.input.now);
    const reserved = this.reserved.has(ledger.id) && ledger.running === undefined;
    return running + (reserved ? RESERVED_MS : 0) + (this.queuedMs.get(ledger.id) ?? 0);
  }

  /** The models of least worth that must go; undefined if no room can be made. */
  private victimsFor(ledger: BackendLedger, spec: ModelSpec): string[] | undefined {
    const { host } = this.input;
    let missing = ledger.usedMegabytes(host) + spec.megabytes - host.megabytes;
    if (missing <= 0) return [];
    const byCost = [...ledger.models.keys()]
      .map((name) => ({ name, cost: this.costOfLoss(ledger, name) }))
      .sort((a, b) => a.cost - b.cost);
    const chosen: string[] = [];
    for (const { name } of byCost) {
      if (missing <= 0) break;
      chosen.push(name);
      missing -= this.megabytesAt(ledger, name);
    }
    return missing > 0 ? undefined : this.withoutNeedless(ledger, chosen, -missing);
  }

  /** Spares chosen models that turn out not to be needed, dearest first. */
  private withoutNeedless(ledger: BackendLedger, chosen: string[], spare: number): string[] {
    const kept: string[] = [];
    let left = spare;
    for (const name of [...chosen].reverse()) {
      const megabytes = this.megabytesAt(ledger, name);
      if (megabytes <= left) left -= megabytes;
      else kept.push(name);
    }
    return kept.reverse();
  }

  private costOfLoss(ledger: BackendLedger, model: string): number {
    return this.worth.ofCopy(ledger, model) + this.worth.unloadMs(ledger, model);
  }

  private megabytesAt(ledger: BackendLedger, model: string): number {
    const spec = modelSpec(this.input.host, model);
    const adapters = ledger.models.get(model)?.adapters.size ?? 0;
    return (spec?.megabytes ?? 0) + adapters * (spec?.adapterMegabytes ?? 0);
  }
}

/** Expected time of an order that is about to be given. */
const RESERVED_MS = 1_500;

function loadSeconds(spec: ModelSpec, inMemory: boolean, fromStore: boolean): number {
  if (inMemory) return spec.memoryLoadSeconds;
  return fromStore ? spec.storeLoadSeconds : spec.diskLoadSeconds;
}

function sum(models: readonly string[], of: (model: string) => number): number {
  return models.reduce((total, model) => total + of(model), 0);
}
