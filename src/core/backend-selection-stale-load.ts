/**
 * Spreads requests over backends whose load is known with a delay. The cost of a
 * backend adds up load, distance, failures, missing cache and new connections.
 * If every daemon took the cheapest one, all requests of the time between two
 * reports would meet there. So the requests that nobody has reported yet are
 * estimated and shared out by water filling: each backend takes as many as raise its
 * cost to a common level. A request goes to one of them with the probability of that
 * share ("basic load interpretation", Dahlin, 1999).
 */
import { firstCandidate, rendezvousWeight } from '../common/rendezvous.js';
import type { BackendCandidate, BackendSelection } from './backend-selection.js';

/** Costs, in shares of a backend's slots. */
const OTHER_ZONE = 0.08;
const CACHE_MISS = 0.12;
const NEW_CONNECTION = 0.1;
const ALWAYS_FAILING = 2;
/** A stream that would pause for too long goes where it would not, though that is fuller by so much. */
const ALWAYS_LATE = 1;
/** Speeds count within these bounds: slots are a limit as well. */
const LEAST_SPEED = 0.4;
const MOST_SPEED = 1.6;
/** A backend with more of its slots in use than this share may soon queue. */
const CROWDED_FROM = 0.7;
/** Cost of each share of the slots above that. */
const CROWDED = 4;
/** Largest difference that a daemon's leaning makes. */
const LEANING = 0.05;
const LARGEST_WEIGHT = 2 ** 32;
/**
 * Requests in flight that are not known yet, as a share of those that are: a load is
 * told 0.3 to 0.5 s late (two periods of 250 ms and the way), and a stream runs for
 * 2 to 3 s. In the simulation of the test, shares from 0.1 to 0.5 differ by little.
 */
const UNSEEN_SHARE = 0.2;

interface CostedBackend {
  readonly candidate: BackendCandidate;
  readonly slots: number;
  readonly cost: number;
}

/** Random choice among the cheapest, as wide as the news is late. */
export class StaleLoadSelection implements BackendSelection {
  private draws = 0;

  /** @param daemon - Name that this daemon's leanings and draws come from. */
  constructor(private readonly daemon: string) {}

  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined {
    const home = affinity === undefined ? undefined : homeOf(candidates, affinity);
    const costed = candidates.map((candidate) => {
      const miss = home === undefined || home === candidate.id ? 0 : CACHE_MISS;
      const cost = costOf(candidate) + miss + this.leaning(candidate);
      return { candidate, slots: effectiveSlots(candidate), cost };
    });
    costed.sort((a, b) => a.cost - b.cost);
    const known = candidates.reduce((sum, candidate) => sum + candidate.inFlight, 0);
    return this.draw(costed, levelAfter(costed, known * UNSEEN_SHARE));
  }

  /** Takes one backend, each with the probability of the requests that raise it to the level. */
  private draw(costed: readonly CostedBackend[], level: number): BackendCandidate | undefined {
    const shares = costed.map(({ cost, slots }) => Math.max(0, level - cost) * slots);
    const whole = shares.reduce((sum, part) => sum + part, 0);
    this.draws += 1;
    let left = (rendezvousWeight(this.daemon, String(this.draws)) / LARGEST_WEIGHT) * whole;
    for (const [index, part] of shares.entries()) {
      left -= part;
      if (left < 0) return costed[index]?.candidate;
    }
    // Nothing is unseen: the cheapest.
    return costed[0]?.candidate;
  }

  private leaning(candidate: BackendCandidate): number {
    const weight = rendezvousWeight(this.daemon, candidate.id) / LARGEST_WEIGHT;
    return LEANING * weight;
  }
}

/** The cost that the cheapest backends reach together when they take so many more requests. */
function levelAfter(sorted: readonly CostedBackend[], requests: number): number {
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

/** The backend that keeps the beginning of these prompts: the same one at every daemon. */
function homeOf(candidates: readonly BackendCandidate[], affinity: string): string | undefined {
  const ids = candidates.map((candidate) => candidate.id);
  return firstCandidate(affinity, ids);
}

function costOf(candidate: BackendCandidate): number {
  const load = candidate.inFlight / effectiveSlots(candidate);
  const taken = candidate.inFlight / Math.max(1, candidate.slots);
  const distance = candidate.sameZone ? 0 : OTHER_ZONE;
  const connection = candidate.hasConnection ? 0 : NEW_CONNECTION;
  const crowded = CROWDED * Math.max(0, taken - CROWDED_FROM);
  const late = ALWAYS_LATE * (candidate.pauseRisk ?? 0);
  return load + crowded + distance + connection + late + ALWAYS_FAILING * candidate.failureShare;
}

/** Slots of a backend of the usual speed that do the same work. */
function effectiveSlots({ slots, speed }: BackendCandidate): number {
  const bounded = Math.min(MOST_SPEED, Math.max(LEAST_SPEED, speed ?? 1));
  return Math.max(1, slots * bounded);
}
