/** Interface of placement policies, which choose the engine for a load. */
import type { ReplicaSpec } from '../engines/engine-client.js';
import type { EngineLedger } from './engine-ledger.js';

/** The engine to load on, and the replicas to unload there first. */
export interface Placement {
  readonly engine: EngineLedger;
  /** Tenants whose idle replicas are evicted; empty if there is enough free memory. */
  readonly evict: readonly string[];
}

/** Chooses an engine for a load. */
export interface PlacementPolicy {
  /**
   * Returns the engine for a load, or undefined if it fits on no engine. `evictable`
   * returns whether a tenant's replica on an engine may be evicted.
   */
  choose(
    spec: ReplicaSpec,
    engines: readonly EngineLedger[],
    evictable: (engine: EngineLedger, tenant: string) => boolean,
  ): Placement | undefined;
}

/**
 * Returns the tenants of evictable replicas, least recently used first, whose eviction makes the
 * load fit; undefined if it cannot fit.
 */
export function findEvictions(
  spec: ReplicaSpec,
  engine: EngineLedger,
  evictable: (engine: EngineLedger, tenant: string) => boolean,
): readonly string[] | undefined {
  let used = engine.usedBytesWith(spec);
  if (used <= engine.capacityBytes) return [];
  const idle = [...engine.replicas.values()]
    .filter((replica) => evictable(engine, replica.spec.tenant))
    .sort((a, b) => a.lastUsedAt - b.lastUsedAt);
  const evicted: string[] = [];
  for (const replica of idle) {
    evicted.push(replica.spec.tenant);
    used -= freedBytes(replica.spec, engine, evicted);
    if (used <= engine.capacityBytes) return evicted;
  }
  return undefined;
}

/**
 * Bytes freed by evicting a replica: its adapters, and its base model if no remaining replica uses
 * it.
 */
function freedBytes(
  spec: ReplicaSpec,
  engine: EngineLedger,
  evictedTenants: readonly string[],
): number {
  const adapters = spec.adapters.reduce((sum, adapter) => sum + adapter.bytes, 0);
  const isModelShared = [...engine.replicas.values()].some(
    (other) => other.spec.model === spec.model && !evictedTenants.includes(other.spec.tenant),
  );
  return isModelShared ? adapters : adapters + spec.modelBytes;
}
