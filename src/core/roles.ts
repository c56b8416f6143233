/**
 * Assigns roles to daemons. Every daemon computes the assignment from the list of
 * live members by rendezvous hashing, without an election. If the lists of two
 * daemons differ, both may take the same role; the compare-and-swap on the record
 * and the sealing of engines keep that safe. Performs no I/O.
 */
import { firstCandidate, rankCandidates, rendezvousWeight } from '../common/rendezvous.js';

/** Number of partitions of the tenants' quotas; one daemon is responsible for each. */
const QUOTA_PARTITIONS = 256;

/** The properties of a daemon that the assignment depends on. */
export interface RoleCandidate {
  readonly address: string;
  readonly zone: string;
  readonly site: string;
}

/** The properties of a pool that the assignment depends on. */
export interface RolePool {
  readonly pool: string;
  readonly zone: string;
  readonly site: string;
}

/** The daemon that should own a pool: one in the pool's zone if possible, else in its site, else any. */
export function preferredOwner(
  pool: RolePool,
  members: readonly RoleCandidate[],
): string | undefined {
  const inZone = members.filter((m) => m.zone === pool.zone && m.site === pool.site);
  const inSite = members.filter((m) => m.site === pool.site);
  const nearest = [inZone, inSite, members].find((group) => group.length > 0) ?? [];
  return firstCandidate(pool.pool, addressesOf(nearest));
}

/**
 * Whether a daemon reaches enough of a pool's site to claim the pool: at least half
 * of the daemons that the platform lists there. Otherwise a partitioned daemon
 * would take pools from owners that are still running.
 */
export function reachesHalfOfSite(
  pool: RolePool,
  members: readonly RoleCandidate[],
  listed: readonly RoleCandidate[],
): boolean {
  const isInSite = (member: RoleCandidate): boolean => member.site === pool.site;
  return reachesHalf(members.filter(isInSite), listed.filter(isInSite));
}

/** Whether the live members are at least half of those that the platform lists. */
export function reachesHalf(
  members: readonly RoleCandidate[],
  listed: readonly RoleCandidate[],
): boolean {
  return members.length * 2 >= listed.length;
}

/** Share of the largest capacity that a daemon needs to count as a high-capacity one. */
const HIGH_CAPACITY_SHARE = 0.75;

/**
 * The daemons on the most powerful machines. If machines differ, roles whose load
 * grows with the size of the system go to these while at least one is live.
 */
export function highCapacityMembers<Member extends { readonly capacity: number }>(
  members: readonly Member[],
): Member[] {
  const largest = members.reduce((most, member) => Math.max(most, member.capacity), 0);
  return members.filter((member) => member.capacity >= largest * HIGH_CAPACITY_SHARE);
}

/** Addresses of the daemons in a zone that read the platform's object API. */
export function readersOf(
  zone: string,
  members: readonly RoleCandidate[],
  readersPerZone: number,
): string[] {
  const inZone = members.filter((member) => member.zone === zone);
  return rankCandidates(`reader/${zone}`, addressesOf(inZone)).slice(0, readersPerZone);
}

/** Addresses of the daemons from which `self` receives the configuration, preferred first. */
export function upstreamsOf(
  self: RoleCandidate,
  members: readonly RoleCandidate[],
  readersPerZone: number,
  upstreams: number,
): string[] {
  const readersInZone = readersOf(self.zone, members, readersPerZone);
  const isReader = readersInZone.includes(self.address);
  const otherReadersInZone = readersInZone.filter((address) => address !== self.address);
  if (!isReader && otherReadersInZone.length > 0) return otherReadersInZone.slice(0, upstreams);
  // A reader also receives the configuration from readers in other zones, which may reach the platform when it cannot.
  const zones = [...new Set(members.map((member) => member.zone))].filter((z) => z !== self.zone);
  const readersElsewhere = zones.flatMap((zone) => readersOf(zone, members, 1));
  return [...otherReadersInZone, ...rankCandidates(self.address, readersElsewhere)].slice(
    0,
    upstreams,
  );
}

/** The quota partition of a tenant. */
export function quotaPartition(tenant: string): number {
  return rendezvousWeight('quota', tenant) % QUOTA_PARTITIONS;
}

/** The quota partitions for which `self` is responsible. */
export function quotaPartitionsOf(self: string, members: readonly RoleCandidate[]): Set<number> {
  const addresses = addressesOf(members);
  const parts = new Set<number>();
  for (let part = 0; part < QUOTA_PARTITIONS; part++) {
    if (firstCandidate(`quota/${part}`, addresses) === self) parts.add(part);
  }
  return parts;
}

/** Addresses of the daemons that vote on an idempotency key, in different zones if there are enough zones. */
export function votersOf(
  tenant: string,
  key: string,
  members: readonly RoleCandidate[],
  count: number,
): string[] {
  const ranked = rankCandidates(`${tenant}\n${key}`, addressesOf(members));
  const zoneOf = new Map(members.map((member) => [member.address, member.zone]));
  const chosen: string[] = [];
  const zones = new Set<string | undefined>();
  for (const address of ranked) {
    if (chosen.length >= count) break;
    if (zones.has(zoneOf.get(address))) continue;
    zones.add(zoneOf.get(address));
    chosen.push(address);
  }
  const remaining = ranked.filter((address) => !chosen.includes(address));
  return [...chosen, ...remaining].slice(0, count);
}

function addressesOf(members: readonly RoleCandidate[]): string[] {
  return members.map((member) => member.address);
}
