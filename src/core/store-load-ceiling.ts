/**
 * Bounds the loads that begin from the weight store in a sliding window. A new
 * owner does not know what its predecessor began, so each owner uses half of the
 * ceiling: two owners within one window stay below it together. Pure.
 */

/** The ceiling over all owners. */
export interface StoreLoadCeiling {
  readonly windowMs: number;
  /** Loads that may begin in a window. */
  readonly loads: number;
}

/** Owners that may follow each other within one window. */
const OWNERS_IN_A_WINDOW = 2;

/** One owner's part of the ceiling. */
export class StoreLoadWindow {
  private begun: number[] = [];

  constructor(private readonly ceiling: StoreLoadCeiling) {}

  /** Loads that may begin now. */
  room(now: number): number {
    this.begun = this.begun.filter((time) => time > now - this.ceiling.windowMs);
    return Math.max(0, Math.floor(this.ceiling.loads / OWNERS_IN_A_WINDOW) - this.begun.length);
  }

  /** Counts a load that has begun, or may have begun. */
  count(now: number): void {
    this.begun.push(now);
  }
}
