/** Which gateway a fault has met, and what it did for all at that moment. */
import type { Disturbance } from './gateway-process.js';
import { counterOf, ownerOf } from './gateway-roles.js';
import type { SoakSystem } from './soak-system.js';

/** What a gateway does for all. */
export type GatewayDuty = 'owns_models' | 'counts_limited_tenant';

/** One fault of one gateway. */
export interface StruckGateway {
  readonly gateway: string;
  readonly struck: Disturbance['kind'] | 'SIGHUP' | 'SIGTERM';
  /** Milliseconds for which it was to last; 0 for a signal. */
  readonly milliseconds: number;
  readonly duties: readonly GatewayDuty[];
  /** Whether the limited tenant asked for many times its limit. */
  readonly isHot: boolean;
}

/** Duties of a gateway, as those rank it that nothing was being done to before. */
export function dutiesOf(
  system: Pick<SoakSystem, 'store' | 'gateways'>,
  name: string,
  now: number,
): GatewayDuty[] {
  const all = [...system.gateways.values()];
  const undisturbed = all.filter((each) => {
    return each.name === name || !each.wasDisturbed(now, now);
  });
  const duties: GatewayDuty[] = [];
  if (ownerOf(system, all)?.name === name) duties.push('owns_models');
  if (counterOf(undisturbed)?.name === name) duties.push('counts_limited_tenant');
  return duties;
}

/** Whether a fault met the daemon that counts a hot tenant: the case that can pass its limit. */
export function metHotCounter({ duties, isHot, struck }: StruckGateway): boolean {
  const isSignal = struck === 'SIGHUP' || struck === 'SIGTERM';
  return isHot && !isSignal && duties.includes('counts_limited_tenant');
}
