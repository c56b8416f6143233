/**
 * Decaying counts of the requests that arrived at one daemon, with the same half-life as the
 * owner's rates. The daemon sends them to a new owner, which would otherwise take the busiest
 * models for idle ones. Pure; times are milliseconds of a monotonic clock.
 */
import { adapterKey } from './backend-ledger.js';
import { RATE_HALF_LIFE_MS } from './model-demand.js';
import type { ModelReference } from './service-configuration.js';

/** Decayed number of requests for one model or adapter. */
export interface RecentArrivals {
  readonly reference: ModelReference;
  /** Shortest latency goal among these requests, in milliseconds. */
  readonly goalMs: number;
  /** Decayed count, rounded; at least 1. */
  readonly arrivals: number;
}

interface DecayingCount {
  readonly reference: ModelReference;
  goalMs: number;
  count: number;
  updatedAt: number;
}

/** Recent arrivals for one service. */
export class ArrivalHistory {
  private readonly entries = new Map<string, DecayingCount>();

  /** Counts one request that arrived at `now`. */
  record(reference: ModelReference, goalMs: number, now: number): void {
    const key = adapterKey(reference);
    const entry = this.entries.get(key);
    if (entry === undefined) {
      this.entries.set(key, { reference, goalMs, count: 1, updatedAt: now });
      return;
    }
    entry.count = countAt(entry, now) + 1;
    entry.updatedAt = now;
    entry.goalMs = Math.min(entry.goalMs, goalMs);
  }

  /** Returns the entries whose decayed count rounds to at least 1, and drops the others. */
  recent(now: number): RecentArrivals[] {
    const recent: RecentArrivals[] = [];
    for (const [key, entry] of this.entries) {
      const arrivals = Math.round(countAt(entry, now));
      if (arrivals >= 1)
        recent.push({ reference: entry.reference, goalMs: entry.goalMs, arrivals });
      else this.entries.delete(key);
    }
    return recent;
  }
}

function countAt(entry: DecayingCount, now: number): number {
  return entry.count * 0.5 ** ((now - entry.updatedAt) / RATE_HALF_LIFE_MS);
}
