/** Records which gateway a fault hit and which cluster-wide roles it held at that moment. */
import type { Disturbance, GatewaySignal } from './gateway-process.js';
import { limitCounterOf, ownerOf } from './gateway-roles.js';
import type { SoakSystem } from './soak-system.js';

/** Cluster-wide role of a gateway. */
export type GatewayRole = 'owns_models' | 'counts_limited_tenant';

/** One fault that was injected into one gateway. */
export interface GatewayFault {
  readonly gateway: string;
  readonly struck: Disturbance['kind'] | GatewaySignal;
  /** Planned duration of the fault in milliseconds; 0 for a signal. */
  readonly milliseconds: number;
  readonly duties: readonly GatewayRole[];
  /** Whether the limited tenant sent many times its limit. */
  readonly isHot: boolean;
}

/** Roles of a gateway; the count role is ranked among the gateways that had no fault before, and this one. */
export function rolesOf(
  system: Pick<SoakSystem, 'store' | 'gateways'>,
  name: string,
  now: number,
): GatewayRole[] {
  const all = [...system.gateways.values()];
  const undisturbed = all.filter((each) => {
    return each.name === name || !each.wasDisturbed(now, now);
  });
  const duties: GatewayRole[] = [];
  if (ownerOf(system, all)?.name === name) duties.push('owns_models');
  if (limitCounterOf(undisturbed)?.name === name) duties.push('counts_limited_tenant');
  return duties;
}

/** Whether a fault hit the gateway that counts the limited tenant while that sends many times its limit: only then can it exceed the limit. */
export function hitHotLimitCounter({ duties, isHot, struck }: GatewayFault): boolean {
  const isSignal = struck === 'SIGHUP' || struck === 'SIGTERM' || struck === 'SIGINT';
  return isHot && !isSignal && duties.includes('counts_limited_tenant');
}
