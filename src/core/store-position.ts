/**
 * Places in the history of the platform's store. Revisions only order what one era of the store has told: when the store comes
 * back from a copy its era rises by one, and revisions are given out again. A position orders all of it. Pure.
 */

/**
 * An era and a revision as one whole number below 2^53, in their order. Within era 0, where the store names none, it is the
 * revision itself.
 */
export type StorePosition = number;

/** Revisions of one era. */
const REVISIONS = 2 ** 40;
const HIGHEST_ERA = 2 ** 13 - 1;
const WHOLE_NUMBER = /^\d+$/;

/** The position of a revision in an era. */
export function positionOf(era: number, revision: number): StorePosition {
  return era * REVISIONS + revision;
}

/** The era of a position. */
export function eraOf(position: StorePosition): number {
  return Math.floor(position / REVISIONS);
}

/** The revision of a position, as the store names it. */
export function revisionOf(position: StorePosition): number {
  return position - eraOf(position) * REVISIONS;
}

/** Reads an era from a header; undefined if it is none. */
export function readEra(header: string | undefined): number | undefined {
  const text = header?.trim() ?? '';
  const era = WHOLE_NUMBER.test(text) ? Number(text) : NaN;
  return era <= HIGHEST_ERA ? era : undefined;
}
