/** Sends the locations of tenants to routers, to each router only after a change. Performs no I/O. */
import type { PoolEffect, TenantLocation } from './pool-messages.js';

/** Steps per doubling to which the number of routers is rounded before it is published. */
const ROUTER_STEPS_PER_DOUBLING = 4;

/** Remembers the location last sent to each router. */
export class LocationPublisher {
  private readonly sentSignatures = new Map<string, string>();
  private version = 0;

  /** Returns messages for the routers to which a different location, or none, was sent before. */
  publish(location: TenantLocation, routers: Iterable<string>): PoolEffect[] {
    const signature = locationSignature(location);
    const effects: PoolEffect[] = [];
    for (const router of routers) {
      const key = subscriptionKey(router, location.tenant);
      if (this.sentSignatures.get(key) === signature) continue;
      this.sentSignatures.set(key, signature);
      this.version += 1;
      const { version } = this;
      effects.push({ type: 'push_location', router, location: { ...location, version } });
    }
    return effects;
  }

  /** Deletes the state of routers that are no longer subscribed. */
  retainSubscribed(isSubscribed: (router: string, tenant: string) => boolean): void {
    for (const key of this.sentSignatures.keys()) {
      const [router = '', tenant = ''] = key.split('\n');
      if (!isSubscribed(router, tenant)) this.sentSignatures.delete(key);
    }
  }

  /** Deletes the state of a router that has lost the location, so that the location is sent again. */
  forget(router: string, tenant: string): void {
    this.sentSignatures.delete(subscriptionKey(router, tenant));
  }
}

function subscriptionKey(router: string, tenant: string): string {
  return `${router}\n${tenant}`;
}

/**
 * Rounds the number of routers to steps of about a fifth. Routers join and leave
 * all the time, and without rounding each change would be sent to all others.
 */
function roundedRouters(routers: number): number {
  return Math.round(ROUTER_STEPS_PER_DOUBLING * Math.log2(routers));
}

/** Identifies what a router was sent. Leaves the countdown out, so that it alone does not cause a message. */
function locationSignature(location: TenantLocation): string {
  const replicas = location.replicas
    .map((replica) => `${replica.engine}/${replica.incarnation}`)
    .join(',');
  return `${location.state}|${roundedRouters(location.routers)}|${replicas}`;
}
