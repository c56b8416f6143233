/** Limits and the window of the tests of permits. */

/** Requests a second. */
export const LIMITS = [0.3, 1, 10, 200];
/** In which backends count arrivals. */
export const WINDOW_MS = 4_000;
/** Arrivals that a limit allows in any window. */
export function allowedArrivals(perSecond: number): number {
  return (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;
}
