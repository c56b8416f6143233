/**
 * The requests that have arrived at one daemon, forgotten as an owner forgets
 * them: what a new owner is told, so that it does not take the busiest models for
 * idle ones. Pure; times are milliseconds of a steady clock.
 */
import { adapterKey } from './backend-ledger.js';
import { RATE_HALF_LIFE_MS } from './model-demand.js';
import type { ModelReference } from './service-configuration.js';

/** Requests for one model or adapter, each counted for what it still tells. */
export interface RecentArrivals {
  readonly reference: ModelReference;
  /** Shortest latency goal among them. */
  readonly goalMs: number;
  /** Rounded; 1 or more. */
  readonly arrivals: number;
}

interface Weighed {
  readonly reference: ModelReference;
  goalMs: number;
  weight: number;
  updatedAt: number;
}

/** Arrivals of one service. */
export class ArrivalHistory {
  private readonly entries = new Map<string, Weighed>();

  /** Counts a request. */
  note(reference: ModelReference, goalMs: number, now: number): void {
    const key = adapterKey(reference);
    const entry = this.entries.get(key);
    if (entry === undefined) {
      this.entries.set(key, { reference, goalMs, weight: 1, updatedAt: now });
      return;
    }
    entry.weight = weightAt(entry, now) + 1;
    entry.updatedAt = now;
    entry.goalMs = Math.min(entry.goalMs, goalMs);
  }

  /** What still counts; what does not is dropped. */
  recent(now: number): RecentArrivals[] {
    const recent: RecentArrivals[] = [];
    for (const [key, entry] of this.entries) {
      const arrivals = Math.round(weightAt(entry, now));
      if (arrivals >= 1)
        recent.push({ reference: entry.reference, goalMs: entry.goalMs, arrivals });
      else this.entries.delete(key);
    }
    return recent;
  }
}

function weightAt(entry: Weighed, now: number): number {
  return entry.weight * 0.5 ** ((now - entry.updatedAt) / RATE_HALF_LIFE_MS);
}
