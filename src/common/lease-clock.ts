/**
 * Clock for expiry: leases, proofs and the age of information. The monotonic clock stops while the machine is
 * suspended, so a lease measured by it would outlive its expiry. The wall clock continues, but can also be set. A
 * forward step of the wall clock counts as elapsed time, because its cause is unknown. This clock is therefore never
 * behind the real elapsed time, unless the wall clock is set back at the same moment, but it can be ahead. Minimum
 * waiting times are measured by the monotonic clock instead.
 */

/** Smaller changes of the wall clock's offset are gradual adjustments, not steps. */
const MIN_STEP_MS = 100;

/** Measures an upper bound of the elapsed time. */
export class LeaseClock {
  /** Called with the milliseconds of each forward step of the wall clock. */
  onForwardStep: (milliseconds: number) => void = () => {};
  private totalStepMs = 0;
  private offset: number;

  /**
   * @param monotonic - Monotonic time in milliseconds.
   * @param wallClock - Wall clock in Unix milliseconds.
   */
  constructor(
    private readonly monotonic: () => number,
    private readonly wallClock: () => number,
  ) {
    this.offset = wallClock() - monotonic();
  }

  /** Milliseconds since the process started, including all forward steps of the wall clock. */
  now(): number {
    const monotonic = this.monotonic();
    const offset = this.wallClock() - monotonic;
    const change = offset - this.offset;
    if (Math.abs(change) < MIN_STEP_MS) return monotonic + this.totalStepMs;
    this.offset = offset;
    if (change > 0) this.recordStep(change);
    return monotonic + this.totalStepMs;
  }

  private recordStep(milliseconds: number): void {
    this.totalStepMs += milliseconds;
    this.onForwardStep(Math.round(milliseconds));
  }
}

/** The lease clock of this process. */
export const leaseClock = new LeaseClock(
  () => performance.now(),
  () => Date.now(),
);

/** Milliseconds of the process's lease clock. */
export function leaseNow(): number {
  return leaseClock.now();
}
