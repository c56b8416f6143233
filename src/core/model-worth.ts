/** What the copies of the models are worth, in milliseconds of callers' waiting. Pure. */
import { isLoadOf, isUnloadOf, type BackendLedger } from './backend-ledger.js';
import type { PlanningInput } from './placement-planner.js';
import type { ModelReference } from './service-configuration.js';

/** Time of an unload without running requests. */
const UNLOAD_MS = 100;
/** Expected time until a running request has ended. */
const RUNNING_REQUEST_MS = 1_500;
/** Worth of a copy for one request a second. */
const URGENT_WORTH = 4_000;
const PATIENT_WORTH = 400;
/** Worth of a copy for which requests wait. */
const AWAITED_WORTH = 4_000;
/** Worth of the model that operators list first; they list their busiest first. */
const LISTED_FIRST_WORTH = 600;
/** A model that was loaded so lately has not been used yet. */
const FRESH_MS = 900;
const FRESH_WORTH = 8_000;

/** Worth of the models of one service, for one round of planning. */
export class ModelWorth {
  private readonly awaited: ReadonlySet<string>;
  private readonly ranks: ReadonlyMap<string, number>;

  /** @param isOrdered - Whether this round has ordered a load of the model. */
  constructor(
    private readonly input: PlanningInput,
    private readonly isOrdered: (model: string) => boolean,
  ) {
    const waiting = input.demand.waiting(input.now);
    this.awaited = new Set(waiting.map((sample) => sample.model));
    this.ranks = new Map(input.host.models.map((spec, rank) => [spec.name, rank]));
  }

  /** Copies that are held and stay, or are being loaded. */
  copies(model: string): number {
    let count = this.isOrdered(model) ? 1 : 0;
    for (const ledger of this.input.backends) {
      const order = ledger.currentOrder;
      const isLeaving = order !== undefined && isUnloadOf(order, model);
      const isComing = order !== undefined && isLoadOf(order, model);
      if ((ledger.models.has(model) && !isLeaving) || isComing) count += 1;
    }
    return count;
  }

  /** Urgent requests a second for a model. */
  urgentRate(model: string): number {
    return this.input.demand.urgentRate(reference(model), this.input.now);
  }

  /** What the loss of the copy at a backend would cost. */
  ofCopy(ledger: BackendLedger, model: string): number {
    const { demand, now } = this.input;
    const patient = demand.patientRate(reference(model), now) * PATIENT_WORTH;
    const prior = LISTED_FIRST_WORTH / (1 + (this.ranks.get(model) ?? this.ranks.size));
    const lasting = this.urgentRate(model) * URGENT_WORTH + patient + prior;
    const copies = Math.max(1, this.copies(model));
    const awaited = copies === 1 && this.awaited.has(model) ? AWAITED_WORTH : 0;
    const loadedAt = ledger.models.get(model)?.loadedAt ?? -Infinity;
    const fresh = now - loadedAt < FRESH_MS ? FRESH_WORTH : 0;
    return lasting / copies ** 2 + awaited + fresh;
  }

  /** What one more copy would be worth. */
  ofFurtherCopy(model: string): number {
    return (this.urgentRate(model) * URGENT_WORTH) / (this.copies(model) + 1);
  }

  /** Expected time of an unload. */
  unloadMs(ledger: BackendLedger, model: string): number {
    const running = this.input.demand.inFlight(ledger.id, reference(model), this.input.now);
    return UNLOAD_MS + (running > 0 ? RUNNING_REQUEST_MS : 0);
  }
}

function reference(model: string): ModelReference {
  return { model, adapter: undefined };
}
