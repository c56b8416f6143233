/**
 * Keep-alive from a tenant's own idle times. For each candidate stay it weighs
 * the idle time that the stay would have cost against the cold starts that it
 * would have saved, over the idle times seen, and takes the cheapest.
 */
import type { PriorityClass, TenantSpec } from './documents.js';
import type { KeepAlivePolicy } from './keep-alive.js';

/** Idle times remembered a tenant, and over all tenants of a class. */
const REMEMBERED = 64;
const REMEMBERED_OF_CLASS = 256;
/** Fewer idle times than this say too little of a tenant; its class stands in. */
const FEWEST = 6;

/** How the two measures are weighed. */
export interface KeepAliveWeights {
  /** Idle milliseconds that one avoided cold start is worth, for each priority class. */
  readonly coldStartWorthMs: {
    readonly live: number;
    readonly interactive: number;
    readonly batch: number;
  };
}

/** Idle times, and the stay that was chosen from them. */
interface IdleTimes {
  readonly times: number[];
  /** Undefined after a new idle time. */
  stayMs: number | undefined;
}

/** Learns idle times for each tenant, and for each class. */
export class AdaptiveKeepAlive implements KeepAlivePolicy {
  private readonly tenants = new Map<string, IdleTimes>();
  private readonly classes = new Map<PriorityClass, IdleTimes>();
  private readonly classOf = new Map<string, PriorityClass>();

  constructor(private readonly weights: KeepAliveWeights) {}

  observeIdle(tenant: string, idleMs: number): void {
    learn(this.tenants, tenant, idleMs, REMEMBERED);
    const priority = this.classOf.get(tenant);
    if (priority !== undefined) learn(this.classes, priority, idleMs, REMEMBERED_OF_CLASS);
  }

  keepMs(tenant: TenantSpec): number {
    this.classOf.set(tenant.name, tenant.priority);
    if (tenant.keepAlive.policy === 'forever') return Infinity;
    const longest = tenant.keepAlive.idleMs;
    if (tenant.keepAlive.policy === 'fixed') return longest;
    const worth = this.weights.coldStartWorthMs[tenant.priority];
    const own = this.tenants.get(tenant.name);
    const known = own !== undefined && own.times.length >= FEWEST;
    const source = known ? own : this.classes.get(tenant.priority);
    // Nothing is known: the stay that costs at most twice what foresight would.
    if (source === undefined || source.times.length < FEWEST) return Math.min(worth, longest);
    source.stayMs ??= cheapestStay(source.times, worth);
    return Math.min(source.stayMs, longest);
  }
}

function learn<Key>(known: Map<Key, IdleTimes>, key: Key, idleMs: number, most: number): void {
  const idle = known.get(key) ?? { times: [], stayMs: undefined };
  known.set(key, idle);
  idle.times.push(idleMs);
  if (idle.times.length > most) idle.times.shift();
  idle.stayMs = undefined;
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
