/** Capacity figures that an owner sends to the daemons, and the capacity view computed from them. No I/O. */
import type { CapacityView } from './capacity-view.js';
import { shareBeyond, DEFAULT_PAUSE_SHARES } from './pause-shares.js';

/** Figures that an owner has learned; there is no estimate for a missing entry. */
export interface CapacityFigures {
  /** Speeds of backends relative to the usual speed in the service. */
  readonly speeds: ReadonlyMap<string, number>;
  /** Usual milliseconds between two events of a model's streams at a backend of speed 1. */
  readonly gaps: ReadonlyMap<string, number>;
  /** Share of streams whose longest pause reaches each ratio class; empty while nothing has been learned. */
  readonly pauseShares: readonly number[];
}

/** Capacity view computed from an owner's figures. */
export class LearnedCapacity implements CapacityView {
  constructor(private readonly figures: CapacityFigures) {}

  speedOf(backend: string): number {
    return this.figures.speeds.get(backend) ?? 1;
  }

  eventGapMs(backend: string, model: string): number | undefined {
    const gap = this.figures.gaps.get(model);
    return gap === undefined ? undefined : gap / this.speedOf(backend);
  }

  pauseRisk(backend: string, model: string, pauseGoalMs: number): number {
    const gap = this.eventGapMs(backend, model);
    if (gap === undefined) return 0;
    const { pauseShares } = this.figures;
    const shares = pauseShares.length > 0 ? pauseShares : DEFAULT_PAUSE_SHARES;
    return shareBeyond(pauseGoalMs / gap, shares);
  }
}

/** Range of plausible speeds. */
export const MIN_PLAUSIBLE_SPEED = 0.1;
export const MAX_PLAUSIBLE_SPEED = 10;
/** Range of plausible usual gaps, in milliseconds. */
export const MIN_PLAUSIBLE_GAP_MS = 0.5;
export const MAX_PLAUSIBLE_GAP_MS = 60_000;

/** Whether a reported speed is plausible. */
export function isPlausibleSpeed(speed: number): boolean {
  return speed >= MIN_PLAUSIBLE_SPEED && speed <= MAX_PLAUSIBLE_SPEED;
}

/** Whether a gap between events is plausible. */
export function isPlausibleGap(milliseconds: number): boolean {
  return milliseconds >= MIN_PLAUSIBLE_GAP_MS && milliseconds <= MAX_PLAUSIBLE_GAP_MS;
}

/** Whether shares of streams are valid: empty, or one per ratio class and all between 0 and 1. */
export function areValidShares(shares: readonly number[]): boolean {
  const hasValidLength = shares.length === 0 || shares.length === DEFAULT_PAUSE_SHARES.length;
  return hasValidLength && shares.every((share) => share >= 0 && share <= 1);
}
