/**
 * Keep-alive policy that learns from a tenant's idle times. For each candidate
 * keep-alive duration it adds up the idle time and the cold starts that the
 * duration would have cost over the observed idle times, and chooses the cheapest.
 */
import type { PriorityClass, TenantSpec } from './documents.js';
import type { KeepAlivePolicy } from './keep-alive.js';

/** Number of idle times remembered per tenant. */
const MAX_TENANT_IDLE_TIMES = 64;
/** Number of idle times remembered per priority class, over all its tenants. */
const MAX_CLASS_IDLE_TIMES = 256;
/** With fewer idle times for a tenant, the policy uses those of its priority class. */
const MIN_IDLE_TIMES = 6;

/** Weights of idle time against cold starts. */
export interface KeepAliveWeights {
  /** Idle milliseconds that one avoided cold start is worth, by priority class. */
  readonly coldStartWorthMs: {
    readonly live: number;
    readonly interactive: number;
    readonly batch: number;
  };
}

/** Idle times, and the keep-alive duration computed from them. */
interface IdleTimes {
  /** Milliseconds, oldest first. */
  readonly times: number[];
  /** Undefined until computed again after a new idle time. */
  cheapestMs: number | undefined;
}

/** Learns keep-alive durations from the idle times of each tenant and each priority class. */
export class AdaptiveKeepAlive implements KeepAlivePolicy {
  private readonly tenants = new Map<string, IdleTimes>();
  private readonly classes = new Map<PriorityClass, IdleTimes>();
  private readonly classOf = new Map<string, PriorityClass>();

  constructor(private readonly weights: KeepAliveWeights) {}

  observeIdle(tenant: string, idleMs: number): void {
    addIdleTime(this.tenants, tenant, idleMs, MAX_TENANT_IDLE_TIMES);
    const priority = this.classOf.get(tenant);
    if (priority !== undefined) addIdleTime(this.classes, priority, idleMs, MAX_CLASS_IDLE_TIMES);
  }

  keepMs(tenant: TenantSpec): number {
    this.classOf.set(tenant.name, tenant.priority);
    if (tenant.keepAlive.policy === 'forever') return Infinity;
    const maxKeepMs = tenant.keepAlive.idleMs;
    if (tenant.keepAlive.policy === 'fixed') return maxKeepMs;
    const coldStartWorthMs = this.weights.coldStartWorthMs[tenant.priority];
    const own = this.tenants.get(tenant.name);
    const hasEnoughTimes = own !== undefined && own.times.length >= MIN_IDLE_TIMES;
    const source = hasEnoughTimes ? own : this.classes.get(tenant.priority);
    // Without observations, keeping the replica for the worth of a cold start costs at most twice the optimum.
    if (source === undefined || source.times.length < MIN_IDLE_TIMES)
      return Math.min(coldStartWorthMs, maxKeepMs);
    source.cheapestMs ??= cheapestKeepAliveMs(source.times, coldStartWorthMs);
    return Math.min(source.cheapestMs, maxKeepMs);
  }
}

function addIdleTime<Key>(
  idleTimes: Map<Key, IdleTimes>,
  key: Key,
  idleMs: number,
  maxTimes: number,
): void {
  const idle = idleTimes.get(key) ?? { times: [], cheapestMs: undefined };
  idleTimes.set(key, idle);
  idle.times.push(idleMs);
  if (idle.times.length > maxTimes) idle.times.shift();
  idle.cheapestMs = undefined;
}

/**
 * Returns the keep-alive duration in milliseconds with the lowest total cost of idle time and cold starts; the candidates
 * are the observed idle times.
 */
export function cheapestKeepAliveMs(times: readonly number[], coldStartWorthMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let bestMs = 0;
  let bestCost = sorted.length * coldStartWorthMs;
  let idleCostMs = 0;
  sorted.forEach((candidateMs, index) => {
    idleCostMs += candidateMs;
    const misses = sorted.length - index - 1;
    const cost = idleCostMs + misses * (candidateMs + coldStartWorthMs);
    if (cost >= bestCost) return;
    bestMs = candidateMs;
    bestCost = cost;
  });
  // Add a margin, so that an idle time of the same length is covered.
  return bestMs * 1.05;
}
