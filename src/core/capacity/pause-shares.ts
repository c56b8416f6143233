/**
 * Distribution of the ratio of a stream's longest pause to its usual gap, as shares of streams by ratio
 * class. It reflects the periods in which backends are slow, and is learned over a whole service. No I/O.
 */

/** Lower bounds of the ratio classes; the first class also takes all smaller ratios. */
export const PAUSE_RATIO_CLASSES: readonly number[] = [1, 1.25, 1.5, 2, 2.5, 3, 4, 6];

/** Default shares of streams whose longest pause reaches each class, until shares are learned: those of undisturbed backends. */
export const DEFAULT_PAUSE_SHARES: readonly number[] = [1, 0.7, 0.4, 0.2, 0.12, 0.08, 0.04, 0.02];

/** Returns the index of a ratio's class. */
export function pauseRatioClass(ratio: number): number {
  let classIndex = 0;
  for (const [index, from] of PAUSE_RATIO_CLASSES.entries()) if (ratio >= from) classIndex = index;
  return classIndex;
}

/**
 * Share of streams whose longest pause exceeds `ratio` times their usual gap, interpolated between the
 * classes on the logarithm of the ratio. It is 1 for ratios up to 1.
 *
 * @param shares - One per class, in descending order.
 */
export function shareBeyond(ratio: number, shares: readonly number[]): number {
  if (ratio <= 1) return 1;
  const upper = PAUSE_RATIO_CLASSES.findIndex((from) => ratio < from);
  if (upper < 0) return shares.at(-1) ?? 0;
  const [from, to] = [PAUSE_RATIO_CLASSES[upper - 1] ?? 1, PAUSE_RATIO_CLASSES[upper] ?? 1];
  const [high, low] = [shares[upper - 1] ?? 1, shares[upper] ?? 0];
  const part = Math.log(ratio / from) / Math.log(to / from);
  return high + (low - high) * part;
}
