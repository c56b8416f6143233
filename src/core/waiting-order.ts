/** The order in which an owner attends to the models that callers wait for. Pure. */
import type { DemandSample } from './demand-report.js';

/** A model or adapter that callers wait for. */
export interface AwaitedModel {
  readonly sample: DemandSample;
  /** Steady milliseconds since when somebody has waited for it. */
  readonly since: number;
  /** Milliseconds until the next caller, as many as there were lately, should find it. */
  readonly nextDueInMs: number;
}

/** Negative if the first comes before the second. */
export type WaitingOrder = (first: AwaitedModel, second: AwaitedModel) => number;

/**
 * By the time at which the first caller should find the model: one that waits,
 * one that was told to come back, or the next one that is to be expected, so that
 * a model that many ask for does not rest on the promises made to the first of
 * them. A caller whose time has passed is due again some goals later, so that
 * every turn comes.
 */
export const earliestDueFirst: WaitingOrder = (first, second) => dueInMs(first) - dueInMs(second);

function dueInMs({ sample, nextDueInMs }: AwaitedModel): number {
  return Math.min(sample.dueInMs, nextDueInMs);
}

/** By the time since when somebody has waited. */
export const firstComeFirst: WaitingOrder = (first, second) => first.since - second.since;
