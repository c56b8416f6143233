/** Demand for one tenant of a pool, aggregated over the wake requests of all routers. Pure. */
import type { WakeRequest } from './pool-messages.js';

/** Milliseconds after its last wake request when a router is dropped. */
export const SUBSCRIPTION_LIFETIME_MS = 15_000;
/** Milliseconds for which the requests named in a wake request count as waiting or in flight. */
const WAITING_LIFETIME_MS = 3_000;

interface RouterDemand {
  readonly wake: WakeRequest;
  readonly at: number;
}

/** Aggregated demand for one tenant. */
export class TenantDemand {
  private readonly routers = new Map<string, RouterDemand>();

  /** Records a router's wake request, replacing its previous one. */
  add(wake: WakeRequest, now: number): void {
    this.routers.set(wake.router, { wake, at: now });
  }

  /** Drops routers whose subscription has expired; returns whether any were dropped. */
  expire(now: number): boolean {
    const before = this.routers.size;
    for (const [router, demand] of this.routers) {
      if (now - demand.at > SUBSCRIPTION_LIFETIME_MS) this.routers.delete(router);
    }
    return this.routers.size !== before;
  }

  /** Routers that receive updates of the tenant's location. */
  subscribers(): string[] {
    return [...this.routers.keys()];
  }

  /** Number of routers that use the tenant. */
  get routerCount(): number {
    return this.routers.size;
  }

  /** Number of requests waiting at all routers. */
  waiting(now: number): number {
    return this.currentWakes(now).reduce((sum, wake) => sum + wake.waiting, 0);
  }

  /** Number of requests waiting or in flight at all routers. */
  waitingAndInFlight(now: number): number {
    return this.currentWakes(now).reduce((sum, wake) => sum + wake.waiting + wake.inFlight, 0);
  }

  /**
   * Lowest (most urgent) priority value among routers with waiting requests; Infinity if there are
   * none.
   */
  priority(now: number): number {
    return this.minimumOfWaiting(now, (wake) => wake.priority);
  }

  /** Earliest deadline among routers with waiting requests; Infinity if there are none. */
  deadline(now: number): number {
    return this.minimumOfWaiting(now, (wake) => wake.deadline);
  }

  private minimumOfWaiting(now: number, measure: (wake: WakeRequest) => number): number {
    const waiting = this.currentWakes(now).filter((wake) => wake.waiting > 0);
    return waiting.reduce((low, wake) => Math.min(low, measure(wake)), Infinity);
  }

  private currentWakes(now: number): WakeRequest[] {
    return [...this.routers.values()]
      .filter((demand) => now - demand.at <= WAITING_LIFETIME_MS)
      .map((demand) => demand.wake);
  }
}
