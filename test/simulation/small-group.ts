/** A small group with one limited tenant: the share of one daemon is far more than the operator's slack. */
import { tenantLimitKind } from '../../src/gateway/limit-kind.js';
import { SimulatedLimits } from './simulated-limits.js';

export const WINDOW = { windowMs: 4_000, excess: 0.1, slack: 400 };
export const LIMIT = { unit: 'tokens', perSecond: 400, burst: 400, defaultCharge: 100 } as const;
/** What the tenant asks for on an ordinary day, as a share of its limit. */
const USUAL = 0.55;
/** Daemons run for longer than a window before callers come. */
const LEAD_SECONDS = 5;
const USUAL_SECONDS = 4;

/** Units that may run in a window. */
export function boundOf({ perSecond, burst }: { perSecond: number; burst: number }): number {
  const plain = (perSecond * WINDOW.windowMs) / 1_000 + burst;
  return plain * (1 + WINDOW.excess) + WINDOW.slack;
}

/** A group whose tenant has asked for its usual for some time. */
export async function warmGroup(daemons: number, seed: number): Promise<SimulatedLimits> {
  const options = {
    daemons,
    limit: LIMIT,
    kind: tenantLimitKind(WINDOW),
    unitsPerRequest: 100,
    seed,
  };
  const group = new SimulatedLimits(options);
  await group.play({ seconds: LEAD_SECONDS, unitsPerSecond: 0 });
  await group.play({ seconds: USUAL_SECONDS, unitsPerSecond: LIMIT.perSecond * USUAL });
  return group;
}
