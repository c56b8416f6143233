/** Which gateway of a soak does what for all. */
import { firstCandidate, rankCandidates } from '../../src/common/rendezvous.js';
import type { GatewayProcess } from './gateway-process.js';
import { LIMITED_TENANT } from './soak-tenants.js';
import type { SoakSystem } from './soak-system.js';

/** Where the gateways keep the owner of the only service that has one. */
const OWNER_KIND = 'scaleslip-owners';
const OWNED_SERVICE = 'models';
/** Under this name gateways rank who counts the limited tenant. */
const COUNT_NAME = `limit/${LIMITED_TENANT}`;

/** Whoever owns the models by the store's record, if it is among some gateways. */
export function ownerOf(
  { store }: Pick<SoakSystem, 'store'>,
  gateways: readonly GatewayProcess[],
): GatewayProcess | undefined {
  const record = store.read(OWNER_KIND, OWNED_SERVICE) as { address?: string } | undefined;
  return gateways.find(({ peers }) => peers === record?.address);
}

/** Whoever counts the limited tenant, as some gateways rank it among them. */
export function counterOf(gateways: readonly GatewayProcess[]): GatewayProcess | undefined {
  const addresses = gateways.map(({ peers }) => peers).sort();
  const first = firstCandidate(COUNT_NAME, addresses);
  return gateways.find(({ peers }) => peers === first);
}

/** Ports of gateways in the order in which they count the limited tenant. */
export function portsByCountRank(ports: readonly number[]): number[] {
  const addresses = ports.map((port) => `127.0.0.1:${port}`).sort();
  return rankCandidates(COUNT_NAME, addresses).map((address) => Number(address.split(':')[1]));
}
