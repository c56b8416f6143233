/**
 * Expected unload times, learned from observed unloads: an unload waits for the
 * running requests, whose remaining time is unknown. Pure.
 */

/** Expected time of an unload without running requests, in milliseconds. */
const IDLE_MS = 100;
/** Initial estimate for an unload that waits for running requests. */
const INITIAL_IN_USE_MS = 800;
/** Weight of the newest unload in the exponential moving average. */
const NEWEST_WEIGHT = 0.15;

/** Estimates how long unloads take. */
export class UnloadTimeEstimator {
  private inUseMs = INITIAL_IN_USE_MS;

  /** Expected milliseconds of an unload; `inUse` is whether requests for the model are running. */
  expected(inUse: boolean): number {
    return inUse ? this.inUseMs : IDLE_MS;
  }

  /** Records how long an unload took that was ordered while requests were running. */
  observeInUse(milliseconds: number): void {
    this.inUseMs += (milliseconds - this.inUseMs) * NEWEST_WEIGHT;
  }
}
