/**
 * Splits a tenant's replica cap over pools. A grant moves in two steps: first the
 * owner of the losing pool unloads replicas and lowers the pool's grant; only then
 * can the gaining pool's grant rise without exceeding the cap. Performs no I/O.
 * Several daemons may run it at once, because the result is written by
 * compare-and-swap.
 */
import { rankCandidates } from '../common/rendezvous.js';
import type { SiteWeight } from './documents.js';
import type { QuotaRecord, QuotaShare } from './records.js';

/** A pool that can hold replicas. */
export interface QuotaPool {
  readonly pool: string;
  readonly site: string;
}

/** The tenant settings that the split depends on. */
export interface QuotaSpec {
  readonly tenant: string;
  readonly maxReplicas: number;
  readonly sites: readonly SiteWeight[];
}

/** Number of replicas that a pool may hold now. */
export function allowedReplicas(share: QuotaShare | undefined): number {
  return share === undefined ? 0 : Math.min(share.granted, share.target);
}

/** Returns the record that should replace `record`, or undefined if nothing has to change. */
export function reconcileQuota(
  spec: QuotaSpec,
  pools: readonly QuotaPool[],
  record: QuotaRecord | undefined,
): QuotaRecord | undefined {
  const targets = splitIntoTargets(spec, pools);
  const shares = withTargets(record?.shares ?? [], targets);
  const granted = raiseGrants(shares, spec.maxReplicas);
  const kept = granted.filter((share) => share.granted > 0 || share.target > 0);
  const next = { tenant: spec.tenant, shares: kept };
  return sameShares(record?.shares ?? [], kept) ? undefined : next;
}

/** Returns the record after the owner of `pool` has reduced its replicas to the target. */
export function acknowledgeShrink(record: QuotaRecord, pool: string): QuotaRecord {
  const shares = record.shares.map((share) =>
    share.pool === pool ? { ...share, granted: Math.min(share.granted, share.target) } : share,
  );
  return { ...record, shares };
}

/** Targets by pool, in the tenant's ranking of pools; the first pool is the one in which the tenant is woken. */
function splitIntoTargets(spec: QuotaSpec, pools: readonly QuotaPool[]): QuotaShare[] {
  const sites = [...new Set(pools.map((pool) => pool.site))].sort();
  const counts = splitBySite(spec, sites);
  const targets: QuotaShare[] = [];
  for (const site of rankCandidates(spec.tenant, sites)) {
    const names = pools.filter((pool) => pool.site === site).map((pool) => pool.pool);
    targets.push(...spreadOver(rankCandidates(spec.tenant, names), counts.get(site) ?? 0));
  }
  return targets;
}

/** Whole replicas per site in proportion to the weights, by the largest remainder method. */
function splitBySite(spec: QuotaSpec, sites: readonly string[]): Map<string, number> {
  const weightOf = (site: string): number => {
    if (spec.sites.length === 0) return 1;
    return spec.sites.find((entry) => entry.site === site)?.weight ?? 0;
  };
  const total = sites.reduce((sum, site) => sum + weightOf(site), 0);
  const counts = new Map<string, number>();
  if (total === 0) return counts;
  const exact = sites.map((site) => ({ site, share: (spec.maxReplicas * weightOf(site)) / total }));
  for (const entry of exact) counts.set(entry.site, Math.floor(entry.share));
  let remaining = spec.maxReplicas - [...counts.values()].reduce((sum, count) => sum + count, 0);
  const rank = rankCandidates(spec.tenant, sites);
  const byRemainder = exact
    .filter((entry) => weightOf(entry.site) > 0)
    .sort((a, b) => (b.share % 1) - (a.share % 1) || rank.indexOf(a.site) - rank.indexOf(b.site));
  for (const entry of byRemainder) {
    if (remaining === 0) break;
    counts.set(entry.site, (counts.get(entry.site) ?? 0) + 1);
    remaining -= 1;
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
  const targeted = targets.map((share) => ({ ...share, granted: grantOf(share.pool) }));
  const names = new Set(targets.map((share) => share.pool));
  const withdrawn = current.filter((share) => !names.has(share.pool));
  return [...targeted, ...withdrawn.map((share) => ({ ...share, target: 0 }))];
}

/** Raises grants towards their targets, up to the cap. */
function raiseGrants(shares: readonly QuotaShare[], cap: number): QuotaShare[] {
  let room = cap - shares.reduce((sum, share) => sum + share.granted, 0);
  return shares.map((share) => {
    const increase = Math.max(0, Math.min(room, share.target - share.granted));
    room -= increase;
    return { ...share, granted: share.granted + increase };
  });
}

function sameShares(a: readonly QuotaShare[], b: readonly QuotaShare[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
