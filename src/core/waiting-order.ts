/** The order in which an owner attends to the models that callers wait for. Pure. */
import type { DemandSample } from './demand-report.js';
import type { Policies } from './policies.js';

/** A model or adapter that callers wait for. */
export interface AwaitedModel {
  readonly sample: DemandSample;
  /** Steady milliseconds since when somebody has waited for it. */
  readonly since: number;
  /** Milliseconds since then. */
  readonly waitedMs: number;
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

/**
 * Longest time for which a model is passed over for others with more callers: whoever was told
 * to come back has come by then, and each model that is asked for has its turn.
 */
const LONGEST_TURN_MS = 8_000;

/**
 * By how many callers a load serves: where there are fewer loads than models asked for, one
 * serves all who wait for the same. The earliest due goes first among equals, and whoever
 * has been passed over for too long before all.
 */
export const mostCallersFirst: WaitingOrder = (first, second) => {
  const turn = turnMs(second) - turnMs(first);
  if (turn !== 0) return turn;
  const callers = second.sample.waiting - first.sample.waiting;
  return callers !== 0 ? callers : earliestDueFirst(first, second);
};

/** How long its turn has been due; 0 if it is not. */
function turnMs({ waitedMs }: AwaitedModel): number {
  return waitedMs < LONGEST_TURN_MS ? 0 : waitedMs;
}

/** The order that the policies name. */
export function waitingOrderOf(policies: Policies): WaitingOrder {
  if (policies.mostCallersFirst) return mostCallersFirst;
  return policies.earliestDueFirst ? earliestDueFirst : firstComeFirst;
}
