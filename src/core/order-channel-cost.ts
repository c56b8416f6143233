/**
 * Cost of occupying a backend with an order. A backend carries out one order at a
 * time, so during a long load it cannot load models from its own disk or host memory
 * for callers that request them. Pure.
 */
import type { BackendLedger } from './backend-ledger.js';
import type { PlanningInput } from './planning.js';

/** Computes the cost of the time for which an order occupies a backend. */
export interface OrderChannelCost {
  /**
   * Expected total waiting time of callers, in milliseconds, caused by an order that takes
   * `durationMs`.
   */
  orderCostMs(ledger: BackendLedger, durationMs: number): number;
}

/** Assigns no cost to occupying a backend. */
export class ZeroOrderChannelCost implements OrderChannelCost {
  orderCostMs(): number {
    return 0;
  }
}

/**
 * Derives the cost from the requests expected for models that have weights on the backend's
 * disk or in its host memory and are loaded at no backend, and for adapters of the models that
 * it has loaded: none of these can be loaded there during the order. Valid for one planning round.
 */
export class ExpectedDelayCost implements OrderChannelCost {
  /**
   * Requests per second that need an order at the backend to be served soon, by backend; computed
   * on first use.
   */
  private rates: ReadonlyMap<string, number> | undefined;

  constructor(private readonly input: PlanningInput) {}

  orderCostMs(ledger: BackendLedger, durationMs: number): number {
    this.rates ??= this.computeRates();
    const callers = ((this.rates.get(ledger.id) ?? 0) * durationMs) / 1_000;
    // Callers arrive evenly over the order's duration, so each waits half of it on average.
    return callers * (durationMs / 2);
  }

  private computeRates(): Map<string, number> {
    const { backends, demand, host, now } = this.input;
    const rates = new Map<string, number>();
    const copies = countBackendsByModel(backends, loadedModels);
    const holders = countBackendsByModel(backends, locallyStoredModels);
    const adapterRates = demand.adapterRates(now);
    const usualRate = demand.totalRate(now) / Math.max(1, host.models.length);
    for (const ledger of backends) {
      let rate = 0;
      for (const model of loadedModels(ledger)) {
        rate += (adapterRates.get(model) ?? 0) / (copies.get(model) ?? 1);
      }
      for (const model of locallyStoredModels(ledger)) {
        if (copies.has(model)) continue;
        const modelRate = Math.max(usualRate, demand.rateOf({ model, adapter: undefined }, now));
        rate += modelRate / (holders.get(model) ?? 1);
      }
      rates.set(ledger.id, rate);
    }
    return rates;
  }
}

/** Models that are loaded at a backend. */
function loadedModels(ledger: BackendLedger): Iterable<string> {
  return ledger.models.keys();
}

/** Models whose weights are on the backend's disk or in its host memory. */
function locallyStoredModels(ledger: BackendLedger): Set<string> {
  return new Set([...ledger.onDisk, ...ledger.inMemory]);
}

/** Counts, for each model that `modelsOf` returns, the backends for which it is returned. */
function countBackendsByModel(
  backends: readonly BackendLedger[],
  modelsOf: (ledger: BackendLedger) => Iterable<string>,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const ledger of backends) {
    for (const model of modelsOf(ledger)) counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}
