/** Where a load goes: the interface of placement policies. */
import type { ReplicaSpec } from '../engines/engine-client.js';
import type { EngineLedger } from './engine-ledger.js';

/** Replicas to unload first, and the engine to load on after that. */
export interface Placement {
  readonly engine: EngineLedger;
  /** Tenants whose idle replicas make room; empty when there is room already. */
  readonly evict: readonly string[];
}

/** Chooses an engine for a load. */
export interface PlacementPolicy {
  /**
   * The engine for a load, or undefined if it fits nowhere. `evictable` says
   * whether a tenant's replica on an engine may make room.
   */
  choose(
    spec: ReplicaSpec,
    engines: readonly EngineLedger[],
    evictable: (engine: EngineLedger, tenant: string) => boolean,
  ): Placement | undefined;
}

/** Idle replicas of an engine, least recently used first, whose unloading makes the load fit. */
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
    used -= ownBytes(replica.spec, engine, evicted);
    if (used <= engine.capacityBytes) return evicted;
  }
  return undefined;
}

/** Memory that goes with a replica: its adapters, and its base model if no other keeps it. */
function ownBytes(spec: ReplicaSpec, engine: EngineLedger, gone: readonly string[]): number {
  const adapters = spec.adapters.reduce((sum, adapter) => sum + adapter.bytes, 0);
  const shared = [...engine.replicas.values()].some(
    (other) => other.spec.model === spec.model && !gone.includes(other.spec.tenant),
  );
  return shared ? adapters : adapters + spec.modelBytes;
}
