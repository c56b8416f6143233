/** Tells routers where a tenant runs, and only when that has changed for them. Pure. */
import type { PoolEffect, TenantLocation } from './pool-messages.js';

/** Steps in which the number of routers is told, for each doubling. */
const ROUTER_STEPS_PER_DOUBLING = 4;

/** Remembers what each router was told last. */
export class LocationPublisher {
  private readonly pushed = new Map<string, string>();
  private version = 0;

  /** The messages for those routers that were told something else before. */
  publish(location: TenantLocation, routers: Iterable<string>): PoolEffect[] {
    const signature = locationSignature(location);
    const effects: PoolEffect[] = [];
    for (const router of routers) {
      const key = pushKey(router, location.tenant);
      if (this.pushed.get(key) === signature) continue;
      this.pushed.set(key, signature);
      this.version += 1;
      const { version } = this;
      effects.push({ type: 'push_location', router, location: { ...location, version } });
    }
    return effects;
  }

  /** Forgets what was told to routers that are not subscribed any more. */
  keepOnly(isSubscribed: (router: string, tenant: string) => boolean): void {
    for (const key of this.pushed.keys()) {
      const [router = '', tenant = ''] = key.split('\n');
      if (!isSubscribed(router, tenant)) this.pushed.delete(key);
    }
  }

  /** The router has forgotten what it was told. */
  forget(router: string, tenant: string): void {
    this.pushed.delete(pushKey(router, tenant));
  }
}

function pushKey(router: string, tenant: string): string {
  return `${router}\n${tenant}`;
}

/**
 * Routers come and go all the time, and each change would be told to all the
 * others. They hear of it only in steps of about a fifth.
 */
function routersStep(routers: number): number {
  return Math.round(ROUTER_STEPS_PER_DOUBLING * Math.log2(routers));
}

/** What must differ for a router to be told again; the countdown alone does not count. */
function locationSignature(location: TenantLocation): string {
  const replicas = location.replicas
    .map((replica) => `${replica.engine}/${replica.incarnation}`)
    .join(',');
  return `${location.state}|${routersStep(location.routers)}|${replicas}`;
}
