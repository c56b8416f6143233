/**
 * Chooses the daemons that hold a copy of a stream's origin, and those at which it is looked up. All daemons rank the others in the
 * same order for a stream, by rendezvous hashing. Pure.
 */
import { rankCandidates } from '../common/rendezvous.js';

/** Maximum number of other daemons in a small group, in which each stream has {@link SMALL_GROUP_HOLDERS} holders. */
const SMALL_GROUP_SIZE = 8;
const SMALL_GROUP_HOLDERS = 5;
/** Number of holders in a larger group, besides the daemon that serves the stream. */
const HOLDERS = 2;
/**
 * Maximum number of daemons at which a stream is looked up. It exceeds the number of holders, because daemons may have joined or
 * left since the stream began, and the daemon that served it may rank before them.
 */
const MAX_LOOKUP_TARGETS = 8;

/** Returns the daemons, of the other live ones, that are notified of a stream's origin. */
export function holdersOf(stream: string, others: readonly string[]): string[] {
  const count = others.length <= SMALL_GROUP_SIZE ? SMALL_GROUP_HOLDERS : HOLDERS;
  return rankCandidates(stream, others).slice(0, count);
}

/** Returns the daemons, of the other reachable ones, at which a stream's origin is looked up. */
export function lookupTargets(stream: string, others: readonly string[]): string[] {
  return rankCandidates(stream, others).slice(0, MAX_LOOKUP_TARGETS);
}
