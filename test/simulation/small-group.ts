/** A small group with one limited tenant: the share of one daemon far exceeds the operator's slack. */
import { tenantLimitKind } from '../../src/gateway/limit-kind.js';
import { SimulatedLimits } from './simulated-limits.js';

/** Window of the tenant limit, and the excess and slack that operators allow in it. */
export const WINDOW = { windowMs: 4_000, excess: 0.1, slack: 400 };
/** Limit of the tenant. */
export const LIMIT = { unit: 'tokens', perSecond: 400, burst: 400, defaultCharge: 100 } as const;
/** Usual load of the tenant, as a share of its limit. */
const USUAL_LOAD_SHARE = 0.55;
/** Seconds that daemons run before the first request: longer than a window. */
const WARM_UP_SECONDS = 5;
const USUAL_SECONDS = 4;

/** Returns the most units that may be admitted in a window. */
export function maxUnitsInWindow({
  perSecond,
  burst,
}: {
  perSecond: number;
  burst: number;
}): number {
  const plain = (perSecond * WINDOW.windowMs) / 1_000 + burst;
  return plain * (1 + WINDOW.excess) + WINDOW.slack;
}

/** Returns a group that has run under the tenant's usual load for some time. */
export async function warmGroup(daemons: number, seed: number): Promise<SimulatedLimits> {
  const options = {
    daemons,
    limit: LIMIT,
    kind: tenantLimitKind(WINDOW),
    unitsPerRequest: 100,
    seed,
  };
  const group = new SimulatedLimits(options);
  await group.simulate({ seconds: WARM_UP_SECONDS, unitsPerSecond: 0 });
  await group.simulate({
    seconds: USUAL_SECONDS,
    unitsPerSecond: LIMIT.perSecond * USUAL_LOAD_SHARE,
  });
  return group;
}
