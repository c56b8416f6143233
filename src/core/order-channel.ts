/**
 * What it costs to keep a backend from other orders. A backend carries out one
 * order at a time, so a long load keeps the copies at hand there from being
 * loaded for callers who ask for them meanwhile. Pure.
 */
import type { BackendLedger } from './backend-ledger.js';
import type { PlanningInput } from './planning.js';

/** Prices the time for which an order takes a backend's order channel. */
export interface OrderChannelCost {
  /** Expected waiting of callers, in milliseconds, while an order of `durationMs` runs. */
  ofOrder(ledger: BackendLedger, durationMs: number): number;
}

/** The channel costs nothing. */
export class FreeOrderChannel implements OrderChannelCost {
  ofOrder(): number {
    return 0;
  }
}

/**
 * Prices it by the requests that are to be expected for models with a copy at
 * hand there and loaded nowhere, and for adapters of the models that it holds: none
 * can be loaded there meanwhile. For one round of planning.
 */
export class ExpectedCallersCost implements OrderChannelCost {
  /** Requests a second that only an order at the backend could serve soon; worked out when first asked for. */
  private rates: ReadonlyMap<string, number> | undefined;

  constructor(private readonly input: PlanningInput) {}

  ofOrder(ledger: BackendLedger, durationMs: number): number {
    this.rates ??= this.ratesOfBackends();
    const callers = ((this.rates.get(ledger.id) ?? 0) * durationMs) / 1_000;
    // They come at any time of it, and so wait for half of it.
    return callers * (durationMs / 2);
  }

  private ratesOfBackends(): Map<string, number> {
    const { backends, demand, host, now } = this.input;
    const rates = new Map<string, number>();
    const copies = backendsByModel(backends, loadedModels);
    const holders = backendsByModel(backends, copiesAtHand);
    const adapterRates = demand.adapterRates(now);
    const usualRate = demand.totalRate(now) / Math.max(1, host.models.length);
    for (const ledger of backends) {
      let rate = 0;
      for (const model of loadedModels(ledger)) {
        rate += (adapterRates.get(model) ?? 0) / (copies.get(model) ?? 1);
      }
      for (const model of copiesAtHand(ledger)) {
        if (copies.has(model)) continue;
        const modelRate = Math.max(usualRate, demand.rateOf({ model, adapter: undefined }, now));
        rate += modelRate / (holders.get(model) ?? 1);
      }
      rates.set(ledger.id, rate);
    }
    return rates;
  }
}

/** Models that a backend holds loaded. */
function loadedModels(ledger: BackendLedger): Iterable<string> {
  return ledger.models.keys();
}

/** Models with a copy on the backend's disk or in its host memory. */
function copiesAtHand(ledger: BackendLedger): Set<string> {
  return new Set([...ledger.onDisk, ...ledger.inMemory]);
}

/** Backends of each model, by what is looked at of a backend. */
function backendsByModel(
  backends: readonly BackendLedger[],
  modelsOf: (ledger: BackendLedger) => Iterable<string>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const ledger of backends) {
    for (const model of modelsOf(ledger)) counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}
