/** Placement without regard to caches: the baseline that the experiments compare with. */
import type { ReplicaSpec } from '../engines/engine-client.js';
import type { EngineLedger } from './engine-ledger.js';
import { findEvictions, type Placement, type PlacementPolicy } from './placement.js';

/** Fewest evictions first, then the most free memory. */
export class MostFreePlacement implements PlacementPolicy {
  choose(
    spec: ReplicaSpec,
    engines: readonly EngineLedger[],
    evictable: (engine: EngineLedger, tenant: string) => boolean,
  ): Placement | undefined {
    const options = engines.flatMap((engine) => {
      const evict = findEvictions(spec, engine, evictable);
      const free = engine.capacityBytes - engine.usedBytes();
      return evict === undefined ? [] : [{ engine, evict, free }];
    });
    options.sort((a, b) => a.evict.length - b.evict.length || b.free - a.free);
    return options[0];
  }
}
