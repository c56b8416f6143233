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

/** Gateways that nothing is being done to. */
export function undisturbedGateways({ gateways }: Pick<SoakSystem, 'gateways'>): GatewayProcess[] {
  const now = Date.now();
  return [...gateways.values()].filter((each) => !each.wasDisturbed(now, now));
}

/** Replicas of each service that stay, so that callers can be served. */
const STAYING = 1;

/** Sound replicas that may leave. */
export function spareReplicas({ replicas }: Pick<SoakSystem, 'replicas'>): ReplicaStandIn[] {
  const staying = replicas.filter(({ isServing }) => isServing);
  return staying.filter(({ service, condition }) => {
    const others = staying.filter((other) => other.service === service).length - 1;
    return condition === 'sound' && others >= STAYING;
  });
}
