/** Lets replicas of a new software version join while one gateway can learn of them neither from the store nor from other gateways. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import { MODELS, SOFTWARE_VERSIONS } from './soak-replicas.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';
import type { UnnamedResumers } from './unnamed-resumers.js';

/** Time for which all replicas must have had one version: gateways start, and then observe it for the time limit of a stream. */
const ONE_VERSION_MS = 8_000;
/** Time for which a replica serves after it has begun to leave. */
const LEAVING_MS = 100;
/** Gateways that must remain in step. */
const MIN_OTHERS = 2;

type UnseenVersionFault = Extract<OptInFault, { kind: 'version_joins_unseen' }>;

/** Begins streams that are resumed elsewhere. */
export interface UnnamedResumerSystem {
  readonly unnamedResumers: UnnamedResumers;
}

/** Injects software versions that one gateway does not see. */
export class UnseenVersionInjector {
  private isInProgress = false;
  /** Unix milliseconds. */
  private oneVersionSince = Date.now();

  /** @param endsAt - No fault starts after this time, in Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem & UnnamedResumerSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  /** Injects one such fault, as soon as all replicas have had one version for long enough; does nothing during another one. */
  async inject(fault: UnseenVersionFault): Promise<void> {
    if (this.isInProgress) return;
    this.isInProgress = true;
    await sleep(Math.max(0, this.oneVersionSince + ONE_VERSION_MS - Date.now()));
    const gateways = undisturbedGateways(this.system);
    const gateway = this.random.pick(gateways);
    const others = gateways.filter((each) => each !== gateway);
    const isComplete = this.models().every(({ isServing }) => isServing);
    if (gateway !== undefined && others.length >= MIN_OTHERS && isComplete) {
      if (Date.now() < this.endsAt) await this.joinUnseen(fault, gateway, others);
    }
    this.isInProgress = false;
  }

  private async joinUnseen(
    { milliseconds, streams }: UnseenVersionFault,
    gateway: GatewayProcess,
    others: readonly GatewayProcess[],
  ): Promise<void> {
    const { store, storeFaults, replicaFaults } = this.system;
    const models = this.models();
    const version = SOFTWARE_VERSIONS.find((each) => each !== models[0]?.softwareVersion) ?? '';
    const joiners = models.filter((_, index) => index % 2 === 0);
    const span = { from: Date.now(), until: Infinity, gateways: new Set([gateway.name]) };
    storeFaults.push(span);
    store.callerConditions.set(gateway.name, 'silent');
    gateway.cutOff(milliseconds);
    const outOfStepUntil = Date.now() + milliseconds;
    replicaFaults.push({ from: Date.now(), until: outOfStepUntil + 2 * LEAVING_MS });
    await this.restartAll(joiners, version);
    const gapMs = Math.max(0, outOfStepUntil - Date.now()) / (streams + 1);
    for (let begun = 0; begun < streams; begun++) {
      const first = this.random.pick(others);
      const model = this.random.pick(this.sharedModels(joiners));
      if (first !== undefined) this.system.unnamedResumers.begin(first, gateway, model);
      await sleep(gapMs);
    }
    await sleep(Math.max(0, outOfStepUntil - Date.now()));
    store.callerConditions.delete(gateway.name);
    span.until = Date.now();
    await this.restartAll(
      models.filter((replica) => !joiners.includes(replica)),
      version,
    );
    this.oneVersionSince = Date.now();
  }

  private async restartAll(replicas: readonly ReplicaStandIn[], version: string): Promise<void> {
    const restart = async (replica: ReplicaStandIn): Promise<void> => {
      replica.release(version, { hasModels: true });
      await replica.leave(LEAVING_MS);
      await replica.start();
    };
    await Promise.all(replicas.map(restart));
  }

  private models(): ReplicaStandIn[] {
    return this.system.replicas.filter(({ service }) => service === 'models');
  }

  /** The models that replicas of both versions hold; all that the given ones hold if there are none. */
  private sharedModels(joiners: readonly ReplicaStandIn[]): string[] {
    const others = this.models().filter((replica) => !joiners.includes(replica));
    const held = MODELS.filter((model) => joiners.some((replica) => replica.holds(model)));
    const shared = held.filter((model) => others.some((replica) => replica.holds(model)));
    return shared.length > 0 ? shared : held;
  }
}
