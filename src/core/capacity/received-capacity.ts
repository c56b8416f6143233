/** Capacity figures that a daemon has received from the owner of a service. No I/O. */
import { UNIFORM_CAPACITY, type CapacityView } from './capacity-view.js';
import {
  areValidShares,
  isPlausibleGap,
  isPlausibleSpeed,
  LearnedCapacity,
  type CapacityFigures,
} from './learned-capacity.js';

/**
 * How long an owner's figures stay valid after its last update, in milliseconds. Backends keep their speed
 * while a new owner takes over and collects its own data.
 */
const FIGURES_LIFETIME_MS = 15_000;

/** Time that a new owner needs to collect enough data; until then its predecessor's figures apply. */
const LEARNING_PERIOD_MS = 3_000;

/** Figures of one service, accumulated from the owner's changes. */
export class ReceivedCapacity {
  private readonly speeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];
  private lastUpdateAt = -Infinity;
  private firstUpdateAt: number | undefined;

  /** @param predecessor - Figures from the previous owner; undefined if there was none. */
  constructor(private predecessor?: ReceivedCapacity) {}

  /** Returns empty figures for the same owner, which sends its full state again. The predecessor's figures apply for as long as before. */
  cleared(): ReceivedCapacity {
    const cleared = new ReceivedCapacity(this.predecessor);
    cleared.firstUpdateAt = this.firstUpdateAt;
    return cleared;
  }

  /** Records that the owner is alive and applies its changes. Implausible values are ignored. */
  applyUpdate(figures: CapacityFigures | undefined, now: number): void {
    this.lastUpdateAt = now;
    this.firstUpdateAt ??= now;
    if (!this.isLearning(now)) this.predecessor = undefined;
    if (figures === undefined) return;
    for (const [backend, speed] of figures.speeds) {
      if (isPlausibleSpeed(speed)) this.speeds.set(backend, speed);
    }
    for (const [model, gap] of figures.gaps) if (isPlausibleGap(gap)) this.gaps.set(model, gap);
    const { pauseShares } = figures;
    if (pauseShares.length > 0 && areValidShares(pauseShares)) this.pauseShares = pauseShares;
  }

  /** Removes a backend that the owner no longer reports. */
  forget(backend: string): void {
    this.speeds.delete(backend);
    this.predecessor?.forget(backend);
  }

  /** Returns the capacity view that follows from the owner's figures, or from its predecessor's while it is learning. */
  view(now: number): CapacityView {
    if (this.predecessor !== undefined && this.isLearning(now)) return this.predecessor.view(now);
    if (now - this.lastUpdateAt > FIGURES_LIFETIME_MS) return UNIFORM_CAPACITY;
    const { speeds, gaps, pauseShares } = this;
    return new LearnedCapacity({ speeds, gaps, pauseShares });
  }

  private isLearning(now: number): boolean {
    return now - (this.firstUpdateAt ?? now) < LEARNING_PERIOD_MS;
  }
}
