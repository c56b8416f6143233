import { describe, expect, it } from 'vitest';
import { undisturbedHistory } from './audit-fixtures.js';
import { auditPartitions } from './audit-partitions.js';
import type { CallRecord, RequestKind } from './caller.js';
import type { SoakEvidence, TimeSpan } from './evidence.js';

const PARTITION: TimeSpan = { from: 10_000, until: 22_000 };

interface CallPart {
  readonly gateway: string;
  readonly sentAt: number;
  readonly status?: number;
  readonly kind?: RequestKind;
  readonly milliseconds?: number;
}

function callOf({
  gateway,
  sentAt,
  status = 200,
  kind = 'any',
  milliseconds = 40,
}: CallPart): CallRecord {
  const caller = { tenant: 't', key: 'k' };
  const request = {
    attemptId: `${sentAt}`,
    kind,
    path: '/',
    model: undefined,
    body: '',
    deadlineMs: 1_500,
    caller,
  };
  const end = { endedAt: sentAt + milliseconds, isComplete: true, isSealed: true, text: '' };
  const kept = { errorKind: undefined, wasRefused: false, wasOnKeptConnection: false };
  return { request, gateway, sentAt, status, ...end, ...kept };
}

/** Twenty calls at a gateway from a time on, of which the first `served` are served. */
function callsAt(
  gateway: string,
  from: number,
  served: number,
  part: Partial<CallPart> = {},
): CallRecord[] {
  return Array.from({ length: 20 }, (_, index) => {
    const status = index < served ? 200 : 503;
    return callOf({ gateway, sentAt: from + index * 100, status, ...part });
  });
}

function rulesOf(calls: readonly CallRecord[], part: Partial<SoakEvidence> = {}): string[] {
  const evidence = {
    calls,
    backendPartitions: [{ ...PARTITION, gateways: new Set(['cut']), how: 'hang' }],
    replicaFaults: [],
    storeFaults: [],
    gateways: undisturbedHistory,
    ...part,
  } as unknown as SoakEvidence;
  return auditPartitions(evidence).map(({ rule }) => rule);
}

describe('audit of partitions from all replicas', () => {
  const soundOthers = callsAt('sound', 14_000, 20);

  it('accepts two thirds of the share of the others', () => {
    expect(rulesOf([...callsAt('cut', 14_000, 14), ...soundOthers])).toEqual([]);
  });

  it('reports callers that were served less often than that', () => {
    const rules = rulesOf([...callsAt('cut', 14_000, 13), ...soundOthers]);
    expect(rules).toEqual(['partitioned_unserved']);
  });

  it('allows three seconds to notice', () => {
    expect(rulesOf([...callsAt('cut', 10_900, 0), ...callsAt('sound', 10_900, 20)])).toEqual([]);
  });

  it('leaves out what keys and limits decide', () => {
    expect(rulesOf([...callsAt('cut', 14_000, 0, { status: 429 }), ...soundOthers])).toEqual([]);
  });

  it('reports callers that are not served from one second after the end', () => {
    const rules = rulesOf([...callsAt('cut', 23_100, 5), ...callsAt('sound', 23_100, 20)]);
    expect(rules).toEqual(['unserved_after_partition']);
  });

  it('leaves out gateways that the store does not answer, now or just before', () => {
    const calls = [...callsAt('cut', 14_000, 0), ...soundOthers];
    const fault = { from: 11_000, until: 13_000 };
    expect(rulesOf(calls, { storeFaults: [{ ...fault, gateways: new Set(['cut']) }] })).toEqual([]);
    expect(rulesOf(calls, { storeFaults: [{ from: 1_000, until: 10_000 }] })).toEqual([
      'partitioned_unserved',
    ]);
  });

  it('reports harm to callers of the others, unless another fault explains it', () => {
    const harmed = [...callsAt('cut', 14_000, 17), ...callsAt('sound', 14_000, 17)];
    expect(rulesOf(harmed)).toEqual(['partition_harms_others']);
    expect(rulesOf(harmed, { replicaFaults: [{ from: 14_000, until: 14_500 }] })).toEqual([]);
  });

  it('reports slow refusals when no gateway reaches a replica', () => {
    const slow = callsAt('cut', 14_000, 0, { milliseconds: 1_470 });
    expect(rulesOf(slow)).toEqual(['refused_late_when_partitioned']);
    expect(rulesOf(callsAt('cut', 14_000, 0, { milliseconds: 30 }))).toEqual([]);
  });
});
