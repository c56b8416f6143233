/** Makes replicas leave a running soak test. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { Departure, LeavingFault } from './leaving-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import { spareReplicas, type SoakSystem } from './soak-system.js';

/** Time from the departure of replicas until the disturbed gateway resumes. */
const DEPARTURE_LEAD_MS = 700;
/** Time for which the address of an ended replica stays unused before another replica takes it. */
const ADDRESS_REUSE_DELAY_MS = 500;

/** Makes replicas leave, also while a gateway is frozen or cut off and cannot receive the update. */
export class LeavingFaultInjector {
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
  ) {}

  inject(fault: LeavingFault): void {
    switch (fault.kind) {
      case 'released':
        return void this.release(fault.count, fault.gapMs, fault);
      case 'withdrawn':
        return this.removeReplicas(Math.round(this.system.replicas.length * fault.share), fault);
      case 'addresses_swapped':
        return this.swapAddresses(fault);
      case 'left_during_standstill':
        return void this.leaveDuringDisturbance(fault, fault.frozenMs, (gateway) =>
          gateway.freeze(fault.frozenMs),
        );
      case 'left_during_cut':
        return void this.leaveDuringDisturbance(fault, fault.cutMs, (gateway) =>
          gateway.cutOff(fault.cutMs),
        );
    }
  }

  private async release(count: number, gapMs: number, departure: Departure): Promise<void> {
    for (let released = 0; released < count; released++) {
      this.removeReplicas(1, departure);
      await sleep(gapMs);
    }
  }

  private async leaveDuringDisturbance(
    { count, ...departure }: Departure & { readonly count: number },
    milliseconds: number,
    disturb: (gateway: GatewayProcess) => void,
  ): Promise<void> {
    const gateway = this.pickUndisturbedGateway();
    if (gateway !== undefined) disturb(gateway);
    await sleep(milliseconds - DEPARTURE_LEAD_MS);
    this.removeReplicas(count, departure);
  }

  private removeReplicas(count: number, departure: Departure): void {
    for (let departed = 0; departed < count; departed++) {
      const replica = this.random.pick(spareReplicas(this.system));
      if (replica === undefined) return;
      void this.depart(replica, departure).then(() => replica.start());
    }
  }

  private swapAddresses(departure: Departure): void {
    const first = this.random.pick(spareReplicas(this.system));
    const second = this.random.pick(
      spareReplicas(this.system).filter(({ service }) => service !== first?.service),
    );
    if (first === undefined || second === undefined) return;
    void this.departAndSwap(first, second, departure);
  }

  private async departAndSwap(
    first: ReplicaStandIn,
    second: ReplicaStandIn,
    departure: Departure,
  ): Promise<void> {
    const ports = [first.port, second.port];
    await Promise.all([first, second].map((replica) => this.depart(replica, departure)));
    await sleep(ADDRESS_REUSE_DELAY_MS);
    await Promise.all([first.start(ports[1]), second.start(ports[0])]);
  }

  private async depart(replica: ReplicaStandIn, departure: Departure): Promise<void> {
    const { isAnnounced, serveMs } = departure;
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + serveMs });
    await replica.leave(serveMs, isAnnounced);
  }

  private pickUndisturbedGateway(): GatewayProcess | undefined {
    const now = Date.now();
    const undisturbed = [...this.system.gateways.values()].filter(
      (gateway) => !gateway.disturbances.some(({ until }) => until > now),
    );
    return undisturbed.length > 1 ? this.random.pick(undisturbed) : undefined;
  }
}
