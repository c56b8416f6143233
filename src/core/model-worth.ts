/** What the copies of the models are worth, in milliseconds of callers' waiting. Pure. */
import { isUnloadOf, modelRank, modelSpec, type BackendLedger } from './backend-ledger.js';
import { CopyQuality } from './capacity/copy-quality.js';
import type { PlanningInput } from './planning.js';
import type { ModelReference } from './service-configuration.js';

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
/**
 * Share of the slots of a model's copies from which on its callers queue at them: more wait
 * there than for a rare model, so its next copy goes first. Well below 1, for the load varies
 * around its mean: where that nearly fills the slots, streams already begin late.
 */
const CROWDED_SLOTS_SHARE = 0.75;

/** Worth of the models of one service, for one round of planning. */
export class ModelWorth {
  private readonly awaited: ReadonlySet<string>;
  private readonly copyCounts: Map<string, number>;
  private readonly fullCounts: Map<string, number>;
  /** As far as asked for. */
  private readonly urgentRates = new Map<string, number>();
  /** How good copies are by where they lie. */
  readonly quality: CopyQuality;

  constructor(private readonly input: PlanningInput) {
    const waiting = input.demand.waiting(input.now);
    this.awaited = new Set(waiting.map((sample) => sample.model));
    this.quality = new CopyQuality(input.capacity, input.backends, input.now);
    this.copyCounts = countCopies(input.backends, () => 1);
    this.fullCounts = countCopies(input.backends, (ledger, model) =>
      this.quality.ofCopy(ledger, model),
    );
  }

  /** Copies that are held and stay, or are being loaded. */
  copies(model: string): number {
    return this.copyCounts.get(model) ?? 0;
  }

  /** The same, copies at places that suit the model badly counted in part. */
  fullCopies(model: string): number {
    return this.fullCounts.get(model) ?? 0;
  }

  /** This round has ordered a load of the model. */
  noteLoad(model: string): void {
    this.copyCounts.set(model, this.copies(model) + 1);
    this.fullCounts.set(model, this.fullCopies(model) + 1);
  }

  /** Whether callers of a model queue at its copies; those that are coming count, for they will take their part. */
  isCrowded(model: string): boolean {
    return this.wouldCrowd(model, this.fullCopies(model));
  }

  private wouldCrowd(model: string, copies: number): boolean {
    const { host, demand, now } = this.input;
    const slots = copies * host.slots;
    return slots > 0 && demand.inFlightOf(model, now) >= slots * CROWDED_SLOTS_SHARE;
  }

  /** Urgent requests a second for a model; the same all through a round. */
  urgentRate(model: string): number {
    const known = this.urgentRates.get(model);
    if (known !== undefined) return known;
    const rate = this.input.demand.urgentRate(reference(model), this.input.now);
    this.urgentRates.set(model, rate);
    return rate;
  }

  /** What the loss of the copy at a backend would cost. */
  ofCopy(ledger: BackendLedger, model: string): number {
    const { demand, now } = this.input;
    const patient = demand.patientRate(reference(model), now) * this.patientWorth(model);
    const prior = LISTED_FIRST_WORTH / (1 + modelRank(this.input.host, model));
    const lasting = this.urgentRate(model) * URGENT_WORTH + patient + prior;
    const lost = this.partOf(ledger, model);
    const awaited = this.copies(model) <= 1 && this.awaited.has(model) ? AWAITED_WORTH : 0;
    const loadedAt = ledger.models.get(model)?.loadedAt ?? -Infinity;
    const fresh = now - loadedAt < FRESH_MS ? FRESH_WORTH : 0;
    return lost * lasting + awaited + fresh;
  }

  /** Part of what a model's copies are worth that goes with one: a quarter with one of two as good. */
  private partOf(ledger: BackendLedger, model: string): number {
    const copies = this.fullCopies(model);
    const quality = this.quality.ofCopy(ledger, model);
    const share = copies === 0 ? 1 : quality / copies;
    return this.isNeeded(model, copies - quality) ? share : share / Math.max(1, copies);
  }

  /**
   * Worth of a copy for one request a second that leaves time for a load: what the load, and the
   * unload that makes room for it, take of its goal. Where callers ask for more models than
   * there are places, each copy that goes is soon loaded again, and its callers wait.
   */
  private patientWorth(model: string): number {
    const { demand, host, policies, unloadTimes } = this.input;
    if (!policies.copyWorthByCallers) return PATIENT_WORTH;
    const goalMs = demand.patientGoalMs(reference(model));
    const spec = modelSpec(host, model);
    if (goalMs === undefined || spec === undefined) return PATIENT_WORTH;
    const reloadMs = 1_000 * spec.diskLoadSeconds + unloadTimes.expected(true);
    return URGENT_WORTH * Math.min(1, reloadMs / goalMs);
  }

  /** What one more copy would be worth: what its loss would cost once it is there, so that no copy is moved to and fro. */
  ofFurtherCopy(model: string): number {
    const copies = this.fullCopies(model);
    const sharers = this.isNeeded(model, copies) ? copies + 1 : (copies + 1) ** 2;
    return (this.urgentRate(model) * URGENT_WORTH) / sharers;
  }

  /**
   * Whether the others can't take over the callers of one copy: then it counts for its whole
   * part of the callers, and otherwise for less, because the others have room.
   */
  private isNeeded(model: string, others: number): boolean {
    return this.input.policies.relieveCrowdedCopies && this.wouldCrowd(model, others);
  }

  /** Expected time of an unload. */
  unloadMs(ledger: BackendLedger, model: string): number {
    const running = this.input.demand.inFlight(ledger.id, reference(model), this.input.now);
    return this.input.unloadTimes.expected(running > 0);
  }
}

function countCopies(
  backends: readonly BackendLedger[],
  partOf: (ledger: BackendLedger, model: string) => number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const ledger of backends) {
    const add = (model: string): void => {
      counts.set(model, (counts.get(model) ?? 0) + partOf(ledger, model));
    };
    const order = ledger.currentOrder;
    for (const model of ledger.models.keys()) {
      if (order === undefined || !isUnloadOf(order, model)) add(model);
    }
    const isComing = order?.operation === 'load' && order.adapter === undefined;
    if (isComing && !ledger.models.has(order.model)) add(order.model);
  }
  return counts;
}

function reference(model: string): ModelReference {
  return { model, adapter: undefined };
}
