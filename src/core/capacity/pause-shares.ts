/**
 * How much longer than its usual gap the longest pause of a stream is: counts of streams by that
 * ratio, and the share beyond a ratio. Spells in which backends work slowly show here, learned over
 * a whole service. Pure.
 */

/** Lower ends of the classes of ratios; the first takes all below the second. */
export const RATIO_CLASSES: readonly number[] = [1, 1.25, 1.5, 2, 2.5, 3, 4, 6];

/** Shares of streams whose longest pause reaches each class, while nothing is learned: those of calm backends. */
export const USUAL_PAUSE_SHARES: readonly number[] = [1, 0.7, 0.4, 0.2, 0.12, 0.08, 0.04, 0.02];

/** The class of a ratio. */
export function ratioClass(ratio: number): number {
  let found = 0;
  for (const [index, from] of RATIO_CLASSES.entries()) if (ratio >= from) found = index;
  return found;
}

/**
 * Share of streams whose longest pause passes `ratio` times their usual gap, between the classes
 * by the logarithm of the ratio. 1 up to the usual gap.
 *
 * @param shares - One for each class, falling.
 */
export function shareBeyond(ratio: number, shares: readonly number[]): number {
  if (ratio <= 1) return 1;
  const upper = RATIO_CLASSES.findIndex((from) => ratio < from);
  if (upper < 0) return shares.at(-1) ?? 0;
  const [from, to] = [RATIO_CLASSES[upper - 1] ?? 1, RATIO_CLASSES[upper] ?? 1];
  const [high, low] = [shares[upper - 1] ?? 1, shares[upper] ?? 0];
  const part = Math.log(ratio / from) / Math.log(to / from);
  return high + (low - high) * part;
}
