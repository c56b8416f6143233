import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { acknowledgeShrink, allowedReplicas, reconcileQuota } from '../../src/core/quota.js';
import type { QuotaRecord } from '../../src/core/records.js';

const POOLS = [
  { pool: 'old-a', site: 'old' },
  { pool: 'old-b', site: 'old' },
  { pool: 'new-a', site: 'new' },
];

function granted(record: QuotaRecord | undefined): number {
  return (record?.shares ?? []).reduce((sum, share) => sum + share.granted, 0);
}

describe('reconcileQuota', () => {
  it('grants the whole cap at once when nothing is granted yet', () => {
    const record = reconcileQuota({ tenant: 'till', maxReplicas: 3, sites: [] }, POOLS, undefined);
    expect(granted(record)).toBe(3);
  });

  it('returns undefined when the record already matches the settings', () => {
    const spec = { tenant: 'till', maxReplicas: 3, sites: [] };
    const record = reconcileQuota(spec, POOLS, undefined);
    expect(reconcileQuota(spec, POOLS, record)).toBeUndefined();
  });

  it('gives no replicas to a site with weight 0', () => {
    const sites = [
      { site: 'old', weight: 1 },
      { site: 'new', weight: 0 },
    ];
    const record = reconcileQuota({ tenant: 'till', maxReplicas: 3, sites }, POOLS, undefined);
    expect(record?.shares.map((share) => share.pool)).not.toContain('new-a');
  });

  it('moves a replica between sites only after the losing pool has confirmed', () => {
    const before: QuotaRecord = {
      tenant: 'till',
      shares: [{ pool: 'old-a', granted: 1, target: 1 }],
    };
    const sites = [{ site: 'new', weight: 1 }];
    const spec = { tenant: 'till', maxReplicas: 1, sites };
    const first = reconcileQuota(spec, POOLS, before);
    const gaining = first?.shares.find((share) => share.pool === 'new-a');
    expect(gaining).toEqual({ pool: 'new-a', granted: 0, target: 1 });
    expect(allowedReplicas(first?.shares.find((share) => share.pool === 'old-a'))).toBe(0);
    const confirmed = acknowledgeShrink(first as QuotaRecord, 'old-a');
    const second = reconcileQuota(spec, POOLS, confirmed);
    expect(second?.shares).toEqual([{ pool: 'new-a', granted: 1, target: 1 }]);
  });

  it('never grants more than the cap in any order of settings and confirmations', () => {
    const step = fc.oneof(
      fc.record({ cap: fc.integer({ min: 0, max: 5 }), old: fc.nat(2), fresh: fc.nat(2) }),
      fc.record({ confirm: fc.constantFrom('old-a', 'old-b', 'new-a') }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        let record: QuotaRecord = { tenant: 'till', shares: [] };
        for (const next of steps) {
          if ('confirm' in next) {
            record = acknowledgeShrink(record, next.confirm);
            continue;
          }
          const sites = [
            { site: 'old', weight: next.old },
            { site: 'new', weight: next.fresh },
          ];
          const before = granted(record);
          const spec = { tenant: 'till', maxReplicas: next.cap, sites };
          record = reconcileQuota(spec, POOLS, record) ?? record;
          // After the cap is lowered, grants above it remain until the pools confirm, but none is added.
          expect(granted(record)).toBeLessThanOrEqual(Math.max(next.cap, before));
        }
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
