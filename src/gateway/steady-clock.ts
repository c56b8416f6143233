/**
 * The steady clock: a monotonic clock that never jumps, unlike the time of day. It may stop while the machine is suspended, so use
 * it for delays and for measured durations; for permissions that expire use `common/lease-clock.ts`.
 */

/** Milliseconds since the process started. */
export function steadyNow(): number {
  return performance.now();
}
