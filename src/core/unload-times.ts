/**
 * How long unloads take, learned from those that were seen: an unload waits for
 * the requests that run, and nobody tells how long they will. Pure.
 */

/** Expected time of an unload without running requests, in milliseconds. */
const IDLE_MS = 100;
/** Believed of an unload that waits for running requests before any was seen. */
const FIRST_GUESS_MS = 800;
/** Weight of the newest unload in the running mean. */
const NEWEST_WEIGHT = 0.15;

/** Expected times of unloads. */
export class UnloadTimes {
  private inUseMs = FIRST_GUESS_MS;

  /** Expected milliseconds; `inUse` if requests for the model run. */
  expected(inUse: boolean): number {
    return inUse ? this.inUseMs : IDLE_MS;
  }

  /** An unload that was ordered while requests ran has taken so long. */
  observeInUse(milliseconds: number): void {
    this.inUseMs += (milliseconds - this.inUseMs) * NEWEST_WEIGHT;
  }
}
