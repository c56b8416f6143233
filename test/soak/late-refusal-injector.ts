/** Lets replicas refuse requests late while others fall silent, so that backups are refused after their backends seem to have accepted them. */
import { sleep } from '../../src/common/process.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import type { StreamHolderSystem } from './silence-fault-injector.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';

/** Longest time from the start of a stream that a caller holds until the silence. */
const MAX_BEFORE_SILENCE_MS = 300;

type LateRefusalFault = Extract<OptInFault, { kind: 'replicas_refuse_late' }>;

/** Injects late refusals beside silences of single replicas. */
export class LateRefusalInjector {
  private isInProgress = false;

  /** @param endsAt - No silence starts after this time, in Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem & StreamHolderSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  /** Injects a series; does nothing during another one. */
  async inject(fault: LateRefusalFault): Promise<void> {
    if (this.isInProgress) return;
    this.isInProgress = true;
    const { share, delayMs, silences, milliseconds, gapMs, streams } = fault;
    const neededMs = silences * (gapMs + MAX_BEFORE_SILENCE_MS) + milliseconds;
    const totalMs = Math.min(neededMs, this.endsAt - Date.now());
    for (const replica of this.sound(fault)) replica.lateRefusals.begin(share, delayMs, totalMs);
    for (let count = 0; count < silences && Date.now() < this.endsAt; count++) {
      this.beginStreams(streams);
      await sleep(this.random.between(MAX_BEFORE_SILENCE_MS / 2, MAX_BEFORE_SILENCE_MS));
      this.random.pick(this.sound(fault))?.fallSilent(milliseconds);
      await sleep(gapMs);
    }
    await sleep(milliseconds);
    this.isInProgress = false;
  }

  private sound({ service }: LateRefusalFault): ReplicaStandIn[] {
    return this.system.replicas.filter((replica) => {
      const isChosen = service === 'both' || replica.service === service;
      return isChosen && replica.isServing && replica.condition === 'sound';
    });
  }

  private beginStreams(count: number): void {
    const gateways = undisturbedGateways(this.system);
    for (let begun = 0; begun < count; begun++) {
      const gateway = this.random.pick(gateways);
      if (gateway !== undefined) this.system.streamHolders.hold(gateway, MAX_BEFORE_SILENCE_MS);
    }
  }
}
