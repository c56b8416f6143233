/**
 * Positions in the history of the platform's store. Revisions are ordered only within one era of the store: when the store is
 * restored from a backup, its era increases by one and revisions are reused. Positions are ordered across eras. Performs no I/O.
 */

/**
 * An era and a revision, encoded as one integer below 2^53 that preserves their order. In era 0, which applies if the store
 * reports no era, the position equals the revision.
 */
export type StorePosition = number;

/** Number of revisions per era. */
const REVISIONS_PER_ERA = 2 ** 40;
const MAX_ERA = 2 ** 13 - 1;
const INTEGER_PATTERN = /^\d+$/;

/** The position of a revision in an era. */
export function positionOf(era: number, revision: number): StorePosition {
  return era * REVISIONS_PER_ERA + revision;
}

/** The era of a position. */
export function eraOf(position: StorePosition): number {
  return Math.floor(position / REVISIONS_PER_ERA);
}

/** The revision of a position, as the store reports it. */
export function revisionOf(position: StorePosition): number {
  return position - eraOf(position) * REVISIONS_PER_ERA;
}

/** Parses an era from a header; undefined if the header is missing or invalid. */
export function parseEra(header: string | undefined): number | undefined {
  const text = header?.trim() ?? '';
  const era = INTEGER_PATTERN.test(text) ? Number(text) : NaN;
  return era <= MAX_ERA ? era : undefined;
}
