/** Comparison of policies along their curves: idle hours at an equal share of cold requests. */
import type { ComparedDay, PolicyGroup } from './policies.js';
import type { DayResult } from './simulation.js';

const MICROSECONDS_PER_MS = 1_000;

/** Seconds at a percentile of the delay from arrival to a loaded replica, over all requests. */
export function startDelaySeconds(result: DayResult, percentile: number): number {
  const microseconds = result.startDelay.getValueAtPercentile(percentile);
  return microseconds / MICROSECONDS_PER_MS / 1000;
}

/** Share of requests that found no loaded replica. */
export function coldShare(result: DayResult): number {
  return result.coldRequests / Math.max(1, result.requests);
}

/**
 * Idle hours that a group of policies needs for a value of a measure that falls
 * as idle hours rise; straight lines between its points. Undefined outside them.
 */
export function idleHoursAt(
  days: readonly ComparedDay[],
  group: PolicyGroup,
  measure: (result: DayResult) => number,
  value: number,
): number | undefined {
  const points = days
    .filter((day) => day.group === group)
    .map((day) => ({ idle: day.result.idleHours, value: measure(day.result) }))
    .sort((a, b) => a.idle - b.idle);
  for (let index = 1; index < points.length; index++) {
    const left = points[index - 1];
    const right = points[index];
    if (left === undefined || right === undefined) continue;
    if (left.value < value || right.value > value) continue;
    const span = left.value - right.value;
    const part = span === 0 ? 0 : (left.value - value) / span;
    return left.idle + part * (right.idle - left.idle);
  }
  return undefined;
}
