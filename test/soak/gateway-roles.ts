/** Finds the gateways of a soak that hold a cluster-wide role. */
import { firstCandidate, rankCandidates } from '../../src/common/rendezvous.js';
import type { GatewayProcess } from './gateway-process.js';
import { LIMITED_TENANT } from './soak-tenants.js';
import type { SoakSystem } from './soak-system.js';

/** Kind of the store object in which gateways record the owner of the only service that has one. */
const OWNER_KIND = 'scaleslip-owners';
const OWNED_SERVICE = 'models';
/** Key under which gateways rank the candidates that count the requests of the limited tenant. */
const COUNT_RANKING_KEY = `limit/${LIMITED_TENANT}`;

/** The gateway that owns the models according to the record in the store, if it is one of those given. */
export function ownerOf(
  { store }: Pick<SoakSystem, 'store'>,
  gateways: readonly GatewayProcess[],
): GatewayProcess | undefined {
  const record = store.read(OWNER_KIND, OWNED_SERVICE) as { address?: string } | undefined;
  return gateways.find(({ peers }) => peers === record?.address);
}

/** The gateway that ranks first for counting the requests of the limited tenant, among those given. */
export function limitCounterOf(gateways: readonly GatewayProcess[]): GatewayProcess | undefined {
  const addresses = gateways.map(({ peers }) => peers).sort();
  const first = firstCandidate(COUNT_RANKING_KEY, addresses);
  return gateways.find(({ peers }) => peers === first);
}

/** Ports of gateways, by their rank for counting the requests of the limited tenant. */
export function portsByLimitCounterRank(ports: readonly number[]): number[] {
  const addresses = ports.map((port) => `127.0.0.1:${port}`).sort();
  return rankCandidates(COUNT_RANKING_KEY, addresses).map((address) =>
    Number(address.split(':')[1]),
  );
}
