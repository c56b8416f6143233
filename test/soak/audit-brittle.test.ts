import { describe, expect, it } from 'vitest';
import { auditBrittle } from './audit-brittle.js';
import { undisturbedHistory } from './audit-fixtures.js';
import type { SoakEvidence } from './evidence.js';
import { STEADY_TENANT } from './soak-tenants.js';

function rulesOf(part: Partial<SoakEvidence>): string[] {
  const evidence = {
    calls: [],
    brittleTimes: [],
    brittleFalls: [],
    silentTimes: [],
    replicaFaults: [],
    storeFaults: [],
    backendPartitions: [],
    gateways: undisturbedHistory,
    ...part,
  } as unknown as SoakEvidence;
  return auditBrittle(evidence).map(({ rule }) => rule);
}

describe('audit of brittle replicas', () => {
  const brittleTimes = [{ from: 1_000, until: 9_000, replicas: 9 }];

  function falls(count: number, at = 5_000): SoakEvidence['brittleFalls'] {
    return Array.from({ length: count }, (_, index) => ({ replica: `r${index}`, at }));
  }

  it('allows two falls and a tenth of the replicas', () => {
    expect(rulesOf({ brittleTimes, brittleFalls: falls(2) })).toEqual([]);
    expect(rulesOf({ brittleTimes, brittleFalls: falls(3) })).toEqual(['brittle_replicas_fell']);
    const many = [{ from: 1_000, until: 9_000, replicas: 10 }];
    expect(rulesOf({ brittleTimes: many, brittleFalls: falls(3) })).toEqual([]);
  });

  it('counts each time by itself', () => {
    const brittleFalls = [...falls(2, 5_000), ...falls(2, 15_000)];
    const times = [...brittleTimes, { from: 11_000, until: 19_000, replicas: 9 }];
    expect(rulesOf({ brittleTimes: times, brittleFalls })).toEqual([]);
  });
});

describe('audit of silent replicas', () => {
  const silentTimes = [{ from: 5_000, until: 6_000 }];

  function calls(served: number): SoakEvidence['calls'] {
    return Array.from({ length: 20 }, (_, index) => ({
      request: { caller: { tenant: STEADY_TENANT, key: '' }, kind: 'any' },
      gateway: 'g',
      sentAt: 5_500,
      endedAt: 5_600,
      status: index < served ? 200 : 504,
      isComplete: true,
    })) as unknown as SoakEvidence['calls'];
  }

  it('reports callers that were not served meanwhile, unless another fault explains it', () => {
    expect(rulesOf({ silentTimes, calls: calls(18) })).toEqual([]);
    expect(rulesOf({ silentTimes, calls: calls(17) })).toEqual(['unserved_in_silence']);
    const replicaFaults = [{ from: 5_900, until: 7_000 }];
    expect(rulesOf({ silentTimes, calls: calls(0), replicaFaults })).toEqual([]);
  });
});
