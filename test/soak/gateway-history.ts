/** The faults and stops of the gateways of a soak, as its auditor queries them. */
import type { GatewayHistory, TimeSpan } from './evidence.js';
import type { GatewayProcess } from './gateway-process.js';

/** Returns the history of all gateways; a query for an unknown name throws. */
export function gatewayHistoryOf(gateways: ReadonlyMap<string, GatewayProcess>): GatewayHistory {
  const find = (name: string): GatewayProcess => {
    const found = gateways.get(name);
    if (found === undefined) throw new Error(`no gateway ${name}`);
    return found;
  };
  return {
    wasDisturbed: (name, { from, until }) => find(name).wasDisturbed(from, until),
    wasInterrupted: (name, { from, until }) => find(name).wasInterrupted(from, until),
    wasJustResumed: (name, { from, until }) => find(name).wasJustResumed(from, until),
    hadFault: (name, { from, until }) => find(name).hadFault(from, until),
    pausesAtStop: (name, { from, until }) => find(name).pausesAtStop(from, until),
    anyHadFault: ({ from, until }: TimeSpan) => {
      return [...gateways.values()].some((each) => each.hadFault(from, until));
    },
    stopDuring: (name, { from, until }) => find(name).stopDuring(from, until),
  };
}
