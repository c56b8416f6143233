/**
 * The steady clock: unlike the time of day it never jumps. It stands still while the machine is suspended, so it counts what must
 * be waited for, and what takes time; what may be done up to a time is counted by `common/lease-clock.ts`.
 */

/** Milliseconds since the process started. */
export function steadyNow(): number {
  return performance.now();
}
