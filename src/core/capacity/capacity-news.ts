/** Remembers which figures of capacity the daemons have been told. Pure. */
import type { LearnedFigures } from './learned-capacity.js';

/** What was told in one epoch. */
export class CapacityNews {
  private readonly speeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];

  /** What has changed; undefined if nothing has. A backend that is forgotten is told to be usual again. */
  take(figures: LearnedFigures | undefined): LearnedFigures | undefined {
    if (figures === undefined) return undefined;
    const speeds = changed(this.speeds, figures.speeds);
    for (const backend of this.speeds.keys()) {
      if (figures.speeds.has(backend)) continue;
      this.speeds.delete(backend);
      speeds.set(backend, 1);
    }
    const gaps = changed(this.gaps, figures.gaps);
    const haveSharesChanged = String(this.pauseShares) !== String(figures.pauseShares);
    this.pauseShares = figures.pauseShares;
    if (speeds.size === 0 && gaps.size === 0 && !haveSharesChanged) return undefined;
    return { speeds, gaps, pauseShares: haveSharesChanged ? this.pauseShares : [] };
  }

  /** All that was told; undefined if nothing was. */
  everything(): LearnedFigures | undefined {
    const { speeds, gaps, pauseShares } = this;
    if (speeds.size === 0 && gaps.size === 0 && pauseShares.length === 0) return undefined;
    return { speeds: new Map(speeds), gaps: new Map(gaps), pauseShares };
  }
}

/** Entries that differ from what was told; they are told from now on. */
function changed(
  told: Map<string, number>,
  known: ReadonlyMap<string, number>,
): Map<string, number> {
  const news = new Map<string, number>();
  for (const [name, value] of known) {
    if (told.get(name) === value) continue;
    told.set(name, value);
    news.set(name, value);
  }
  return news;
}
