/** Max-min fair shares of a backend's slots among the tenants that use or wait for them. Pure. */

/** Sizes of a tenant's requests in flight and waiting, in multiples of the mean request size. */
export interface TenantUse {
  readonly held: number;
  readonly waiting: number;
}

/**
 * Returns the max-min fair share of `capacity`: tenants that want less than the share get all that they
 * want, and the others divide the rest equally. Infinite if there is enough for all tenants.
 */
export function maxMinShare(uses: Iterable<TenantUse>, capacity: number): number {
  const demands = [...uses].map(({ held, waiting }) => held + waiting).sort((a, b) => a - b);
  let remaining = capacity;
  for (const [index, demand] of demands.entries()) {
    const share = remaining / (demands.length - index);
    if (demand > share) return share;
    remaining -= demand;
  }
  return Infinity;
}
