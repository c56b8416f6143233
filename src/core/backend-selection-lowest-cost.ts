/**
 * Takes the backend with the lowest sum of load, distance, failures, missing
 * cache and new connections. Daemons know one another's load with a delay, so each
 * leans to backends of its own among equals: they would all send to the same one.
 */
import { firstCandidate, rendezvousWeight } from '../common/rendezvous.js';
import type { BackendCandidate, BackendSelection } from './backend-selection.js';

/** Costs, in shares of a backend's slots. */
const OTHER_ZONE = 0.08;
const CACHE_MISS = 0.12;
const NEW_CONNECTION = 0.1;
const ALWAYS_FAILING = 2;
/** A backend with more of its slots in use than this share may soon queue. */
const CROWDED_FROM = 0.7;
/** Cost of each share of the slots above that. */
const CROWDED = 4;
/** Largest difference that a daemon's leaning makes. */
const LEANING = 0.05;
const LARGEST_WEIGHT = 2 ** 32;

/** Lowest cost first. */
export class LowestCostSelection implements BackendSelection {
  /** @param daemon - Name that this daemon's leanings come from. */
  constructor(private readonly daemon: string) {}

  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined {
    const home = affinity === undefined ? undefined : homeOf(candidates, affinity);
    let best: BackendCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const miss = home === undefined || home === candidate.id ? 0 : CACHE_MISS;
      const cost = costOf(candidate) + miss + this.leaning(candidate);
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    }
    return best;
  }

  private leaning(candidate: BackendCandidate): number {
    const weight = rendezvousWeight(this.daemon, candidate.id) / LARGEST_WEIGHT;
    return LEANING * weight;
  }
}

/** The backend that keeps the beginning of these prompts: the same one at every daemon. */
function homeOf(candidates: readonly BackendCandidate[], affinity: string): string | undefined {
  const ids = candidates.map((candidate) => candidate.id);
  return firstCandidate(affinity, ids);
}

function costOf(candidate: BackendCandidate): number {
  const load = candidate.inFlight / Math.max(1, candidate.slots);
  const distance = candidate.sameZone ? 0 : OTHER_ZONE;
  const connection = candidate.hasConnection ? 0 : NEW_CONNECTION;
  const crowded = CROWDED * Math.max(0, load - CROWDED_FROM);
  return load + crowded + distance + connection + ALWAYS_FAILING * candidate.failureShare;
}
