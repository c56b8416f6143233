/** Brings departures of replicas about in a running soak. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { Departure, LeavingFault } from './leaving-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import { spareReplicas, type SoakSystem } from './soak-system.js';

/** Replicas leave so long before a gateway goes on. */
const LEFT_BEFORE_MS = 700;
/** After its end a replica's address is free for so long before it is used again. */
const REUSE_PAUSE_MS = 500;

/** Lets replicas leave, alone or while a gateway cannot be told of it. */
export class LeavingFaultInjector {
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
  ) {}

  strike(fault: LeavingFault): void {
    switch (fault.kind) {
      case 'released':
        return void this.release(fault.count, fault.gapMs, fault);
      case 'withdrawn':
        return this.leave(Math.round(this.system.replicas.length * fault.share), fault);
      case 'addresses_swapped':
        return this.swapAddresses(fault);
      case 'left_during_standstill':
        return void this.leaveBeforeEnd(fault, fault.frozenMs, (gateway) =>
          gateway.freeze(fault.frozenMs),
        );
      case 'left_during_cut':
        return void this.leaveBeforeEnd(fault, fault.cutMs, (gateway) =>
          gateway.cutOff(fault.cutMs),
        );
    }
  }

  private async release(count: number, gapMs: number, departure: Departure): Promise<void> {
    for (let released = 0; released < count; released++) {
      this.leave(1, departure);
      await sleep(gapMs);
    }
  }

  private async leaveBeforeEnd(
    { count, ...departure }: Departure & { readonly count: number },
    milliseconds: number,
    harm: (gateway: GatewayProcess) => void,
  ): Promise<void> {
    const gateway = this.untouchedGateway();
    if (gateway !== undefined) harm(gateway);
    await sleep(milliseconds - LEFT_BEFORE_MS);
    this.leave(count, departure);
  }

  private leave(count: number, departure: Departure): void {
    for (let left = 0; left < count; left++) {
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
    await sleep(REUSE_PAUSE_MS);
    await Promise.all([first.start(ports[1]), second.start(ports[0])]);
  }

  private async depart(replica: ReplicaStandIn, departure: Departure): Promise<void> {
    const { isAnnounced, serveMs } = departure;
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + serveMs });
    await replica.leave(serveMs, isAnnounced);
  }

  private untouchedGateway(): GatewayProcess | undefined {
    const now = Date.now();
    const untouched = [...this.system.gateways.values()].filter(
      (gateway) => !gateway.disturbances.some(({ until }) => until > now),
    );
    return untouched.length > 1 ? this.random.pick(untouched) : undefined;
  }
}
