import { describe, expect, it } from 'vitest';
import { auditCrashes } from './audit-crashes.js';
import { undisturbedHistory } from './audit-fixtures.js';
import type { CallRecord } from './caller.js';
import type { SoakEvidence } from './evidence.js';
import type { PoisonArrival } from './run-log.js';

const CALM_FROM = 100_000;

function arrivals(name: string, times: readonly number[]): PoisonArrival[] {
  return times.map((at) => ({ name, attemptId: `${name}-${at}`, replica: 'r', at }));
}

function soundCalls(from: number, count: number, begun: number): CallRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const request = { attemptId: 's', kind: 'resumable', model: 'm', body: '{}' };
    const sentAt = from + index * 100;
    return { request, gateway: 'g', sentAt, endedAt: sentAt, status: index < begun ? 200 : 503 };
  }) as unknown as CallRecord[];
}

function poisonCall(name: string, sentAt: number): CallRecord {
  const request = { attemptId: 'p', kind: 'poison', model: 'm', body: `{"poison":"${name}"}` };
  return { request, gateway: 'g', sentAt, endedAt: sentAt } as unknown as CallRecord;
}

function rulesOf(part: Partial<SoakEvidence>): string[] {
  const evidence = {
    calls: [],
    poisonArrivals: [],
    poisonCrashes: [],
    replicaFaults: [],
    gateways: undisturbedHistory,
    faultFreeSince: CALM_FROM,
    ...part,
  } as unknown as SoakEvidence;
  return auditCrashes(evidence).map(({ rule }) => rule);
}

describe('the audit of parts that crash replicas', () => {
  const crashes = [1_000, 1_100, 1_200, 1_300, 1_400];

  it('allows five crashes, what arrives within 3 s of the fifth, and three later arrivals', () => {
    const late = [4_401, 4_402, 4_403];
    const poisonCrashes = arrivals('part-1', crashes);
    const allowed = arrivals('part-1', [...crashes, 4_400, ...late]);
    expect(rulesOf({ poisonCrashes, poisonArrivals: allowed })).toEqual([]);
    const tooMany = arrivals('part-1', [...crashes, ...late, 4_404]);
    expect(rulesOf({ poisonCrashes, poisonArrivals: tooMany })).toEqual(['crash_repeated']);
  });

  it('finds sound requests that begin less than half as often beside it as in calm', () => {
    const part = {
      poisonArrivals: arrivals('part-1', crashes),
      poisonCrashes: arrivals('part-1', crashes),
    };
    const calm = soundCalls(CALM_FROM, 20, 18);
    const poison = poisonCall('part-1', 20_000);
    const harmed = [...soundCalls(7_500, 20, 8), ...calm, poison];
    expect(rulesOf({ ...part, calls: harmed })).toEqual(['sound_harmed']);
    const served = [...soundCalls(7_500, 20, 9), ...calm, poison];
    expect(rulesOf({ ...part, calls: served })).toEqual([]);
  });

  it('leaves out sound requests while another part still has its first crashes, and no longer', () => {
    const poisonCrashes = [...arrivals('part-1', crashes), ...arrivals('part-2', [15_000])];
    const part = { poisonArrivals: poisonCrashes, poisonCrashes };
    const poison = [poisonCall('part-1', 30_000), poisonCall('part-2', 30_000)];
    const calm = soundCalls(CALM_FROM, 20, 18);
    const settling = [...soundCalls(15_100, 40, 0), ...calm, ...poison];
    expect(rulesOf({ ...part, calls: settling })).toEqual([]);
    const settled = [...soundCalls(21_100, 40, 0), ...calm, ...poison];
    expect(rulesOf({ ...part, calls: settled })).toEqual(['sound_harmed', 'sound_harmed']);
  });
});
