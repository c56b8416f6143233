/**
 * The order in which waiting models get their turn. Models with a copy at hand go by the
 * time at which their callers are due. Those that only the weight store has compete for its
 * few places: each load costs it the same, so the place goes to the model that most ask for,
 * and the others come after all that can be loaded at once. Pure.
 */
import type { DemandSample } from './demand-report.js';
import type { PlanningInput } from './planning.js';

/** By the time at which callers are due, wherever the copies are. */
export function earliestDueOnly({ demand, now }: PlanningInput): readonly DemandSample[] {
  return demand.waiting(now);
}

/** The most asked for of those that only the store has, then all with a copy at hand, then the rest. */
export function mostAskedFromStore(input: PlanningInput): readonly DemandSample[] {
  const { demand, now } = input;
  const atHand = modelsAtHand(input);
  const near: DemandSample[] = [];
  const far: DemandSample[] = [];
  for (const sample of demand.waiting(now)) (atHand.has(sample.model) ? near : far).push(sample);
  const rates = new Map(far.map((sample) => [sample, askedRate(sample, input)]));
  far.sort((a, b) => (rates.get(b) ?? 0) - (rates.get(a) ?? 0));
  return [...far.slice(0, 1), ...near, ...far.slice(1)];
}

/** Requests a second for the model, its adapters included. */
function askedRate({ model }: DemandSample, { demand, now }: PlanningInput): number {
  return demand.rateOf({ model, adapter: undefined }, now);
}

/** Models that some backend holds, or has a copy of on its disk or in its memory. */
function modelsAtHand({ backends }: PlanningInput): Set<string> {
  const models = new Set<string>();
  for (const ledger of backends) {
    for (const model of ledger.models.keys()) models.add(model);
    for (const model of ledger.onDisk) models.add(model);
    for (const model of ledger.inMemory) models.add(model);
  }
  return models;
}
