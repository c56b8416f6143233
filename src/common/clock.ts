/** Time source for the decision logic, which receives times as arguments and reads no clock itself. */

/** A source of the current time. */
export interface Clock {
  /** Unix milliseconds. */
  now(): number;
}

/** The system clock. */
export const systemClock: Clock = { now: () => Date.now() };
