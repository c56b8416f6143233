/** Loses gateways of a running soak test for good, and starts others at other addresses in their place. */
import { sleep } from '../../src/common/process.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { SeededRandom } from './seeded-random.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';

/** Number of gateways that are replaced at most: as many as may join. */
const MAX_REPLACED = 8;

/** Starts additional gateways. */
export interface GatewayStarter {
  /** Starts a gateway that has not run before; does nothing if none is left. */
  joinGateway(): void;
}

/** Replaces gateways. */
export class GatewayLossInjector {
  private replaced = 0;

  constructor(
    private readonly system: SoakSystem & GatewayStarter,
    private readonly random: SeededRandom,
  ) {}

  /** Replaces a gateway unless no other undisturbed one would remain. */
  async inject({ afterMs }: Extract<OptInFault, { kind: 'gateways_replaced' }>): Promise<void> {
    const undisturbed = undisturbedGateways(this.system);
    if (undisturbed.length < 2 || this.replaced >= MAX_REPLACED) return;
    this.replaced += 1;
    this.random.pick(undisturbed)?.loseForGood();
    await sleep(afterMs);
    this.system.joinGateway();
  }
}
