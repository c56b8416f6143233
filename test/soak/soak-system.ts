/** The parts of a running soak test that faults are injected into. */
import type {
  BackendPartition,
  BrittleTime,
  ConnectionFunnel,
  StoreFault,
  TimeSpan,
} from './evidence.js';
import type { GatewayProcess } from './gateway-process.js';
import type { ObjectStoreStandIn } from './object-store-stand-in.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { RunLog } from './run-log.js';

/** Gateways, stand-ins, and the record of faults injected into them. */
export interface SoakSystem {
  readonly store: ObjectStoreStandIn;
  readonly replicas: readonly ReplicaStandIn[];
  /** By name. */
  readonly gateways: ReadonlyMap<string, GatewayProcess>;
  readonly storeFaults: StoreFault[];
  readonly replicaFaults: TimeSpan[];
  readonly backendPartitions: BackendPartition[];
  readonly brittleTimes: BrittleTime[];
  /** Spans in which sound replicas were silent. */
  readonly silentTimes: TimeSpan[];
  /** Spans in which most new connections go to one gateway. */
  readonly funnels: ConnectionFunnel[];
  readonly log: RunLog;
  /** Publishes the next configuration version as the operator. */
  changeConfiguration(): void;
}

/** Returns the gateways without a current disturbance. */
export function undisturbedGateways({ gateways }: Pick<SoakSystem, 'gateways'>): GatewayProcess[] {
  const now = Date.now();
  return [...gateways.values()].filter((gateway) => !gateway.wasDisturbed(now, now));
}

/** Number of replicas of gateway service that must stay, so that callers can be served. */
const MIN_REPLICAS_PER_SERVICE = 1;

/** Returns the sound replicas that may leave. */
export function spareReplicas({ replicas }: Pick<SoakSystem, 'replicas'>): ReplicaStandIn[] {
  const serving = replicas.filter(({ isServing }) => isServing);
  return serving.filter(({ service, condition }) => {
    const others = serving.filter((other) => other.service === service).length - 1;
    return condition === 'sound' && others >= MIN_REPLICAS_PER_SERVICE;
  });
}
