/** Injects planned faults into a running soak test. */
import type { Fault } from './fault-plan.js';
import type { GatewayProcess } from './gateway-process.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import type { SoakSystem } from './soak-system.js';
import { simulateStoreOutage } from './store-outage.js';

/** Injects faults into gateways, the store and replicas. */
export class FaultInjector {
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
  ) {}

  inject(fault: Fault): void {
    switch (fault.kind) {
      case 'gateway_killed':
        for (let count = 0; count < fault.count; count++) this.pickUndisturbedGateway()?.kill();
        return;
      case 'gateway_frozen':
        return this.pickUndisturbedGateway()?.freeze(fault.milliseconds);
      case 'gateway_stopped':
        return this.pickUndisturbedGateway()?.stopGracefully();
      case 'store':
        return void simulateStoreOutage(this.system, fault.condition, fault.milliseconds);
      case 'store_compacted':
        return this.system.store.compact();
      case 'replica_crashed':
        return this.crashReplica(fault.milliseconds);
      case 'replica_left':
        return this.replaceReplica();
      case 'replica':
        return this.injectReplicaFault(fault.condition, fault.milliseconds);
      case 'configuration_changed':
        return this.system.changeConfiguration();
    }
  }

  private pickUndisturbedGateway(): GatewayProcess | undefined {
    const now = Date.now();
    const undisturbed = [...this.system.gateways.values()].filter(
      (candidate) => !candidate.disturbances.some(({ until }) => until > now),
    );
    // At least one gateway stays undisturbed, so that callers can still be served.
    return undisturbed.length > 1 ? this.random.pick(undisturbed) : undefined;
  }

  private pickSoundReplica(): ReplicaStandIn | undefined {
    const sound = this.system.replicas.filter(
      (candidate) => candidate.isServing && candidate.condition === 'sound',
    );
    return sound.length > 2 ? this.random.pick(sound) : undefined;
  }

  private injectReplicaFault(condition: ReplicaStandIn['condition'], milliseconds: number): void {
    const replica = this.pickSoundReplica();
    if (replica === undefined) return;
    replica.condition = condition;
    this.recordReplicaFault(milliseconds);
    setTimeout(() => (replica.condition = 'sound'), milliseconds);
  }

  private crashReplica(milliseconds: number): void {
    const replica = this.pickSoundReplica();
    if (replica === undefined) return;
    this.recordReplicaFault(milliseconds);
    replica.crash();
    setTimeout(() => void replica.start(), milliseconds);
  }

  /** Makes a replica announce its departure, serve until its time is over and start again as a new one. */
  private replaceReplica(): void {
    const replica = this.pickSoundReplica();
    if (replica === undefined) return;
    const serveMs = this.random.between(2_500, 4_000);
    this.recordReplicaFault(serveMs);
    void replica.leave(serveMs).then(() => replica.start());
  }

  private recordReplicaFault(milliseconds: number): void {
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + milliseconds });
  }
}
