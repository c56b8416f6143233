/** Brings series of signals, restarts and changes about in a running soak. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';
import type { CounterHarm, FollowingSignal, SeriesFault } from './series-fault-plan.js';
import { counterOf } from './gateway-roles.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';

type FaultOf<Kind extends SeriesFault['kind']> = Extract<SeriesFault, { kind: Kind }>;

/** Strikes gateways, with changes of the configuration between. */
export class SeriesFaultInjector {
  /** @param endsAt - Nothing begins later; Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  strike(fault: SeriesFault): void {
    switch (fault.kind) {
      case 'signals_at_stop':
        return void this.signalWhileStopping(fault.following);
      case 'signals_at_start':
        return void this.signalWhileStarting(fault.gapsMs);
      case 'stops_and_changes':
        this.stopInSeries(fault).catch(() => {});
        return void this.changeInSeries(fault);
      case 'counter_harmed':
        return void this.harmCounters(fault);
      case 'many_killed':
        return this.killMany(fault.share);
    }
  }

  private async signalWhileStopping(following: readonly FollowingSignal[]): Promise<void> {
    const gateway = this.anyUndisturbed();
    if (gateway === undefined) return;
    const { pid } = gateway;
    gateway.stopInTurn();
    for (const { signal, gapMs } of following) {
      await sleep(gapMs);
      // Its successor has not been asked to stop.
      if (gateway.pid === pid) gateway.signal(signal);
    }
  }

  private async signalWhileStarting(gapsMs: readonly number[]): Promise<void> {
    const gateway = this.anyUndisturbed();
    if (gateway === undefined) return;
    const { pid } = gateway;
    gateway.kill();
    while (gateway.pid === pid) await sleep(5);
    for (const gapMs of gapsMs) {
      await sleep(gapMs);
      gateway.signal('SIGHUP');
    }
  }

  private async stopInSeries({ stops, gapMs }: FaultOf<'stops_and_changes'>): Promise<void> {
    for (let count = 0; count < stops && this.mayBegin(); count++) {
      this.anyUndisturbed()?.stopInTurn();
      await sleep(gapMs);
    }
  }

  private async changeInSeries({ versions, gapMs }: FaultOf<'stops_and_changes'>): Promise<void> {
    for (let count = 0; count < versions && this.mayBegin(); count++) {
      this.system.changeConfiguration();
      await sleep(gapMs);
    }
  }

  private async harmCounters(fault: FaultOf<'counter_harmed'>): Promise<void> {
    for (const harm of fault.harms) {
      if (!this.mayBegin()) return;
      const counter = this.counter();
      if (counter !== undefined) harmGateway(counter, harm, fault.milliseconds);
      await sleep(fault.gapMs);
    }
  }

  private killMany(share: number): void {
    const gateways = [...this.system.gateways.values()];
    for (const gateway of gateways) if (this.random.chance(share)) gateway.kill();
    this.system.changeConfiguration();
  }

  /** The daemon that counts the limited tenant, as the undisturbed ones rank it, unless it is the last of them. */
  private counter(): GatewayProcess | undefined {
    const gateways = undisturbedGateways(this.system);
    return gateways.length < 2 ? undefined : counterOf(gateways);
  }

  /** Callers keep at least one gateway to go to. */
  private anyUndisturbed(): GatewayProcess | undefined {
    const gateways = undisturbedGateways(this.system);
    return gateways.length < 2 ? undefined : this.random.pick(gateways);
  }

  private mayBegin(): boolean {
    return Date.now() < this.endsAt;
  }
}

function harmGateway(gateway: GatewayProcess, harm: CounterHarm, milliseconds: number): void {
  switch (harm) {
    case 'cut_off':
      return gateway.cutOff(milliseconds);
    case 'frozen':
      return gateway.freeze(milliseconds);
    case 'killed':
      return gateway.kill();
    case 'stopped':
      return gateway.stopInTurn();
  }
}
