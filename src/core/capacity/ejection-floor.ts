/**
 * Bounds how many backends of a service one daemon leaves alone (ejects) at once. Where more than a share
 * of them seem to fail, the daemon or its links are more likely at fault, and callers would wait
 * for nobody. Pure.
 */

/** Largest share of a service's backends that a daemon leaves alone: the others bear the load of all. */
export const MOST_EJECTED_SHARE = 0.5;

/** A backend that the daemon would leave alone. */
export interface AvoidedBackend {
  readonly id: string;
  /** When it would be asked again, in milliseconds of a steady clock. */
  readonly until: number;
}

/**
 * Backends beyond the share, which may be asked all the same if nobody else can take a request:
 * those whose time ends first.
 *
 * @param serving - Backends of the service that take requests.
 */
export function sparedBackends(avoided: readonly AvoidedBackend[], serving: number): Set<string> {
  const most = Math.max(1, Math.floor(serving * MOST_EJECTED_SHARE));
  const longest = [...avoided].sort((a, b) => b.until - a.until);
  return new Set(longest.slice(most).map(({ id }) => id));
}
