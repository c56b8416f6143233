/**
 * Chooses the backend that loads an adapter, and the adapter to unload when there is no room. Pure.
 */
import { adapterKey, modelSpec, type BackendLedger } from './backend-ledger.js';
import type { LoadCandidates } from './load-candidates.js';
import type { ModelOrder } from './model-order.js';
import type { PlannedOrder, PlanningInput } from './planning.js';
import type { ModelReference } from './service-configuration.js';

/** Expected duration of an adapter load. */
const ADAPTER_LOAD_MS = 60;
/** Maximum number of adapters that may be loading at one backend at a time. */
const MAX_LOADING_ADAPTERS = 4;

/** Plans adapter loads and unloads for one planning round. */
export class AdapterPlan {
  constructor(
    private readonly input: PlanningInput,
    private readonly candidates: LoadCandidates,
  ) {}

  /** Returns the backends that have the model loaded. */
  holders(model: string): BackendLedger[] {
    return this.input.backends.filter((ledger) => ledger.models.has(model));
  }

  /** Whether any backend has the adapter loaded and is not unloading it, or is loading it. */
  isLoadedOrLoading(requested: ModelReference): boolean {
    const key = adapterKey(requested);
    return this.input.backends.some((ledger) => {
      const { sent } = ledger;
      const isSent = sent?.operation === 'load' && adapterKey(sent) === key;
      return isSent || ledger.loadingAdapters.has(key) || keepsAdapter(ledger, requested);
    });
  }

  /** Returns the next order needed to load the adapter; undefined if no order can be given now. */
  nextOrder(
    requested: ModelReference,
    holders: readonly BackendLedger[],
  ): PlannedOrder | undefined {
    const usable = holders.filter(
      (ledger) => ledger.canSendAdapterOrder && !this.candidates.isReserved(ledger.id),
    );
    const [target] = usable
      .filter((ledger) => this.hasRoom(ledger, requested.model))
      .sort((a, b) => a.usedAdapterSlots() - b.usedAdapterSlots());
    if (target !== undefined) {
      const { model, adapter } = requested;
      const order: ModelOrder = { operation: 'load', model, adapter };
      return toPlannedOrder(target, order, ADAPTER_LOAD_MS, 'adapter waits');
    }
    if (usable.some((ledger) => ledger.loadingAdapters.size > 0)) return undefined;
    return this.unloadLeastUsedAdapter(usable);
  }

  /**
   * Milliseconds until the adapter is loaded at one of the holders; work queued at a backend goes
   * first.
   */
  readyInMs(holders: readonly BackendLedger[]): number {
    const waits = holders.map((ledger) => this.candidates.waitMs(ledger));
    return Math.min(...waits) + ADAPTER_LOAD_MS;
  }

  private hasRoom(ledger: BackendLedger, model: string): boolean {
    const { host } = this.input;
    const size = modelSpec(host, model)?.adapterMegabytes ?? 0;
    if (ledger.loadingAdapters.size >= MAX_LOADING_ADAPTERS) return false;
    if (ledger.usedAdapterSlots() >= host.adapterSlots) return false;
    return ledger.usedMegabytes(host) + size <= host.megabytes;
  }

  /** Unloads the adapter with the lowest request rate among those without requests in flight. */
  private unloadLeastUsedAdapter(holders: readonly BackendLedger[]): PlannedOrder | undefined {
    const { demand, now } = this.input;
    let best: { ledger: BackendLedger; order: ModelOrder; rate: number } | undefined;
    for (const ledger of holders) {
      for (const candidate of adaptersOf(ledger)) {
        if (demand.inFlight(ledger.id, candidate, now) > 0) continue;
        const rate = demand.urgentRate(candidate, now) + demand.delayTolerantRate(candidate, now);
        if (best !== undefined && rate >= best.rate) continue;
        best = { ledger, order: { operation: 'unload', ...candidate }, rate };
      }
    }
    return best && toPlannedOrder(best.ledger, best.order, 0, 'room for an adapter');
  }
}

function adaptersOf(ledger: BackendLedger): ModelReference[] {
  return [...ledger.models].flatMap(([model, held]) =>
    [...held.adapters].map((adapter) => ({ model, adapter })),
  );
}

function keepsAdapter(ledger: BackendLedger, requested: ModelReference): boolean {
  const { model, adapter } = requested;
  const order = ledger.currentOrder;
  const isLeaving =
    order?.operation === 'unload' && order.model === model && order.adapter === adapter;
  if (adapter === undefined || isLeaving) return false;
  return ledger.models.get(model)?.adapters.has(adapter) === true;
}

function toPlannedOrder(
  ledger: BackendLedger,
  order: ModelOrder,
  durationMs: number,
  reason: string,
): PlannedOrder {
  return { backend: ledger.id, order, durationMs, copy: undefined, reason };
}
