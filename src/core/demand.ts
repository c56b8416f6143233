/** What routers want of a tenant in a pool: wakes of all routers, joined. Pure. */
import type { WakeRequest } from './pool-messages.js';

/** Milliseconds after which a router that has not renewed its wake is forgotten. */
export const SUBSCRIPTION_LIFETIME_MS = 15_000;
/** Milliseconds after which a router's waiting requests count no more without a new wake. */
const WAITING_LIFETIME_MS = 3_000;

interface RouterDemand {
  readonly wake: WakeRequest;
  readonly at: number;
}

/** The joined demand for one tenant. */
export class Demand {
  private readonly routers = new Map<string, RouterDemand>();

  /** Takes in a router's wake; it replaces the router's last one. */
  add(wake: WakeRequest, now: number): void {
    this.routers.set(wake.router, { wake, at: now });
  }

  /** Forgets routers that have gone quiet; true if some were. */
  expire(now: number): boolean {
    const before = this.routers.size;
    for (const [router, demand] of this.routers) {
      if (now - demand.at > SUBSCRIPTION_LIFETIME_MS) this.routers.delete(router);
    }
    return this.routers.size !== before;
  }

  /** Routers that hear of the tenant's location. */
  subscribers(): string[] {
    return [...this.routers.keys()];
  }

  /** Routers that use the tenant. */
  get size(): number {
    return this.routers.size;
  }

  /** Requests waiting at all routers. */
  waiting(now: number): number {
    return this.fresh(now).reduce((sum, wake) => sum + wake.waiting, 0);
  }

  /** Requests waiting and in flight at all routers. */
  total(now: number): number {
    return this.fresh(now).reduce((sum, wake) => sum + wake.waiting + wake.inFlight, 0);
  }

  /** Most urgent class that waits; Infinity for none. */
  priority(now: number): number {
    return this.least(now, (wake) => wake.priority);
  }

  /** Earliest deadline that waits; Infinity for none. */
  deadline(now: number): number {
    return this.least(now, (wake) => wake.deadline);
  }

  private least(now: number, measure: (wake: WakeRequest) => number): number {
    const waiting = this.fresh(now).filter((wake) => wake.waiting > 0);
    return waiting.reduce((low, wake) => Math.min(low, measure(wake)), Infinity);
  }

  private fresh(now: number): WakeRequest[] {
    return [...this.routers.values()]
      .filter((demand) => now - demand.at <= WAITING_LIFETIME_MS)
      .map((demand) => demand.wake);
  }
}
