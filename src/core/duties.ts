/**
 * Which daemon does what: every daemon works it out from the same list of live
 * members by rendezvous ranking, without an election. Two daemons whose lists
 * differ may both think a duty theirs; the compare-and-swap on the record, and
 * the seal, keep that safe. Pure.
 */
import { firstCandidate, rankCandidates, rendezvousWeight } from '../common/rendezvous.js';

/** Parts that the tenants' quotas are divided into; each part has one daemon. */
const QUOTA_PARTS = 256;

/** A daemon as the ranking sees it. */
export interface DutyMember {
  readonly address: string;
  readonly zone: string;
  readonly site: string;
}

/** A pool as the ranking sees it. */
export interface DutyPool {
  readonly pool: string;
  readonly zone: string;
  readonly site: string;
}

/** The daemon that should own a pool: of its zone if there is one, else of its site, else any. */
export function preferredOwner(pool: DutyPool, members: readonly DutyMember[]): string | undefined {
  const inZone = members.filter((m) => m.zone === pool.zone && m.site === pool.site);
  const inSite = members.filter((m) => m.site === pool.site);
  const nearest = [inZone, inSite, members].find((group) => group.length > 0) ?? [];
  return firstCandidate(pool.pool, addressesOf(nearest));
}

/**
 * Whether a daemon sees enough of a pool's site to claim the pool: half of the
 * daemons that the platform lists there. One that is cut off from the others
 * would otherwise take pools from owners that live.
 */
export function seesEnough(
  pool: DutyPool,
  members: readonly DutyMember[],
  listed: readonly DutyMember[],
): boolean {
  const isThere = (member: DutyMember): boolean => member.site === pool.site;
  return seesHalf(members.filter(isThere), listed.filter(isThere));
}

/** Whether the live members are half of those that the platform lists, or more. */
export function seesHalf(members: readonly DutyMember[], listed: readonly DutyMember[]): boolean {
  return members.length * 2 >= listed.length;
}

/** Share of the greatest capacity from which on a daemon counts among the ablest. */
const ABLE_SHARE = 0.75;

/**
 * The daemons on the most powerful machines: where machines differ, duties that
 * grow with the whole system go to these as long as one of them lives.
 */
export function ablestOf<Member extends { readonly capacity: number }>(
  members: readonly Member[],
): Member[] {
  const greatest = members.reduce((most, member) => Math.max(most, member.capacity), 0);
  return members.filter((member) => member.capacity >= greatest * ABLE_SHARE);
}

/** The daemons of a zone that read the platform's object API. */
export function readersOf(
  zone: string,
  members: readonly DutyMember[],
  readersPerZone: number,
): string[] {
  const inZone = members.filter((member) => member.zone === zone);
  return rankCandidates(`reader/${zone}`, addressesOf(inZone)).slice(0, readersPerZone);
}

/** The daemons that `self` hears the configuration from, best first. */
export function upstreamsOf(
  self: DutyMember,
  members: readonly DutyMember[],
  readersPerZone: number,
  upstreams: number,
): string[] {
  const own = readersOf(self.zone, members, readersPerZone);
  const isReader = own.includes(self.address);
  const near = own.filter((address) => address !== self.address);
  if (!isReader && near.length > 0) return near.slice(0, upstreams);
  // A reader checks itself against readers of other zones, which may reach the platform when it cannot.
  const zones = [...new Set(members.map((member) => member.zone))].filter((z) => z !== self.zone);
  const far = zones.flatMap((zone) => readersOf(zone, members, 1));
  return [...near, ...rankCandidates(self.address, far)].slice(0, upstreams);
}

/** The part of the quotas that a tenant belongs to. */
export function quotaPart(tenant: string): number {
  return rendezvousWeight('quota', tenant) % QUOTA_PARTS;
}

/** The parts of the quotas that `self` looks after. */
export function quotaPartsOf(self: string, members: readonly DutyMember[]): Set<number> {
  const addresses = addressesOf(members);
  const parts = new Set<number>();
  for (let part = 0; part < QUOTA_PARTS; part++) {
    if (firstCandidate(`quota/${part}`, addresses) === self) parts.add(part);
  }
  return parts;
}

/** The daemons that vote on an idempotency key: of different zones as far as there are enough. */
export function votersOf(
  tenant: string,
  key: string,
  members: readonly DutyMember[],
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
  const rest = ranked.filter((address) => !chosen.includes(address));
  return [...chosen, ...rest].slice(0, count);
}

function addressesOf(members: readonly DutyMember[]): string[] {
  return members.map((member) => member.address);
}
