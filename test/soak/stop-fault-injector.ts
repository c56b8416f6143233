/** Injects faults into gateways that are requested to stop: pauses of the process, and callers with slow bodies. */
import { sleep } from '../../src/common/process.js';
import type { GatewayProcess } from './gateway-process.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { SeededRandom } from './seeded-random.js';
import { undisturbedGateways, type SoakSystem } from './soak-system.js';
import type { StopCallers } from './stop-callers.js';

/** Time from the start of the requests that a pause interrupts until the pause. */
const BEFORE_PAUSE_MS = 60;
/** Time from the first slow body until its gateway is requested to stop. */
const BEFORE_STOP_MS = 1_500;

/** A fault of a gateway that stops. */
export type StopFault = Extract<
  OptInFault,
  { kind: 'paused_at_stop' } | { kind: 'slow_bodies_at_stop' }
>;

type FaultOf<Kind extends StopFault['kind']> = Extract<StopFault, { kind: Kind }>;

/** Whether a fault is one of a gateway that stops. */
export function isStopFault(fault: OptInFault): fault is StopFault {
  return fault.kind === 'paused_at_stop' || fault.kind === 'slow_bodies_at_stop';
}

/** Sends requests to gateways that stop. */
export interface StopCallerSystem {
  readonly stopCallers: StopCallers;
}

/** Injects faults into gateways that stop. */
export class StopFaultInjector {
  constructor(
    private readonly system: Pick<SoakSystem, 'gateways'> & StopCallerSystem,
    private readonly random: SeededRandom,
  ) {}

  inject(fault: StopFault): void {
    const gateway = this.pickUndisturbedGateway();
    if (gateway === undefined) return;
    if (fault.kind === 'paused_at_stop') void this.pauseAtStop(gateway, fault);
    else void this.stopUnderSlowBodies(gateway, fault);
  }

  private async pauseAtStop(
    gateway: GatewayProcess,
    fault: FaultOf<'paused_at_stop'>,
  ): Promise<void> {
    const { afterMs, milliseconds, repeatedAfterMs, requests } = fault;
    const { pid } = gateway;
    const send = (): void => this.system.stopCallers.sendBeforePause(gateway, requests);
    const sendsBeforeStop = afterMs < BEFORE_PAUSE_MS;
    if (sendsBeforeStop) {
      send();
      await sleep(BEFORE_PAUSE_MS - afterMs);
    }
    gateway.stopGracefully();
    if (!sendsBeforeStop) {
      await sleep(afterMs - BEFORE_PAUSE_MS);
      send();
    }
    await sleep(Math.min(afterMs, BEFORE_PAUSE_MS));
    // A restarted process has another pid, and nothing of this stop is meant for it.
    if (gateway.pid === pid) gateway.pauseWhileStopping(milliseconds);
    if (repeatedAfterMs === 0) return;
    await sleep(repeatedAfterMs);
    if (gateway.pid === pid) gateway.signal('SIGTERM');
  }

  private async stopUnderSlowBodies(
    gateway: GatewayProcess,
    { callers }: FaultOf<'slow_bodies_at_stop'>,
  ): Promise<void> {
    this.system.stopCallers.sendSlowBodies(gateway, callers, Date.now() + BEFORE_STOP_MS);
    await sleep(BEFORE_STOP_MS);
    if (undisturbedGateways(this.system).includes(gateway)) gateway.stopGracefully();
  }

  /** Returns undefined if no other undisturbed gateway would remain to serve callers. */
  private pickUndisturbedGateway(): GatewayProcess | undefined {
    const gateways = undisturbedGateways(this.system);
    return gateways.length < 2 ? undefined : this.random.pick(gateways);
  }
}
