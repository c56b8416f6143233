/** Interface of the keep-alive policies, which decide how long an idle replica stays loaded. */
import type { TenantSpec } from './documents.js';

/** Decides how long idle replicas stay loaded. Times are in milliseconds. */
export interface KeepAlivePolicy {
  /** Records that a tenant was used after it had been idle for `idleMs`. */
  observeIdle(tenant: string, idleMs: number): void;
  /** Returns how long a replica of the tenant may be idle before the owner unloads it. */
  keepMs(tenant: TenantSpec): number;
}
