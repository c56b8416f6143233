/**
 * Limits how many backends of a service one daemon ejects (sends no requests to) at once. If more than this
 * share of them seem to fail, the daemon or its network links are more likely at fault, and ejecting
 * them all would leave callers without any backend to wait for. No I/O.
 */

/** Largest share of a service's backends that a daemon ejects, because the others must carry the whole load. */
export const MAX_EJECTED_SHARE = 0.5;

/** A backend that the daemon would eject. */
export interface EjectedBackend {
  readonly id: string;
  /** When the ejection would end, in milliseconds of a monotonic clock. */
  readonly until: number;
}

/**
 * Returns the backends in excess of the limit: those whose ejection ends first. They may still get a request
 * if no other backend can take it.
 *
 * @param serving - Backends of the service that take requests.
 */
export function backendsExemptFromEjection(
  avoided: readonly EjectedBackend[],
  serving: number,
): Set<string> {
  const maxEjected = Math.max(1, Math.floor(serving * MAX_EJECTED_SHARE));
  const longestEjectedFirst = [...avoided].sort((a, b) => b.until - a.until);
  return new Set(longestEjectedFirst.slice(maxEjected).map(({ id }) => id));
}
