/** How long an idle replica stays loaded: the interface of keep-alive policies. */
import type { TenantSpec } from './documents.js';

/** Decides how long idle replicas stay. Times are in milliseconds. */
export interface KeepAlivePolicy {
  /** Records that a tenant was used after having been idle for `idleMs`. */
  observeIdle(tenant: string, idleMs: number): void;
  /** How long a replica of the tenant may idle before it is unloaded. */
  keepMs(tenant: TenantSpec): number;
}
