/** The steady clock: unlike the time of day it never jumps. */

/** Milliseconds since the process started. */
export function steadyNow(): number {
  return performance.now();
}
