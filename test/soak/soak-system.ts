/** The parts of a running soak that faults strike. */
import type { StoreFault, TimeSpan } from './evidence.js';
import type { GatewayProcess } from './gateway-process.js';
import type { ObjectStoreStandIn } from './object-store-stand-in.js';
import type { ReplicaStandIn } from './replica-stand-in.js';

/** Gateways, stand-ins, and the record of what was done to them. */
export interface SoakSystem {
  readonly store: ObjectStoreStandIn;
  readonly replicas: readonly ReplicaStandIn[];
  /** By name. */
  readonly gateways: ReadonlyMap<string, GatewayProcess>;
  readonly storeFaults: StoreFault[];
  readonly replicaFaults: TimeSpan[];
  /** The operator publishes the next version. */
  changeConfiguration(): void;
}
