/** Time as the decision logic sees it: Unix milliseconds, handed in and never read inside. */

/** A source of the current time. */
export interface Clock {
  /** Unix milliseconds. */
  now(): number;
}

/** The machine's clock. */
export const systemClock: Clock = { now: () => Date.now() };
