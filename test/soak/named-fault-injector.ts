/** Brings the faults that are named about in a running soak. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import { counterOf, ownerOf } from './gateway-roles.js';
import type { NamedFault, SuspendedGateway } from './named-fault-plan.js';
import type { ReplicaStandIn } from './replica-stand-in.js';
import type { SeededRandom } from './seeded-random.js';
import { spareReplicas, undisturbedGateways, type SoakSystem } from './soak-system.js';

/** A replica that has crashed is back after so long. */
const RESTART_MS = 1_000;
/** A replica that leaves serves on for so long. */
const LEAVING_MS = 4_000;

type FaultOf<Kind extends NamedFault['kind']> = Extract<NamedFault, { kind: Kind }>;

/** What a poisonous request needs of the soak. */
export interface PoisonSender {
  /** Sends the request of a name to some gateway that takes callers. */
  sendPoison(name: string, backMs: number): void;
}

/** What joining needs of the soak. */
export interface GatewayStarter {
  /** Starts a gateway that has not run before; there may be no more of them. */
  joinGateway(): void;
}

/** Strikes gateways and replicas. */
export class NamedFaultInjector {
  private poisons = 0;
  /** One restore is over before the next begins. */
  private isRestoring = false;

  /** @param endsAt - Nothing begins later; Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem & PoisonSender & GatewayStarter,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  strike(fault: NamedFault): void {
    switch (fault.kind) {
      case 'poison_request':
        return void this.repeat(fault);
      case 'answers_tell_leaving':
        for (let count = 0; count < fault.count; count++) this.leave(fault);
        return;
      case 'backend_asks_rest':
        return this.askForRest(fault);
      case 'backend_names_limit':
        return void this.nameLimits(fault);
      case 'store_restored':
        return void this.restoreStore(fault);
      case 'suspended':
        return this.suspend(fault);
      case 'joined_during_cut':
        return void this.joinDuringCut(fault);
    }
  }

  private async joinDuringCut(fault: FaultOf<'joined_during_cut'>): Promise<void> {
    const free = undisturbedGateways(this.system);
    const counter = counterOf(free);
    const others = free.filter((each) => each !== counter);
    const cut = [fault.cutsCounter ? counter : this.random.pick(others)];
    if (fault.cutCount > 1) cut.push(others.find((each) => !cut.includes(each)));
    // Callers keep two gateways that hear each other.
    if (free.length - cut.length < 2) return;
    for (const gateway of cut) gateway?.cutOff(fault.cutMs);
    await sleep(fault.joinAfterMs);
    for (let joined = 0; joined < fault.joiners; joined++) this.system.joinGateway();
  }

  private async repeat(fault: FaultOf<'poison_request'>): Promise<void> {
    this.poisons += 1;
    const name = `poison-${this.poisons}`;
    for (let count = 0; count < fault.repeats && Date.now() < this.endsAt; count++) {
      const atOnce = count === 0 ? 1 : fault.atOnce;
      for (let sent = 0; sent < atOnce; sent++) this.system.sendPoison(name, fault.backMs);
      await sleep(fault.gapMs);
    }
  }

  private leave({ serveMs, listedAfterMs }: FaultOf<'answers_tell_leaving'>): void {
    const replica = this.random.pick(spareReplicas(this.system));
    if (replica === undefined) return;
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + serveMs });
    void replica.leaveByAnswers(serveMs, listedAfterMs).then(() => replica.start());
  }

  private askForRest(fault: FaultOf<'backend_asks_rest'>): void {
    const { milliseconds, restSeconds, share } = fault;
    const until = Date.now() + milliseconds + restSeconds * 1_000;
    this.system.replicaFaults.push({ from: Date.now(), until });
    for (const replica of this.system.replicas) {
      if (this.random.chance(share)) replica.askForRest(milliseconds, restSeconds);
    }
  }

  private async nameLimits(fault: FaultOf<'backend_names_limit'>): Promise<void> {
    const { share, limits, eachMs, crashAfterMs, cutMs } = fault;
    const until = Math.min(Date.now() + limits.length * eachMs, this.endsAt);
    this.system.replicaFaults.push({ from: Date.now(), until });
    const limited = this.system.replicas
      .filter((replica) => this.random.chance(share) && !replica.namesRateLimit)
      .map((replica) => ({ replica, id: replica.id }));
    if (crashAfterMs > 0) setTimeout(() => this.crashAndStart(limited[0]?.replica), crashAfterMs);
    if (cutMs > 0) this.random.pick([...this.system.gateways.values()])?.cutOff(cutMs);
    const name = (perSecond: number | undefined): void => {
      for (const { replica, id } of limited) {
        // A later process names nothing of what was asked of an earlier one.
        if (replica.id === id) replica.nameRateLimit(perSecond);
      }
    };
    for (const perSecond of limits) {
      name(perSecond);
      await sleep(Math.max(0, Math.min(eachMs, this.endsAt - Date.now())));
    }
    name(undefined);
  }

  private crashAndStart(replica: ReplicaStandIn | undefined): void {
    if (replica?.isServing !== true || Date.now() >= this.endsAt) return;
    replica.crash();
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + RESTART_MS });
    setTimeout(() => void replica.start(), RESTART_MS);
  }

  private async restoreStore(fault: FaultOf<'store_restored'>): Promise<void> {
    if (this.isRestoring) return;
    this.isRestoring = true;
    const { store, storeFaults, gateways } = this.system;
    const copy = store.copy();
    for (let write = 0; write < fault.lostWrites; write++) store.put('other', 'x', { write });
    await sleep(fault.copyMs);
    const span = { from: Date.now(), until: Date.now() + fault.awayMs + fault.rewrittenAfterMs };
    storeFaults.push(span);
    if (fault.cutMs > 0) ownerOf(this.system, [...gateways.values()])?.cutOff(fault.cutMs);
    store.condition = 'reset';
    await sleep(fault.awayMs);
    const lost = store.restore(copy);
    store.condition = 'sound';
    setTimeout(() => this.change(), fault.changesAfterMs);
    await sleep(fault.rewrittenAfterMs);
    store.writeAgain(lost);
    for (let write = 0; write < fault.otherWrites; write++) store.put('other', 'x', { write });
    this.isRestoring = false;
  }

  private change(): void {
    this.system.changeConfiguration();
    const replica = this.random.pick(spareReplicas(this.system));
    if (replica === undefined) return;
    this.system.replicaFaults.push({ from: Date.now(), until: Date.now() + LEAVING_MS });
    void replica.leave(LEAVING_MS).then(() => replica.start());
  }

  private suspend({ who, milliseconds, cutMs }: FaultOf<'suspended'>): void {
    const gateway = this.gatewayToSuspend(who);
    if (cutMs > 0) gateway?.cutOff(milliseconds + cutMs);
    gateway?.suspend(milliseconds);
  }

  /** Callers keep at least one gateway to go to. */
  private gatewayToSuspend(who: SuspendedGateway): GatewayProcess | undefined {
    const free = undisturbedGateways(this.system);
    if (free.length < 2) return undefined;
    if (who === 'owner') return ownerOf(this.system, free);
    return who === 'counter' ? counterOf(free) : this.random.pick(free);
  }
}
