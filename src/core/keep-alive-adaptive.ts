/**
 * Keep-alive from a tenant's own idle times. For each candidate stay it weighs
 * the idle time that the stay would have cost against the cold starts that it
 * would have saved, over the idle times seen, and takes the cheapest.
 */
import type { TenantSpec } from './documents.js';
import type { KeepAlivePolicy } from './keep-alive.js';

/** Idle times remembered a tenant. */
const REMEMBERED = 64;
/** Fewer than this many idle times say too little; the longest stay is used. */
const FEWEST = 4;

/** How the two measures are weighed. */
export interface KeepAliveWeights {
  /** Idle milliseconds that one avoided cold start is worth, for each priority class. */
  readonly coldStartWorthMs: {
    readonly live: number;
    readonly interactive: number;
    readonly batch: number;
  };
}

/** Learns idle times for each tenant. */
export class AdaptiveKeepAlive implements KeepAlivePolicy {
  private readonly seen = new Map<string, number[]>();
  private readonly chosen = new Map<string, number>();

  constructor(private readonly weights: KeepAliveWeights) {}

  observeIdle(tenant: string, idleMs: number): void {
    const times = this.seen.get(tenant) ?? [];
    times.push(idleMs);
    if (times.length > REMEMBERED) times.shift();
    this.seen.set(tenant, times);
    this.chosen.delete(tenant);
  }

  keepMs(tenant: TenantSpec): number {
    if (tenant.keepAlive.policy === 'forever') return Infinity;
    const longest = tenant.keepAlive.idleMs;
    if (tenant.keepAlive.policy === 'fixed') return longest;
    const times = this.seen.get(tenant.name);
    if (times === undefined || times.length < FEWEST) return longest;
    const known = this.chosen.get(tenant.name);
    if (known !== undefined) return Math.min(known, longest);
    const best = cheapestStay(times, this.weights.coldStartWorthMs[tenant.priority]);
    this.chosen.set(tenant.name, best);
    return Math.min(best, longest);
  }
}

/** The stay with the least idle time and cold starts together; candidates are the times seen. */
export function cheapestStay(times: readonly number[], coldStartWorthMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let best = 0;
  let bestCost = sorted.length * coldStartWorthMs;
  let covered = 0;
  sorted.forEach((stay, index) => {
    covered += stay;
    const misses = sorted.length - index - 1;
    const cost = covered + misses * (stay + coldStartWorthMs);
    if (cost >= bestCost) return;
    best = stay;
    bestCost = cost;
  });
  // A little longer than the idle time that it is to cover.
  return best * 1.05;
}
