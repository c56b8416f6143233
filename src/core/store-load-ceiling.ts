/**
 * Limits the number of loads from the weight store that start in a sliding window.
 * A new owner does not know which loads its predecessor started, so each owner uses
 * half of the ceiling: two owners within one window stay within it together. Pure.
 */

/** Maximum load rate over all owners. */
export interface StoreLoadCeiling {
  readonly windowMs: number;
  /** Loads that may start in a window. */
  readonly loads: number;
}

/** Successive owners that may start loads within one window. */
const OWNERS_PER_WINDOW = 2;

/** Tracks the loads that one owner has started, against its part of the ceiling. */
export class StoreLoadWindow {
  private startTimes: number[] = [];

  constructor(private readonly ceiling: StoreLoadCeiling) {}

  /** Returns the number of loads that may start now. */
  available(now: number): number {
    this.startTimes = this.startTimes.filter((time) => time > now - this.ceiling.windowMs);
    return Math.max(0, Math.floor(this.ceiling.loads / OWNERS_PER_WINDOW) - this.startTimes.length);
  }

  /** Counts a load that has started or may have started. */
  count(now: number): void {
    this.startTimes.push(now);
  }
}
