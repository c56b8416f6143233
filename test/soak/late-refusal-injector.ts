/** Lets replicas refuse requests late while others are silent, so that backups are refused after their backends seem to have accepted them. */
import { sleep } from '../../src/common/process.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import type { StreamHolderSystem } from './silence-fault-injector.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';

/** Longest time from the start of a stream that a caller holds until the silence. */
const MAX_BEFORE_SILENCE_MS = 300;

type LateRefusalFault = Extract<OptInFault, { kind: 'replicas_refuse_late' }>;

/** Injects late refusals beside silences of half of the model replicas. */
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
    const { silences, milliseconds, gapMs, streams } = fault;
    for (let count = 0; count < silences && Date.now() < this.endsAt; count++) {
      this.beginStreams(streams);
      await sleep(this.random.between(MAX_BEFORE_SILENCE_MS / 2, MAX_BEFORE_SILENCE_MS));
      const sound = this.sound(fault);
      const models = sound.filter((replica) => replica.service === 'models');
      const parity = this.random.chance(0.5) ? 0 : 1;
      const silent = models.filter((_, index) => index % 2 === parity);
      for (const replica of silent) replica.fallSilent(milliseconds);
      // The streams have begun by now; refused is what the others get until the silent ones go on.
      for (const replica of sound) {
        if (!silent.includes(replica)) replica.lateRefusals.begin(fault, milliseconds);
      }
      await sleep(milliseconds + gapMs);
    }
    this.isInProgress = false;
  }

  private sound({ service }: LateRefusalFault): ReplicaStandIn[] {
    return this.system.replicas.filter((replica) => {
      const isChosen = service === 'both' || replica.service === service;
      return isChosen && replica.isServing && replica.condition === 'sound';
    });
  }

  private beginStreams(count: number): void {
    // At one gateway, so that they share its part of the budget of retries.
    const gateway = this.random.pick(undisturbedGateways(this.system));
    if (gateway === undefined) return;
    for (let begun = 0; begun < count; begun++) {
      this.system.streamHolders.hold(gateway, MAX_BEFORE_SILENCE_MS / 2);
    }
  }
}
