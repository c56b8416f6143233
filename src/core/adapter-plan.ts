/** Where an adapter is loaded, and which one makes way for it. Pure. */
import { adapterKey, modelSpec, type BackendLedger } from './backend-ledger.js';
import type { LoadPlaces } from './load-place.js';
import type { ModelOrder } from './model-order.js';
import type { PlannedOrder, PlanningInput } from './planning.js';
import type { ModelReference } from './service-configuration.js';

/** Expected time of an adapter's load. */
const ADAPTER_LOAD_MS = 60;
/** Adapters that may be on their way to one backend. */
const MOST_COMING_ADAPTERS = 4;

/** Plans adapters in one round. */
export class AdapterPlan {
  constructor(
    private readonly input: PlanningInput,
    private readonly places: LoadPlaces,
  ) {}

  /** Backends that hold the model. */
  holders(model: string): BackendLedger[] {
    return this.input.backends.filter((ledger) => ledger.models.has(model));
  }

  /** Whether some backend holds the adapter for good, or is loading it. */
  isHeldOrComing(wanted: ModelReference): boolean {
    const key = adapterKey(wanted);
    return this.input.backends.some((ledger) => {
      const { sent } = ledger;
      const isSent = sent?.operation === 'load' && adapterKey(sent) === key;
      return isSent || ledger.comingAdapters.has(key) || holdsAdapter(ledger, wanted);
    });
  }

  /** The next order towards the adapter; undefined if it has to wait. */
  next(wanted: ModelReference, holders: readonly BackendLedger[]): PlannedOrder | undefined {
    const usable = holders.filter(
      (ledger) => ledger.takesAdapterOrder && !this.places.isReserved(ledger.id),
    );
    const [place] = usable
      .filter((ledger) => this.hasRoom(ledger, wanted.model))
      .sort((a, b) => a.usedAdapterSlots() - b.usedAdapterSlots());
    if (place !== undefined) {
      const { model, adapter } = wanted;
      const order: ModelOrder = { operation: 'load', model, adapter };
      return planned(place, order, ADAPTER_LOAD_MS, 'adapter waits');
    }
    if (usable.some((ledger) => ledger.comingAdapters.size > 0)) return undefined;
    return this.makeRoom(usable);
  }

  /** Milliseconds until one of the holders can take the adapter: each load there comes first. */
  readyInMs(holders: readonly BackendLedger[]): number {
    const waits = holders.map((ledger) => this.places.waitMs(ledger));
    return Math.min(...waits) + ADAPTER_LOAD_MS;
  }

  private hasRoom(ledger: BackendLedger, model: string): boolean {
    const { host } = this.input;
    const size = modelSpec(host, model)?.adapterMegabytes ?? 0;
    if (ledger.comingAdapters.size >= MOST_COMING_ADAPTERS) return false;
    if (ledger.usedAdapterSlots() >= host.adapterSlots) return false;
    return ledger.usedMegabytes(host) + size <= host.megabytes;
  }

  /** Unloads the adapter in least demand that no request uses. */
  private makeRoom(holders: readonly BackendLedger[]): PlannedOrder | undefined {
    const { demand, now } = this.input;
    let best: { ledger: BackendLedger; order: ModelOrder; rate: number } | undefined;
    for (const ledger of holders) {
      for (const candidate of adaptersOf(ledger)) {
        if (demand.inFlight(ledger.id, candidate, now) > 0) continue;
        const rate = demand.urgentRate(candidate, now) + demand.patientRate(candidate, now);
        if (best !== undefined && rate >= best.rate) continue;
        best = { ledger, order: { operation: 'unload', ...candidate }, rate };
      }
    }
    return best && planned(best.ledger, best.order, 0, 'room for an adapter');
  }
}

function adaptersOf(ledger: BackendLedger): ModelReference[] {
  return [...ledger.models].flatMap(([model, held]) =>
    [...held.adapters].map((adapter) => ({ model, adapter })),
  );
}

function holdsAdapter(ledger: BackendLedger, wanted: ModelReference): boolean {
  const { model, adapter } = wanted;
  const order = ledger.currentOrder;
  const isLeaving =
    order?.operation === 'unload' && order.model === model && order.adapter === adapter;
  if (adapter === undefined || isLeaving) return false;
  return ledger.models.get(model)?.adapters.has(adapter) === true;
}

function planned(
  ledger: BackendLedger,
  order: ModelOrder,
  durationMs: number,
  reason: string,
): PlannedOrder {
  return { backend: ledger.id, order, durationMs, copy: undefined, reason };
}
