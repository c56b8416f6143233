/** Brings planned faults about in a running soak. */
import type { Fault } from './fault-plan.js';
import type { GatewayProcess } from './gateway-process.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import type { SoakSystem } from './soak-system.js';
import { strikeStore } from './store-outage.js';

/** Strikes gateways, the store and replicas. */
export class FaultInjector {
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
  ) {}

  strike(fault: Fault): void {
    switch (fault.kind) {
      case 'gateway_killed':
        for (let count = 0; count < fault.count; count++) this.anyGateway()?.kill();
        return;
      case 'gateway_frozen':
        return this.anyGateway()?.freeze(fault.milliseconds);
      case 'gateway_stopped':
        return this.anyGateway()?.stopInTurn();
      case 'store':
        return void strikeStore(this.system, fault.condition, fault.milliseconds);
      case 'store_compacted':
        return this.system.store.compact();
      case 'replica_crashed':
        return this.crashReplica(fault.milliseconds);
      case 'replica_left':
        return this.replaceReplica();
      case 'replica':
        return this.strikeReplica(fault.condition, fault.milliseconds);
      case 'configuration_changed':
        return this.system.changeConfiguration();
    }
  }

  private anyGateway(): GatewayProcess | undefined {
    const now = Date.now();
    const untouched = [...this.system.gateways.values()].filter(
      (each) => !each.disturbances.some(({ until }) => until > now),
    );
    // One gateway is left alone, so that callers have somewhere to go.
    return untouched.length > 1 ? this.random.pick(untouched) : undefined;
  }

  private soundReplica(): ReplicaStandIn | undefined {
    const sound = this.system.replicas.filter(
      (each) => each.isServing && each.condition === 'sound',
    );
    return sound.length > 2 ? this.random.pick(sound) : undefined;
  }

  private strikeReplica(condition: ReplicaStandIn['condition'], milliseconds: number): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    replica.condition = condition;
    this.noteReplicaFault(milliseconds);
    setTimeout(() => (replica.condition = 'sound'), milliseconds);
  }

  private crashReplica(milliseconds: number): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    this.noteReplicaFault(milliseconds);
    replica.crash();
    setTimeout(() => void replica.start(), milliseconds);
  }

  /** The replica leaves after its notice; a new one takes its place. */
  private replaceReplica(): void {
    const replica = this.soundReplica();
    if (replica === undefined) return;
    const serveMs = this.random.between(2_500, 4_000);
    this.noteReplicaFault(serveMs);
    void replica.leave(serveMs).then(() => replica.start());
  }

  private noteReplicaFault(milliseconds: number): void {
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + milliseconds });
  }
}
