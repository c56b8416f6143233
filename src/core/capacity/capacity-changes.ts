/** Tracks which capacity figures an owner has sent to the daemons, so that it sends only changes. No I/O. */
import type { CapacityFigures } from './learned-capacity.js';

/** Figures that were sent during one ownership epoch. */
export class CapacityChanges {
  private readonly speeds = new Map<string, number>();
  private readonly gaps = new Map<string, number>();
  private pauseShares: readonly number[] = [];

  /** Returns the changes since the last call, or undefined if there are none. A removed backend is reset to speed 1. */
  takeChanges(figures: CapacityFigures | undefined): CapacityFigures | undefined {
    if (figures === undefined) return undefined;
    const speeds = takeChangedEntries(this.speeds, figures.speeds);
    for (const backend of this.speeds.keys()) {
      if (figures.speeds.has(backend)) continue;
      this.speeds.delete(backend);
      speeds.set(backend, 1);
    }
    const gaps = takeChangedEntries(this.gaps, figures.gaps);
    const haveSharesChanged = String(this.pauseShares) !== String(figures.pauseShares);
    this.pauseShares = figures.pauseShares;
    if (speeds.size === 0 && gaps.size === 0 && !haveSharesChanged) return undefined;
    return { speeds, gaps, pauseShares: haveSharesChanged ? this.pauseShares : [] };
  }

  /** Returns all figures sent so far, or undefined if there are none. */
  snapshot(): CapacityFigures | undefined {
    const { speeds, gaps, pauseShares } = this;
    if (speeds.size === 0 && gaps.size === 0 && pauseShares.length === 0) return undefined;
    return { speeds: new Map(speeds), gaps: new Map(gaps), pauseShares };
  }
}

/** Returns the entries that differ from those sent, and records them as sent. */
function takeChangedEntries(
  sent: Map<string, number>,
  current: ReadonlyMap<string, number>,
): Map<string, number> {
  const changes = new Map<string, number>();
  for (const [name, value] of current) {
    if (sent.get(name) === value) continue;
    sent.set(name, value);
    changes.set(name, value);
  }
  return changes;
}
