/** Builds and compares the specifications of tenants' replicas. Pure. */
import type { ReplicaSpec } from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';

/** Returns the specification that an engine needs to load a tenant's replica. */
export function replicaSpecOf(tenant: TenantSpec): ReplicaSpec {
  return {
    tenant: tenant.name,
    model: tenant.model,
    version: tenant.version,
    modelBytes: tenant.modelBytes,
    adapters: tenant.adapters,
    slots: tenant.slots,
  };
}

/** Whether two replicas have the same model, version, slots and adapter names. */
export function sameReplica(a: ReplicaSpec, b: ReplicaSpec): boolean {
  const sameModel = a.model === b.model && a.version === b.version && a.slots === b.slots;
  if (!sameModel || a.adapters.length !== b.adapters.length) return false;
  return a.adapters.every((adapter, index) => adapter.name === b.adapters[index]?.name);
}
