/** What an owner tells of its backends' capacity, and the expectations that follow from it. Pure. */
import type { CapacityView } from './capacity-view.js';
import { shareBeyond, USUAL_PAUSE_SHARES } from './pause-shares.js';

/** Figures as an owner has learned them; of what is missing nothing is known. */
export interface LearnedFigures {
  /** Speeds of backends against the usual one of the service. */
  readonly speeds: ReadonlyMap<string, number>;
  /** Usual milliseconds between two events of a model's streams at a backend of speed 1. */
  readonly gaps: ReadonlyMap<string, number>;
  /** Shares of streams by the class of their longest pause; empty while nothing is learned. */
  readonly pauseShares: readonly number[];
}

/** Expectations by an owner's figures. */
export class LearnedCapacity implements CapacityView {
  constructor(private readonly figures: LearnedFigures) {}

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
    const shares = pauseShares.length > 0 ? pauseShares : USUAL_PAUSE_SHARES;
    return shareBeyond(pauseGoalMs / gap, shares);
  }
}

/** Speeds that can be believed. */
export const SLOWEST_SPEED = 0.1;
export const FASTEST_SPEED = 10;
/** Usual gaps that can be believed, in milliseconds. */
export const SHORTEST_GAP_MS = 0.5;
export const LONGEST_GAP_MS = 60_000;

/** Whether an owner's word on a backend's speed can be believed. */
export function isCredibleSpeed(speed: number): boolean {
  return speed >= SLOWEST_SPEED && speed <= FASTEST_SPEED;
}

/** Whether a gap between events can be believed. */
export function isCredibleGap(milliseconds: number): boolean {
  return milliseconds >= SHORTEST_GAP_MS && milliseconds <= LONGEST_GAP_MS;
}

/** Whether shares of streams can be believed: one for each class, between 0 and 1. */
export function areCredibleShares(shares: readonly number[]): boolean {
  const isWhole = shares.length === 0 || shares.length === USUAL_PAUSE_SHARES.length;
  return isWhole && shares.every((share) => share >= 0 && share <= 1);
}
