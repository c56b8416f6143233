/** Keep-alive policy that uses the fixed time from the tenant's settings. The baseline policy. */
import type { TenantSpec } from './documents.js';
import type { KeepAlivePolicy } from './keep-alive.js';

/** Keeps a replica for the tenant's `idleSeconds`, or without a time limit. */
export class FixedKeepAlive implements KeepAlivePolicy {
  observeIdle(): void {
    // The time is fixed, so observed idle times are ignored.
  }

  keepMs(tenant: TenantSpec): number {
    return tenant.keepAlive.policy === 'forever' ? Infinity : tenant.keepAlive.idleMs;
  }
}
