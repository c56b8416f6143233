/**
 * Placement policy that prefers engines with a near checkpoint, then engines with much free memory.
 */
import type { CheckpointTier, ReplicaSpec } from '../engines/engine-client.js';
import type { EngineLedger } from './engine-ledger.js';
import { findEvictions, type Placement, type PlacementPolicy } from './placement.js';

const TIER_RANK: Record<CheckpointTier, number> = { resident: 0, memory: 1, disk: 2, remote: 3 };

/** Prefers the fewest evictions, then the nearest checkpoint tier, then the most free memory. */
export class CacheAwarePlacement implements PlacementPolicy {
  choose(
    spec: ReplicaSpec,
    engines: readonly EngineLedger[],
    evictable: (engine: EngineLedger, tenant: string) => boolean,
  ): Placement | undefined {
    const options = engines.flatMap((engine) => {
      const evict = findEvictions(spec, engine, evictable);
      return evict === undefined ? [] : [{ engine, evict }];
    });
    return options.sort((a, b) => compare(spec, a, b))[0];
  }
}

function compare(spec: ReplicaSpec, a: Placement, b: Placement): number {
  const tier = (option: Placement): number => TIER_RANK[option.engine.tierOf(spec.model)];
  const free = (option: Placement): number =>
    option.engine.capacityBytes - option.engine.usedBytes();
  return (
    a.evict.length - b.evict.length ||
    tier(a) - tier(b) ||
    free(b) - free(a) ||
    (a.engine.address < b.engine.address ? -1 : 1)
  );
}
