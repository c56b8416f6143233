/**
 * Spreads requests over backends whose load reports arrive with a delay. The cost of
 * a backend is the sum of its load, distance, failures, cache misses and new
 * connections. If every daemon chose the cheapest backend, all requests between two
 * load reports would go to it. Therefore the policy estimates the requests that are
 * not reported yet and distributes them by water filling: each backend receives as
 * many as raise its cost to a common level. A request is sent to a backend with the
 * probability of that backend's share ("basic load interpretation", Dahlin, 1999).
 */
import { firstCandidate, rendezvousWeight } from '../common/rendezvous.js';
import type { BackendCandidate, BackendSelection } from './backend-selection.js';

/** Costs, as fractions of a backend's slots. */
const OTHER_ZONE_COST = 0.08;
const CACHE_MISS_COST = 0.12;
const NEW_CONNECTION_COST = 0.1;
const FAILURE_COST = 2;
/** Cost of a backend where every such stream would pause too long; streams prefer other backends up to this much fuller. */
const LATE_PAUSE_COST = 1;
/** Bounds for the speed in the cost; a faster backend is still limited by its slots. */
const MIN_SPEED = 0.4;
const MAX_SPEED = 1.6;
/** Share of slots in use above which a backend may soon queue requests. */
const CROWDING_THRESHOLD = 0.7;
/** Cost factor for the share of slots in use above that threshold. */
const CROWDING_COST = 4;
/** Maximum cost difference from a daemon's fixed preference among backends. */
const MAX_PREFERENCE_COST = 0.05;
const WEIGHT_RANGE = 2 ** 32;
/**
 * Estimated unreported requests in flight, as a share of the reported ones. A load
 * report is 0.3 to 0.5 s old (two periods of 250 ms and the transmission), and a stream
 * runs for 2 to 3 s. In the simulation of the test, shares from 0.1 to 0.5 give similar
 * results.
 */
const UNREPORTED_SHARE = 0.2;

interface CostedBackend {
  readonly candidate: BackendCandidate;
  readonly slots: number;
  readonly cost: number;
}

/** Random choice among the cheapest backends; more of them take part the more requests are unreported. */
export class StaleLoadSelection implements BackendSelection {
  private draws = 0;

  /** @param daemon - Daemon name; seeds its fixed preferences and its random draws. */
  constructor(private readonly daemon: string) {}

  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined {
    const cachingId = affinity === undefined ? undefined : cachingBackend(candidates, affinity);
    const costed = candidates.map((candidate) => {
      const missCost = cachingId === undefined || cachingId === candidate.id ? 0 : CACHE_MISS_COST;
      const cost = costOf(candidate) + missCost + this.preferenceCost(candidate);
      return { candidate, slots: effectiveSlots(candidate), cost };
    });
    costed.sort((a, b) => a.cost - b.cost);
    const known = candidates.reduce((sum, candidate) => sum + candidate.inFlight, 0);
    return this.draw(costed, waterLevel(costed, known * UNREPORTED_SHARE));
  }

  /** Draws one backend, with a probability proportional to the requests that raise its cost to the level. */
  private draw(costed: readonly CostedBackend[], level: number): BackendCandidate | undefined {
    const shares = costed.map(({ cost, slots }) => Math.max(0, level - cost) * slots);
    const total = shares.reduce((sum, part) => sum + part, 0);
    this.draws += 1;
    let remaining = (rendezvousWeight(this.daemon, String(this.draws)) / WEIGHT_RANGE) * total;
    for (const [index, part] of shares.entries()) {
      remaining -= part;
      if (remaining < 0) return costed[index]?.candidate;
    }
    // No unreported requests are estimated, so the cheapest backend is chosen.
    return costed[0]?.candidate;
  }

  private preferenceCost(candidate: BackendCandidate): number {
    const weight = rendezvousWeight(this.daemon, candidate.id) / WEIGHT_RANGE;
    return MAX_PREFERENCE_COST * weight;
  }
}

/** The common cost that the cheapest backends reach when they take `requests` more requests. */
function waterLevel(sorted: readonly CostedBackend[], requests: number): number {
  let slots = 0;
  let costs = 0;
  let level = 0;
  for (const [index, backend] of sorted.entries()) {
    slots += backend.slots;
    costs += backend.slots * backend.cost;
    level = (requests + costs) / slots;
    const next = sorted[index + 1];
    if (next === undefined || level <= next.cost) break;
  }
  return level;
}

/** The backend whose cache holds the common prefix of these prompts; every daemon computes the same one. */
function cachingBackend(
  candidates: readonly BackendCandidate[],
  affinity: string,
): string | undefined {
  const ids = candidates.map((candidate) => candidate.id);
  return firstCandidate(affinity, ids);
}

function costOf(candidate: BackendCandidate): number {
  const load = candidate.inFlight / effectiveSlots(candidate);
  const usedShare = candidate.inFlight / Math.max(1, candidate.slots);
  const distance = candidate.sameZone ? 0 : OTHER_ZONE_COST;
  const connection = candidate.hasConnection ? 0 : NEW_CONNECTION_COST;
  const crowdingCost = CROWDING_COST * Math.max(0, usedShare - CROWDING_THRESHOLD);
  const latePauseCost = LATE_PAUSE_COST * (candidate.pauseRisk ?? 0);
  return (
    load +
    crowdingCost +
    distance +
    connection +
    latePauseCost +
    FAILURE_COST * candidate.failureShare
  );
}

/** Number of slots at a backend of the usual speed that do the same work. */
function effectiveSlots({ slots, speed }: BackendCandidate): number {
  const bounded = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed ?? 1));
  return Math.max(1, slots * bounded);
}
