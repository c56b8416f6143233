/**
 * Rendezvous (highest random weight) hashing: every daemon ranks the same
 * candidates for a name in the same order without communication.
 */
import murmurhash from 'murmurhash';

/** The weight of a candidate for a name, from 0 to 2^32 - 1. */
export function rendezvousWeight(name: string, candidate: string): number {
  return murmurhash.v3(`${name}\n${candidate}`);
}

/** Candidates for a name in descending order of weight; ties are ordered by the candidates' text. */
export function rankCandidates(name: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: rendezvousWeight(name, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map((entry) => entry.candidate);
}

/** The candidate with the highest weight for a name; undefined if there are no candidates. */
export function firstCandidate(name: string, candidates: Iterable<string>): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = rendezvousWeight(name, candidate);
    const wins = weight > bestWeight || (weight === bestWeight && candidate < (best ?? ''));
    if (!wins) continue;
    best = candidate;
    bestWeight = weight;
  }
  return best;
}
