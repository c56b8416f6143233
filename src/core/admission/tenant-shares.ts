/** Max-min shares of a backend's slots among the tenants that use it or wait for it. Pure. */

/** What a tenant has and wants, in usual requests. */
export interface TenantUse {
  readonly held: number;
  readonly waiting: number;
}

/**
 * The share up to which all are served alike: whoever wants less gets what it wants, and what is
 * left goes to the others in equal parts. Infinite if there is enough for all.
 */
export function shareLevel(uses: Iterable<TenantUse>, room: number): number {
  const wants = [...uses].map(({ held, waiting }) => held + waiting).sort((a, b) => a - b);
  let left = room;
  for (const [index, want] of wants.entries()) {
    const level = left / (wants.length - index);
    if (want > level) return level;
    left -= want;
  }
  return Infinity;
}
