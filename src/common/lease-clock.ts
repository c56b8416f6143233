/**
 * The clock for whatever may be done only up to a time: leases, proofs, how old knowledge is. The steady clock stands
 * still while a machine is suspended, so by it a lease would outlast its end. The time of day goes on, but may also be set; a leap of
 * it ahead is taken for time that has passed, for what it was cannot be told. So this clock is never behind the time that has really
 * passed, unless the time of day was set back in the same moment, and may be ahead of it: what must be waited for is counted
 * by the steady clock.
 */

/** The time of day is adjusted by less than this at once without being set. */
const LEAP_MS = 100;

/** Counts the time that has passed at most. */
export class LeaseClock {
  /** Told of each leap, in milliseconds. */
  onLeap: (milliseconds: number) => void = () => {};
  private leapt = 0;
  private offset: number;

  /**
   * @param steady - Milliseconds of a clock that never jumps.
   * @param timeOfDay - Unix milliseconds.
   */
  constructor(
    private readonly steady: () => number,
    private readonly timeOfDay: () => number,
  ) {
    this.offset = timeOfDay() - steady();
  }

  /** Milliseconds since the process started, with all leaps. */
  now(): number {
    const steady = this.steady();
    const offset = this.timeOfDay() - steady;
    const change = offset - this.offset;
    if (Math.abs(change) < LEAP_MS) return steady + this.leapt;
    this.offset = offset;
    if (change > 0) this.noteLeap(change);
    return steady + this.leapt;
  }

  private noteLeap(milliseconds: number): void {
    this.leapt += milliseconds;
    this.onLeap(Math.round(milliseconds));
  }
}

/** The process's clock. */
export const leaseClock = new LeaseClock(
  () => performance.now(),
  () => Date.now(),
);

/** Milliseconds of the process's lease clock. */
export function leaseNow(): number {
  return leaseClock.now();
}
