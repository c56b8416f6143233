/** Keep-alive with the time that the tenant's settings name. The baseline. */
import type { TenantSpec } from './documents.js';
import type { KeepAlivePolicy } from './keep-alive.js';

/** The tenant's `idleSeconds`, or for ever. */
export class FixedKeepAlive implements KeepAlivePolicy {
  observeIdle(): void {
    // The time is fixed: nothing is learned.
  }

  keepMs(tenant: TenantSpec): number {
    return tenant.keepAlive.policy === 'forever' ? Infinity : tenant.keepAlive.idleMs;
  }
}
