import { expect, it } from 'vitest';
import { undisturbedHistory } from './audit-fixtures.js';
import { auditFunnels } from './audit-funnels.js';
import type { CallRecord } from './caller.js';
import type { SoakEvidence, TimeSpan } from './evidence.js';

const FUNNEL = { gateway: 'g', from: 20_000, until: 28_000 };

function calls(from: number, count: number, served: number, refusedStatus?: number): CallRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const status = index < served ? 200 : refusedStatus;
    const request = { attemptId: 'a', kind: 'any', body: '' };
    return { request, gateway: 'g', sentAt: from + index * 100, status, isComplete: true };
  }) as unknown as CallRecord[];
}

function rulesOf(during: CallRecord[], replicaFaults: TimeSpan[] = []): string[] {
  const evidence = {
    calls: [...calls(14_500, 20, 20), ...during],
    funnels: [FUNNEL],
    gateways: undisturbedHistory,
    storeFaults: [],
    replicaFaults,
  };
  return auditFunnels(evidence as unknown as SoakEvidence).map(({ rule }) => rule);
}

it('finds a funnel in which less than three quarters as many calls are served as before', () => {
  expect(rulesOf(calls(23_000, 20, 15, 503))).toEqual([]);
  expect(rulesOf(calls(23_000, 20, 14, 503))).toEqual(['funnel_unserved']);
});

it('counts no connection without an answer, no limit, and no time with another fault', () => {
  expect(rulesOf(calls(23_000, 40, 20))).toEqual([]);
  expect(rulesOf(calls(23_000, 40, 20, 429))).toEqual([]);
  expect(rulesOf(calls(23_000, 20, 0, 503), [{ from: 22_000, until: 23_000 }])).toEqual([]);
});
