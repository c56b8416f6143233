/**
 * Chooses the daemons that remember where a stream has begun, and those that are asked for it. All daemons rank the others in the
 * same order for a stream, without communication. Pure.
 */
import { rankCandidates } from '../common/rendezvous.js';

/** Groups of up to this many other daemons remember each stream at {@link SMALL_GROUP_HOLDERS} of them. */
const SMALL_GROUP_SIZE = 8;
const SMALL_GROUP_HOLDERS = 5;
/** Number of daemons that remember a stream in a larger group, besides the one that serves it. */
const HOLDERS = 2;
/**
 * Number of daemons that are asked. It exceeds the number of holders, because daemons may have joined or left since the stream
 * began, and the one that served it ranks anywhere.
 */
const MAX_ASKED = 8;

/** Returns the daemons, of the other live ones, that a daemon tells where a stream has begun. */
export function holdersOf(stream: string, others: readonly string[]): string[] {
  const count = others.length <= SMALL_GROUP_SIZE ? SMALL_GROUP_HOLDERS : HOLDERS;
  return rankCandidates(stream, others).slice(0, count);
}

/** Returns the daemons, of the other reachable ones, that a daemon asks where a stream has begun. */
export function askedAbout(stream: string, others: readonly string[]): string[] {
  return rankCandidates(stream, others).slice(0, MAX_ASKED);
}
