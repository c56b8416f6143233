/** Worth of model copies, in milliseconds of callers' waiting time. Pure. */
import { isUnloadOf, modelRank, modelSpec, type BackendLedger } from './backend-ledger.js';
import { CopyQuality } from './capacity/copy-quality.js';
import type { PlanningInput } from './planning.js';
import type { ModelReference } from './service-configuration.js';

/**
 * Worth of a copy per urgent request a second, and per request a second that leaves time for a
 * load.
 */
const WORTH_PER_URGENT_RATE = 4_000;
const WORTH_PER_DELAY_TOLERANT_RATE = 400;
/** Additional worth of the only copy of a model that requests are waiting for. */
const WORTH_OF_AWAITED_COPY = 4_000;
/**
 * Worth of the model listed first in the configuration; operators list their busiest models first.
 */
const WORTH_OF_FIRST_LISTED = 600;
/** Milliseconds after a load during which the model may not have been used yet. */
const NEWLY_LOADED_MS = 900;
const WORTH_OF_NEWLY_LOADED = 8_000;
/**
 * Share of the slots of a model's copies from which its callers are assumed to queue. More callers
 * wait there than for a rare model, so a further copy is loaded first. The share is well below 1
 * because the load varies: when its mean nearly fills the slots, streams already start late.
 */
const CROWDED_SLOTS_SHARE = 0.75;

/** Worth of the models of one service, for one planning round. */
export class ModelWorth {
  private readonly awaited: ReadonlySet<string>;
  private readonly copyCounts: Map<string, number>;
  private readonly effectiveCounts: Map<string, number>;
  /** Cache: urgent requests per second by model. */
  private readonly urgentRates = new Map<string, number>();
  /** Quality of copies by the backend that has them. */
  readonly quality: CopyQuality;

  constructor(private readonly input: PlanningInput) {
    const waiting = input.demand.waiting(input.now);
    this.awaited = new Set(waiting.map((sample) => sample.model));
    this.quality = new CopyQuality(input.capacity, input.backends, input.now);
    this.copyCounts = countCopies(input.backends, () => 1);
    this.effectiveCounts = countCopies(input.backends, (ledger, model) =>
      this.quality.copyQuality(ledger, model),
    );
  }

  /** Number of copies that are loaded and not being unloaded, or are being loaded. */
  copies(model: string): number {
    return this.copyCounts.get(model) ?? 0;
  }

  /**
   * Like {@link copies}, but a copy at a backend that suits the model badly counts only in part.
   */
  effectiveCopies(model: string): number {
    return this.effectiveCounts.get(model) ?? 0;
  }

  /** Counts a copy whose load was ordered in this round. */
  recordLoad(model: string): void {
    this.copyCounts.set(model, this.copies(model) + 1);
    this.effectiveCounts.set(model, this.effectiveCopies(model) + 1);
  }

  /**
   * Whether callers queue at a model's copies; copies being loaded count, because they will serve a
   * part of the callers.
   */
  isCrowded(model: string): boolean {
    return this.wouldCrowd(model, this.effectiveCopies(model));
  }

  private wouldCrowd(model: string, copies: number): boolean {
    const { host, demand, now } = this.input;
    const slots = copies * host.slots;
    return slots > 0 && demand.inFlightOf(model, now) >= slots * CROWDED_SLOTS_SHARE;
  }

  /** Urgent requests per second for a model; constant within a round. */
  urgentRate(model: string): number {
    const cached = this.urgentRates.get(model);
    if (cached !== undefined) return cached;
    const rate = this.input.demand.urgentRate(reference(model), this.input.now);
    this.urgentRates.set(model, rate);
    return rate;
  }

  /** Cost of losing the copy at a backend, in milliseconds. */
  copyWorth(ledger: BackendLedger, model: string): number {
    const { demand, now } = this.input;
    const tolerantWorth =
      demand.delayTolerantRate(reference(model), now) * this.delayTolerantWorth(model);
    const listedWorth = WORTH_OF_FIRST_LISTED / (1 + modelRank(this.input.host, model));
    const lastingWorth =
      this.urgentRate(model) * WORTH_PER_URGENT_RATE + tolerantWorth + listedWorth;
    const lostShare = this.shareOf(ledger, model);
    const awaitedWorth =
      this.copies(model) <= 1 && this.awaited.has(model) ? WORTH_OF_AWAITED_COPY : 0;
    const loadedAt = ledger.models.get(model)?.loadedAt ?? -Infinity;
    const newlyLoadedWorth = now - loadedAt < NEWLY_LOADED_MS ? WORTH_OF_NEWLY_LOADED : 0;
    return lostShare * lastingWorth + awaitedWorth + newlyLoadedWorth;
  }

  /**
   * Share of the total worth of a model's copies that is lost with one copy: a quarter for one of
   * two equally good copies.
   */
  private shareOf(ledger: BackendLedger, model: string): number {
    const copies = this.effectiveCopies(model);
    const quality = this.quality.copyQuality(ledger, model);
    const share = copies === 0 ? 1 : quality / copies;
    return this.isNeeded(model, copies - quality) ? share : share / Math.max(1, copies);
  }

  /**
   * Worth of a copy per request a second that leaves time for a load: the share of its latency
   * goal that a reload and the preceding unload take. If callers request more models than fit
   * in memory, each evicted copy is soon loaded again, and its callers wait.
   */
  private delayTolerantWorth(model: string): number {
    const { demand, host, policies, unloadTimes } = this.input;
    if (!policies.copyWorthByCallers) return WORTH_PER_DELAY_TOLERANT_RATE;
    const goalMs = demand.delayTolerantGoalMs(reference(model));
    const spec = modelSpec(host, model);
    if (goalMs === undefined || spec === undefined) return WORTH_PER_DELAY_TOLERANT_RATE;
    const reloadMs = 1_000 * spec.diskLoadSeconds + unloadTimes.expected(true);
    return WORTH_PER_URGENT_RATE * Math.min(1, reloadMs / goalMs);
  }

  /**
   * Worth of one more copy: the cost of losing it once it is loaded, so that no copy is moved back
   * and forth.
   */
  furtherCopyWorth(model: string): number {
    const copies = this.effectiveCopies(model);
    const divisor = this.isNeeded(model, copies) ? copies + 1 : (copies + 1) ** 2;
    return (this.urgentRate(model) * WORTH_PER_URGENT_RATE) / divisor;
  }

  /**
   * Whether the other copies cannot take over the callers of one copy. If they cannot, the copy
   * counts for its whole share of the callers; otherwise for less, because the others have room.
   */
  private isNeeded(model: string, others: number): boolean {
    return this.input.policies.relieveCrowdedCopies && this.wouldCrowd(model, others);
  }

  /** Expected duration of an unload, in milliseconds. */
  unloadMs(ledger: BackendLedger, model: string): number {
    const running = this.input.demand.inFlight(ledger.id, reference(model), this.input.now);
    return this.input.unloadTimes.expected(running > 0);
  }
}

function countCopies(
  backends: readonly BackendLedger[],
  shareOf: (ledger: BackendLedger, model: string) => number,
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const ledger of backends) {
    const add = (model: string): void => {
      counts.set(model, (counts.get(model) ?? 0) + shareOf(ledger, model));
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
