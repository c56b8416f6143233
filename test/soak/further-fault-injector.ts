/** Brings the further kinds of faults about in a running soak. */
import { sleep } from '../../src/common/process.js';
import { ownerOf } from './gateway-roles.js';
import type { FurtherFault, SilentSide, StoreOutage } from './further-fault-plan.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';
import { strikeStore } from './store-outage.js';

type FaultOf<Kind extends FurtherFault['kind']> = Extract<FurtherFault, { kind: Kind }>;

const LOOK_PERIOD_MS = 20;
/** The gaps of a rolling stop are drawn for so many gateways; more of them follow closer. */
const GATEWAYS_OF_GAPS = 4;

/** Strikes gateways, the store and connections. */
export class FurtherFaultInjector {
  /** @param endsAt - Nothing begins later; Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  strike(fault: FurtherFault): void {
    switch (fault.kind) {
      case 'connections_silent':
        return this.silence(fault.side, fault.share);
      case 'store_turns_away':
        return void this.turnAway(fault);
      case 'configuration_storm':
        return void this.changeQuickly(fault);
      case 'rolling_stop':
        return void this.stopInTurn(fault.gapMs);
      case 'settings_changed':
        for (const gateway of this.system.gateways.values()) gateway.signalSettings();
        return;
      case 'owner_killed':
        return void this.killOwners(fault);
      case 'owner_frozen':
        return this.spareOwner()?.freeze(fault.milliseconds);
      case 'owner_cut_off':
        return this.spareOwner()?.cutOff(fault.milliseconds);
      case 'owner_stopped':
        return this.spareOwner()?.stopInTurn();
    }
  }

  /** Counts as a reset of everybody's connections. */
  private silence(side: SilentSide, share: number): void {
    const { gateways, store, replicas, storeFaults, replicaFaults } = this.system;
    const now = Date.now();
    storeFaults.push({ from: now, until: now });
    if (side === 'gateways' || side === 'all') {
      for (const gateway of gateways.values()) gateway.silenceLinks();
    }
    if (side === 'store' || side === 'all') store.connections.silence(share, this.random);
    if (side === 'gateways' || side === 'store') return;
    replicaFaults.push({ from: now, until: now });
    for (const replica of replicas) replica.connections.silence(share, this.random);
  }

  private async turnAway(fault: FaultOf<'store_turns_away'>): Promise<void> {
    const { store, gateways, storeFaults } = this.system;
    if (store.turnedAway.size > 0) return;
    const names = new Set([...gateways.keys()].filter(() => this.random.chance(fault.share)));
    const span = { from: Date.now(), until: Infinity, gateways: names };
    storeFaults.push(span);
    for (const name of names) store.turnedAway.set(name, fault.condition);
    await sleep(fault.milliseconds);
    for (const name of names) store.turnedAway.delete(name);
    span.until = Date.now();
  }

  private async changeQuickly(fault: FaultOf<'configuration_storm'>): Promise<void> {
    if (fault.outage !== undefined) await this.waitForOutage(fault.outage);
    for (let count = 0; count < fault.versions; count++) {
      this.system.changeConfiguration();
      await sleep(fault.gapMs);
    }
  }

  private async waitForOutage({ condition, milliseconds }: StoreOutage): Promise<void> {
    const { store } = this.system;
    await strikeStore(this.system, condition, milliseconds);
    // Another outage may have been under way.
    while (store.condition !== 'sound') await sleep(LOOK_PERIOD_MS);
  }

  private async stopInTurn(gapMs: number): Promise<void> {
    const gateways = [...this.system.gateways.values()];
    const pauseMs = Math.min(gapMs, (gapMs * GATEWAYS_OF_GAPS) / gateways.length);
    for (const gateway of gateways) {
      while (undisturbedGateways(this.system).length <= 1 && this.mayBegin())
        await sleep(LOOK_PERIOD_MS);
      if (!this.mayBegin()) return;
      if (undisturbedGateways(this.system).includes(gateway)) gateway.stopInTurn();
      await sleep(pauseMs);
    }
  }

  private async killOwners({ times, gapMs }: FaultOf<'owner_killed'>): Promise<void> {
    for (let count = 0; count < times && this.mayBegin(); count++) {
      this.spareOwner()?.kill();
      await sleep(gapMs);
    }
  }

  private mayBegin(): boolean {
    return Date.now() < this.endsAt;
  }

  /** The owner, unless callers would have nowhere to go without it. */
  private spareOwner(): GatewayProcess | undefined {
    const free = undisturbedGateways(this.system);
    const owner = ownerOf(this.system, free);
    return free.some((each) => each !== owner) ? owner : undefined;
  }
}
