/** Takes the backend with the lowest sum of load, distance, failures, missing cache and new connections. */
import { firstCandidate } from '../common/rendezvous.js';
import type { BackendCandidate, BackendSelection } from './backend-selection.js';

/** Costs, in shares of a backend's slots. */
const OTHER_ZONE = 0.08;
const CACHE_MISS = 0.12;
const NEW_CONNECTION = 0.1;
const ALWAYS_FAILING = 2;

/** Lowest cost first; ties go to the first in the list. */
export class LowestCostSelection implements BackendSelection {
  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined {
    const home = affinity === undefined ? undefined : homeOf(candidates, affinity);
    let best: BackendCandidate | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
      const cost =
        costOf(candidate) + (home === undefined || home === candidate.id ? 0 : CACHE_MISS);
      if (cost >= bestCost) continue;
      best = candidate;
      bestCost = cost;
    }
    return best;
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
  return load + distance + connection + ALWAYS_FAILING * candidate.failureShare;
}
