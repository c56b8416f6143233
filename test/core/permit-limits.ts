/** Rate limits and the measuring window for tests of permits. */

/** Limits in requests a second. */
export const LIMITS = [0.3, 1, 10, 200];
/** Window in which backends count arrivals. */
export const WINDOW_MS = 4_000;
/** Returns the number of arrivals that a limit allows in any window. */
export function allowedArrivals(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;
}
