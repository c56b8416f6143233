/**
 * The bound that no policy without foresight can beat: it knows the next use of
 * every tenant, and keeps a replica over an idle time only if that is worth it.
 */
import type { TenantSpec } from '../core/documents.js';
import type { KeepAlivePolicy } from '../core/keep-alive.js';
import type { KeepAliveWeights } from '../core/keep-alive-adaptive.js';
import type { Workload } from './workload.js';

/** Knows all arrivals of a workload. */
export class ClairvoyantKeepAlive implements KeepAlivePolicy {
  private readonly arrivals = new Map<string, number[]>();
  private readonly positions = new Map<string, number>();
  /** Milliseconds of the simulation; set before the run. */
  clock: () => number = () => 0;

  constructor(
    workload: Workload,
    private readonly weights: KeepAliveWeights,
  ) {
    for (const arrival of workload.arrivals) {
      const name = workload.tenants[arrival.tenant]?.name ?? '';
      const times = this.arrivals.get(name) ?? [];
      times.push(arrival.at);
      this.arrivals.set(name, times);
    }
  }

  observeIdle(): void {
    // Nothing is to be learned.
  }

  keepMs(tenant: TenantSpec): number {
    const now = this.clock();
    const times = this.arrivals.get(tenant.name) ?? [];
    let position = this.positions.get(tenant.name) ?? 0;
    while (position < times.length && (times[position] ?? 0) <= now) position += 1;
    this.positions.set(tenant.name, position);
    const next = times[position] ?? Infinity;
    return next - now <= this.weights.coldStartWorthMs[tenant.priority] ? Infinity : 0;
  }
}
