/**
 * Measures the time for which this process has run. A process that gets no processor reads no socket either, and once it runs again,
 * expired timers run before the sockets are read. By this clock a silence of somebody else lasts only as long as this process could
 * have noticed the opposite. Use it to judge others by what has not come; for own permissions that expire use `lease-clock.ts`.
 */

/** Period of {@link RunningClock.beat}, in milliseconds. */
export const BEAT_PERIOD_MS = 100;
/** Delays of a beat up to this are ordinary work of the event loop, not a pause. */
const MAX_ORDINARY_DELAY_MS = 100;

/** Steady time without the pauses of this process, a lower bound of the elapsed time. */
export class RunningClock {
  /** Called with the milliseconds of each pause. */
  onPause: (milliseconds: number) => void = () => {};
  private pausedMs = 0;
  private observedAt: number;
  /** Start of the first pause since the last beat; undefined without one. */
  private pauseFrom: number | undefined;
  /** Lower bound of the time at which something arrived that is not handled yet. */
  private arrivalsFrom: number;

  /** @param steadyNow - Monotonic time in milliseconds. */
  constructor(private readonly steadyNow: () => number) {
    this.observedAt = steadyNow();
    this.arrivalsFrom = this.observedAt;
  }

  /** Shows that the event loop runs; to be called every {@link BEAT_PERIOD_MS}. */
  beat(): void {
    const lastObservedAt = this.observedAt;
    this.observe();
    this.arrivalsFrom = this.pauseFrom ?? lastObservedAt;
    this.pauseFrom = undefined;
  }

  /** Milliseconds for which this process has run. */
  now(): number {
    return this.observe() - this.pausedMs;
  }

  /**
   * Earliest steady time at which a signal or a message can have arrived that this process handles only now. After a pause, a signal
   * is handled once all sockets that had something to read were read, which may take long itself.
   */
  get earliestArrivalAt(): number {
    return this.arrivalsFrom;
  }

  private observe(): number {
    const now = this.steadyNow();
    const from = this.observedAt;
    this.observedAt = now;
    const delayMs = now - from - BEAT_PERIOD_MS;
    if (delayMs <= MAX_ORDINARY_DELAY_MS) return now;
    this.pausedMs += delayMs;
    this.pauseFrom ??= from;
    this.onPause(delayMs);
    return now;
  }
}
