/** The load balancer of a soak test: chooses the gateways that new connections of callers go to. */
import type { ConnectionFunnel } from './evidence.js';
import type { GatewayProcess } from './gateway-process.js';
import type { SeededRandom } from './seeded-random.js';

/** Time after a stop request until new callers are routed to other gateways. */
const UPDATE_DELAY_MS = 2_000;
/** Share of the new connections that go to one gateway while they are funnelled. */
const FUNNELLED_SHARE = 0.9;

/** Returns the gateways to which new callers are routed. */
export function routableGateways(gateways: Iterable<GatewayProcess>): GatewayProcess[] {
  const now = Date.now();
  return [...gateways].filter((each) => {
    if (each.isGone) return false;
    const stoppedAt = each.stopDuring(now, now);
    return stoppedAt === undefined || now - stoppedAt < UPDATE_DELAY_MS;
  });
}

/** Chooses the gateway of a new connection. */
export function pickGateway(
  random: SeededRandom,
  gateways: readonly GatewayProcess[],
  funnels: readonly ConnectionFunnel[],
): GatewayProcess | undefined {
  const now = Date.now();
  const funnel = funnels.find(({ from, until }) => from <= now && now < until);
  const target = gateways.find(({ name }) => name === funnel?.gateway);
  return target !== undefined && random.chance(FUNNELLED_SHARE) ? target : random.pick(gateways);
}
