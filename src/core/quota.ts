/**
 * How a tenant's replica cap is split over pools. A grant moves in two steps:
 * the giving pool's owner unloads and lowers its own grant; only then is there
 * room for the taking pool's grant. Pure; several daemons may run it at once,
 * because the result is written by compare-and-swap.
 */
import { rankCandidates } from '../common/rendezvous.js';
import type { SiteWeight } from './documents.js';
import type { QuotaRecord, QuotaShare } from './records.js';

/** A pool that can take replicas. */
export interface PoolPlace {
  readonly pool: string;
  readonly site: string;
}

/** What the split depends on. */
export interface QuotaWish {
  readonly tenant: string;
  readonly maxReplicas: number;
  readonly sites: readonly SiteWeight[];
}

/** The replicas that a pool may hold now. */
export function allowedReplicas(share: QuotaShare | undefined): number {
  return share === undefined ? 0 : Math.min(share.granted, share.target);
}

/** The record that should follow `record`, or undefined if nothing is to change. */
export function reconcileQuota(
  wish: QuotaWish,
  pools: readonly PoolPlace[],
  record: QuotaRecord | undefined,
): QuotaRecord | undefined {
  const targets = splitReplicas(wish, pools);
  const shares = withTargets(record?.shares ?? [], targets);
  const granted = raiseGrants(shares, wish.maxReplicas);
  const kept = granted.filter((share) => share.granted > 0 || share.target > 0);
  const next = { tenant: wish.tenant, shares: kept };
  return sameShares(record?.shares ?? [], kept) ? undefined : next;
}

/** The record after the owner of `pool` has come down to its target. */
export function acknowledgeShrink(record: QuotaRecord, pool: string): QuotaRecord {
  const shares = record.shares.map((share) =>
    share.pool === pool ? { ...share, granted: Math.min(share.granted, share.target) } : share,
  );
  return { ...record, shares };
}

/** Targets by pool, in the tenant's own order of pools: the first is where it is woken. */
function splitReplicas(wish: QuotaWish, pools: readonly PoolPlace[]): QuotaShare[] {
  const sites = [...new Set(pools.map((place) => place.site))].sort();
  const counts = splitBySite(wish, sites);
  const targets: QuotaShare[] = [];
  for (const site of rankCandidates(wish.tenant, sites)) {
    const names = pools.filter((place) => place.site === site).map((place) => place.pool);
    targets.push(...spreadOver(rankCandidates(wish.tenant, names), counts.get(site) ?? 0));
  }
  return targets;
}

/** Largest remainder: whole replicas a site, in proportion to the weights. */
function splitBySite(wish: QuotaWish, sites: readonly string[]): Map<string, number> {
  const weightOf = (site: string): number => {
    if (wish.sites.length === 0) return 1;
    return wish.sites.find((entry) => entry.site === site)?.weight ?? 0;
  };
  const total = sites.reduce((sum, site) => sum + weightOf(site), 0);
  const counts = new Map<string, number>();
  if (total === 0) return counts;
  const exact = sites.map((site) => ({ site, share: (wish.maxReplicas * weightOf(site)) / total }));
  for (const entry of exact) counts.set(entry.site, Math.floor(entry.share));
  let rest = wish.maxReplicas - [...counts.values()].reduce((sum, count) => sum + count, 0);
  const rank = rankCandidates(wish.tenant, sites);
  const byRemainder = exact
    .filter((entry) => weightOf(entry.site) > 0)
    .sort((a, b) => (b.share % 1) - (a.share % 1) || rank.indexOf(a.site) - rank.indexOf(b.site));
  for (const entry of byRemainder) {
    if (rest === 0) break;
    counts.set(entry.site, (counts.get(entry.site) ?? 0) + 1);
    rest -= 1;
  }
  return counts;
}

function spreadOver(ranked: readonly string[], count: number): QuotaShare[] {
  const each = Math.floor(count / Math.max(1, ranked.length));
  const extra = count % Math.max(1, ranked.length);
  return ranked
    .map((pool, index) => ({ pool, granted: 0, target: each + (index < extra ? 1 : 0) }))
    .filter((share) => share.target > 0);
}

function withTargets(current: readonly QuotaShare[], targets: readonly QuotaShare[]): QuotaShare[] {
  const grantOf = (pool: string): number =>
    current.find((share) => share.pool === pool)?.granted ?? 0;
  const wanted = targets.map((share) => ({ ...share, granted: grantOf(share.pool) }));
  const names = new Set(targets.map((share) => share.pool));
  const left = current.filter((share) => !names.has(share.pool));
  return [...wanted, ...left.map((share) => ({ ...share, target: 0 }))];
}

/** Raises grants towards their targets as far as the cap has room. */
function raiseGrants(shares: readonly QuotaShare[], cap: number): QuotaShare[] {
  let room = cap - shares.reduce((sum, share) => sum + share.granted, 0);
  return shares.map((share) => {
    const raise = Math.max(0, Math.min(room, share.target - share.granted));
    room -= raise;
    return { ...share, granted: share.granted + raise };
  });
}

function sameShares(a: readonly QuotaShare[], b: readonly QuotaShare[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
