/** What a daemon has heard of a service's capacity from its owner. Pure. */
import { EVEN_CAPACITY, type CapacityView } from './capacity-view.js';
import {
  areCredibleShares,
  isCredibleGap,
  isCredibleSpeed,
  LearnedCapacity,
  type LearnedFigures,
} from './learned-capacity.js';

/**
 * An owner's figures count so long after its last word, in milliseconds: backends stay as fast as
 * they were while a new owner takes over and learns anew.
 */
const LIFETIME_MS = 15_000;

/** A new owner has learned enough after so long, in milliseconds; until then its predecessor's word holds. */
const LEARNING_MS = 3_000;

/** Figures of one service, put together from the owner's changes. */
export class HeardCapacity {
  private readonly speeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];
  private heardAt = -Infinity;
  private firstHeardAt: number | undefined;

  /** @param former - What the former owner has told; undefined if there was none. */
  constructor(private former?: HeardCapacity) {}

  /** For the same owner, which tells everything again: its own word is void, its predecessor's holds as long as before. */
  emptied(): HeardCapacity {
    const made = new HeardCapacity(this.former);
    made.firstHeardAt = this.firstHeardAt;
    return made;
  }

  /** The owner lives, and has told these changes. What cannot be true is left out. */
  take(figures: LearnedFigures | undefined, now: number): void {
    this.heardAt = now;
    this.firstHeardAt ??= now;
    if (!this.isLearning(now)) this.former = undefined;
    if (figures === undefined) return;
    for (const [backend, speed] of figures.speeds) {
      if (isCredibleSpeed(speed)) this.speeds.set(backend, speed);
    }
    for (const [model, gap] of figures.gaps) if (isCredibleGap(gap)) this.gaps.set(model, gap);
    const { pauseShares } = figures;
    if (pauseShares.length > 0 && areCredibleShares(pauseShares)) this.pauseShares = pauseShares;
  }

  /** The owner says nothing of the backend any more. */
  forget(backend: string): void {
    this.speeds.delete(backend);
    this.former?.forget(backend);
  }

  /** What is expected by the owner's word. */
  view(now: number): CapacityView {
    if (this.former !== undefined && this.isLearning(now)) return this.former.view(now);
    if (now - this.heardAt > LIFETIME_MS) return EVEN_CAPACITY;
    const { speeds, gaps, pauseShares } = this;
    return new LearnedCapacity({ speeds, gaps, pauseShares });
  }

  private isLearning(now: number): boolean {
    return now - (this.firstHeardAt ?? now) < LEARNING_MS;
  }
}
