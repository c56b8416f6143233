/** Injects series of signals, restarts and configuration changes into a running soak test. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';
import type { CounterDisturbance, FollowingSignal, SeriesFault } from './series-fault-plan.js';
import { limitCounterOf } from './gateway-roles.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';

type FaultOf<Kind extends SeriesFault['kind']> = Extract<SeriesFault, { kind: Kind }>;

/** Injects faults into gateways, interleaved with configuration changes. */
export class SeriesFaultInjector {
  /** @param endsAt - No fault starts after this time, in Unix milliseconds. */
  constructor(
    private readonly system: SoakSystem,
    private readonly random: SeededRandom,
    private readonly endsAt: number,
  ) {}

  inject(fault: SeriesFault): void {
    switch (fault.kind) {
      case 'signals_at_stop':
        return void this.signalWhileStopping(fault.following);
      case 'signals_at_start':
        return void this.signalWhileStarting(fault.gapsMs);
      case 'stops_and_changes':
        this.stopInSeries(fault).catch(() => {});
        return void this.changeInSeries(fault);
      case 'counter_harmed':
        return void this.disturbCounters(fault);
      case 'many_killed':
        return this.killMany(fault.share);
    }
  }

  private async signalWhileStopping(following: readonly FollowingSignal[]): Promise<void> {
    const gateway = this.pickUndisturbedGateway();
    if (gateway === undefined) return;
    const { pid } = gateway;
    gateway.stopGracefully();
    for (const { signal, gapMs } of following) {
      await sleep(gapMs);
      // A restarted process has another pid and must not receive the signals meant for the stopping one.
      if (gateway.pid === pid) gateway.signal(signal);
    }
  }

  private async signalWhileStarting(gapsMs: readonly number[]): Promise<void> {
    const gateway = this.pickUndisturbedGateway();
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
    for (let count = 0; count < stops && this.mayStartFault(); count++) {
      this.pickUndisturbedGateway()?.stopGracefully();
      await sleep(gapMs);
    }
  }

  private async changeInSeries({ versions, gapMs }: FaultOf<'stops_and_changes'>): Promise<void> {
    for (let count = 0; count < versions && this.mayStartFault(); count++) {
      this.system.changeConfiguration();
      await sleep(gapMs);
    }
  }

  private async disturbCounters(fault: FaultOf<'counter_harmed'>): Promise<void> {
    for (const disturbance of fault.harms) {
      if (!this.mayStartFault()) return;
      const counter = this.currentCounter();
      if (counter !== undefined) disturbGateway(counter, disturbance, fault.milliseconds);
      await sleep(fault.gapMs);
    }
  }

  private killMany(share: number): void {
    const gateways = [...this.system.gateways.values()];
    for (const gateway of gateways) if (this.random.chance(share)) gateway.kill();
    this.system.changeConfiguration();
  }

  /** Returns the counter of the limited tenant by the rank among undisturbed gateways, or undefined if only one is left. */
  private currentCounter(): GatewayProcess | undefined {
    const gateways = undisturbedGateways(this.system);
    return gateways.length < 2 ? undefined : limitCounterOf(gateways);
  }

  /** Returns undefined if no other undisturbed gateway would remain to serve callers. */
  private pickUndisturbedGateway(): GatewayProcess | undefined {
    const gateways = undisturbedGateways(this.system);
    return gateways.length < 2 ? undefined : this.random.pick(gateways);
  }

  private mayStartFault(): boolean {
    return Date.now() < this.endsAt;
  }
}

function disturbGateway(
  gateway: GatewayProcess,
  disturbance: CounterDisturbance,
  milliseconds: number,
): void {
  switch (disturbance) {
    case 'cut_off':
      return gateway.cutOff(milliseconds);
    case 'frozen':
      return gateway.freeze(milliseconds);
    case 'killed':
      return gateway.kill();
    case 'stopped':
      return gateway.stopGracefully();
  }
}
