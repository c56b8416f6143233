/** Orders in which an owner plans loads for the models that callers wait for. Pure. */
import type { DemandSample } from './demand-report.js';
import type { Policies } from './policies.js';

/** A model or adapter that callers wait for. */
export interface WaitingModel {
  readonly sample: DemandSample;
  /** Time since which callers have been waiting for it, in milliseconds of a monotonic clock. */
  readonly waitingSince: number;
  /** Milliseconds for which callers have been waiting. */
  readonly waitedMs: number;
  /**
   * Milliseconds until the next caller, predicted from the recent request rate, needs it loaded.
   */
  readonly nextDueInMs: number;
}

/** Compares two models; negative if the first is planned before the second. */
export type WaitingModelComparator = (first: WaitingModel, second: WaitingModel) => number;

/**
 * Orders by the earliest time at which a caller needs the model: a waiting caller, one that
 * was refused with a time to retry, or the next expected one. The last prevents that a popular
 * model is delayed because its first callers were given a late retry time. An overdue caller
 * is due again some goals later, so that no model starves.
 */
export const earliestDueFirst: WaitingModelComparator = (first, second) =>
  dueInMs(first) - dueInMs(second);

function dueInMs({ sample, nextDueInMs }: WaitingModel): number {
  return Math.min(sample.dueInMs, nextDueInMs);
}

/** Orders by the time since which callers have been waiting. */
export const firstComeFirst: WaitingModelComparator = (first, second) =>
  first.waitingSince - second.waitingSince;

/**
 * Milliseconds of waiting after which a model goes before models with more callers, so that no
 * requested model starves. By then, callers that were refused with a retry time have returned.
 */
const MAX_PASSED_OVER_MS = 8_000;

/**
 * Orders by the number of callers that a load serves: if fewer loads are possible than models
 * are requested, one load serves all callers of the same model. Ties go to the earliest due.
 * A model that has waited for {@link MAX_PASSED_OVER_MS} goes before all others.
 */
export const mostCallersFirst: WaitingModelComparator = (first, second) => {
  const overdueDifference = overdueWaitMs(second) - overdueWaitMs(first);
  if (overdueDifference !== 0) return overdueDifference;
  const callers = second.sample.waiting - first.sample.waiting;
  return callers !== 0 ? callers : earliestDueFirst(first, second);
};

/** Milliseconds waited if the model has waited for {@link MAX_PASSED_OVER_MS} or longer; else 0. */
function overdueWaitMs({ waitedMs }: WaitingModel): number {
  return waitedMs < MAX_PASSED_OVER_MS ? 0 : waitedMs;
}

/** Returns the order that the policies select. */
export function comparatorForPolicies(policies: Policies): WaitingModelComparator {
  if (policies.mostCallersFirst) return mostCallersFirst;
  return policies.earliestDueFirst ? earliestDueFirst : firstComeFirst;
}
