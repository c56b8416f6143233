/** Creates the replicas of a soak test. */
import type { TimeSpan } from './evidence.js';
import type { ObjectStoreStandIn } from './object-store-stand-in.js';
import { MAX_LOADED_MODELS, ReplicaStandIn } from './replica-stand-in.js';
import type { RunLog } from './run-log.js';
import type { SoakOptions } from './soak-options.js';
import { SeededRandom } from './seeded-random.js';

/** Names of the models that callers request. */
export const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6', 'm7'];
/** Software versions of the replicas, if they have several. */
export const SOFTWARE_VERSIONS = ['v1', 'v1.1', 'v2'];
/** Number of versions that replicas have at the start. */
const FIRST_VERSIONS = 2;
/** Number of replicas by default. */
export const REPLICAS = 6;
/** Share of replicas that serve models. The others serve plain requests. */
const MODEL_REPLICA_SHARE = 2 / 3;

/** Whether replicas have several software versions. */
export function haveVersions(only: SoakOptions['only'] = []): boolean {
  return startsWithSeveralVersions(only) || only.includes('version_joins_unseen');
}

function startsWithSeveralVersions(only: SoakOptions['only'] = []): boolean {
  return only.includes('software_released') || only.includes('software_replaced');
}

/** What a replica needs of its soak test. */
export interface ReplicaContext {
  readonly options: Pick<SoakOptions, 'seed' | 'checksEpochs' | 'replicas' | 'only'>;
  readonly store: ObjectStoreStandIn;
  readonly log: RunLog;
  /** Receives the spans in which a request has crashed the replica. */
  readonly replicaFaults: TimeSpan[];
}

/** Creates the replica with an index. */
export function makeReplica(index: number, context: ReplicaContext): ReplicaStandIn {
  const { store, log, replicaFaults } = context;
  const { seed, checksEpochs = true, replicas = REPLICAS, only } = context.options;
  const hasModels = index < Math.round(replicas * MODEL_REPLICA_SHARE);
  const first = index % (MODELS.length - MAX_LOADED_MODELS + 1);
  const models = hasModels ? MODELS.slice(first, first + MAX_LOADED_MODELS) : [];
  return new ReplicaStandIn({
    name: `replica-${index}`,
    service: hasModels ? 'models' : 'plain',
    models,
    hasModels,
    store,
    log,
    random: new SeededRandom(seed + 100 + index),
    checksEpochs,
    ...(haveVersions(only)
      ? { softwareVersion: versionAt(startsWithSeveralVersions(only) ? index : 0) }
      : {}),
    onCrashedByRequest: (backMs) => {
      replicaFaults.push({ from: Date.now(), until: Date.now() + backMs });
    },
  });
}

/** The first software version of the replica with an index. */
function versionAt(index: number): string {
  return SOFTWARE_VERSIONS[index % FIRST_VERSIONS] ?? '';
}
