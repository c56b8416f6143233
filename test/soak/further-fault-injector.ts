/** Injects the further kinds of faults into a running soak test. */
import { sleep } from '../../src/common/process.js';
import { ownerOf } from './gateway-roles.js';
import type { FurtherFault, SilentPeers, StoreOutage } from './further-fault-plan.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';
import { simulateStoreOutage } from './store-outage.js';

type FaultOf<Kind extends FurtherFault['kind']> = Extract<FurtherFault, { kind: Kind }>;

const POLL_INTERVAL_MS = 20;
/** Planned gaps of a rolling stop assume this number of gateways. With more gateways, the gaps are shorter. */
const GATEWAYS_PER_PLANNED_GAP = 4;

/** Injects faults into gateways, the store and connections. */
export class FurtherFaultInjector {
  /** @param endsAt - No fault starts after this time, in Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  inject(fault: FurtherFault): void {
    switch (fault.kind) {
      case 'connections_silent':
        return this.silence(fault.side, fault.share);
      case 'store_turns_away':
        return void this.rejectGateways(fault);
      case 'configuration_storm':
        return void this.publishVersionStorm(fault);
      case 'rolling_stop':
        return void this.stopAllInTurn(fault.gapMs);
      case 'settings_changed':
        for (const gateway of this.system.gateways.values()) gateway.signalSettingsChange();
        return;
      case 'owner_killed':
        return void this.killOwners(fault);
      case 'owner_frozen':
        return this.expendableOwner()?.freeze(fault.milliseconds);
      case 'owner_cut_off':
        return this.expendableOwner()?.cutOff(fault.milliseconds);
      case 'owner_stopped':
        return this.expendableOwner()?.stopGracefully();
    }
  }

  /** Makes open connections silent. The audit treats this like a reset of all connections. */
  private silence(side: SilentPeers, share: number): void {
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

  private async rejectGateways(fault: FaultOf<'store_turns_away'>): Promise<void> {
    const { store, gateways, storeFaults } = this.system;
    if (store.callerConditions.size > 0) return;
    const names = new Set([...gateways.keys()].filter(() => this.random.chance(fault.share)));
    const span = { from: Date.now(), until: Infinity, gateways: names };
    storeFaults.push(span);
    for (const name of names) store.callerConditions.set(name, fault.condition);
    await sleep(fault.milliseconds);
    for (const name of names) store.callerConditions.delete(name);
    span.until = Date.now();
  }

  private async publishVersionStorm(fault: FaultOf<'configuration_storm'>): Promise<void> {
    if (fault.outage !== undefined) await this.runOutage(fault.outage);
    for (let count = 0; count < fault.versions; count++) {
      this.system.changeConfiguration();
      await sleep(fault.gapMs);
    }
  }

  private async runOutage({ condition, milliseconds }: StoreOutage): Promise<void> {
    const { store } = this.system;
    await simulateStoreOutage(this.system, condition, milliseconds);
    // strikeStore returns at once if another outage is already in progress.
    while (store.condition !== 'sound') await sleep(POLL_INTERVAL_MS);
  }

  private async stopAllInTurn(gapMs: number): Promise<void> {
    const gateways = [...this.system.gateways.values()];
    const pauseMs = Math.min(gapMs, (gapMs * GATEWAYS_PER_PLANNED_GAP) / gateways.length);
    for (const gateway of gateways) {
      while (undisturbedGateways(this.system).length <= 1 && this.mayStartFault())
        await sleep(POLL_INTERVAL_MS);
      if (!this.mayStartFault()) return;
      if (undisturbedGateways(this.system).includes(gateway)) gateway.stopGracefully();
      await sleep(pauseMs);
    }
  }

  private async killOwners({ times, gapMs }: FaultOf<'owner_killed'>): Promise<void> {
    for (let count = 0; count < times && this.mayStartFault(); count++) {
      this.expendableOwner()?.kill();
      await sleep(gapMs);
    }
  }

  private mayStartFault(): boolean {
    return Date.now() < this.endsAt;
  }

  /** Returns the owner if another undisturbed gateway remains to serve callers. */
  private expendableOwner(): GatewayProcess | undefined {
    const undisturbed = undisturbedGateways(this.system);
    const owner = ownerOf(this.system, undisturbed);
    return undisturbed.some((gateway) => gateway !== owner) ? owner : undefined;
  }
}
