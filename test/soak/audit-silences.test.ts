import { describe, expect, it } from 'vitest';
import { undisturbedHistory } from './audit-fixtures.js';
import { auditSilences, silenceCounts } from './audit-silences.js';
import type { CallRecord } from './caller.js';
import type { SoakEvidence } from './evidence.js';

const SENT_AT = 10_000;
const DEADLINE_MS = 1_500;
const SILENCE = { replica: 'replica-7-1', service: 'plain', from: 10_010, until: 11_010 };
const RUN = { attemptId: 'a', replica: 'replica-7-1', tenant: undefined, at: 10_005 };

interface Outcome {
  readonly status?: number;
  readonly isComplete?: boolean;
  readonly endedAt?: number;
  readonly kind?: string;
  readonly errorKind?: string;
}

function callOf({
  status,
  isComplete = true,
  endedAt = 10_500,
  kind = 'any',
  errorKind,
}: Outcome): CallRecord {
  const request = { attemptId: 'a', kind, deadlineMs: DEADLINE_MS };
  const call = { request, gateway: 'g', sentAt: SENT_AT, endedAt, status, isComplete, errorKind };
  return call as unknown as CallRecord;
}

function evidenceOf(outcome: Outcome, changes: Partial<SoakEvidence> = {}): SoakEvidence {
  const evidence: Partial<SoakEvidence> = {
    calls: [callOf(outcome)],
    silences: [SILENCE],
    runs: [RUN],
    answers: [],
    replicaFaults: [],
    backendPartitions: [],
    lateRefusals: [],
    silentBackups: ['event=backup_backend_silent'],
    gateways: undisturbedHistory,
    ...changes,
  };
  return evidence as SoakEvidence;
}

function rulesOf(outcome: Outcome, changes: Partial<SoakEvidence> = {}): string[] {
  return auditSilences(evidenceOf(outcome, changes)).map(({ rule }) => rule);
}

function disturbedAt(at: number): Partial<SoakEvidence> {
  const wasDisturbed: SoakEvidence['gateways']['wasDisturbed'] = (_, { from, until }) =>
    from <= at && at <= until;
  return { gateways: { ...undisturbedHistory, wasDisturbed } };
}

const LOST = ['lost_to_silence'];
const CUT: Outcome = { status: 200, isComplete: false };

describe('the audit of silences', () => {
  it('accepts a whole answer, and refusals of requests that have not run', () => {
    expect(rulesOf({ status: 200 })).toEqual([]);
    for (const status of [429, 503]) expect(rulesOf({ status }, { runs: [] })).toEqual([]);
  });

  it('finds cut answers, closed connections, and 502 and 504 before the deadline', () => {
    expect(rulesOf(CUT)).toEqual(LOST);
    expect(rulesOf({ isComplete: false })).toEqual(LOST);
    for (const status of [502, 504]) {
      expect(rulesOf({ status })).toEqual(LOST);
      expect(rulesOf({ status }, { runs: [] })).toEqual(LOST);
    }
  });

  it('finds a refusal of a request that has run, and a refusal that was cut', () => {
    expect(rulesOf({ status: 503 })).toEqual(LOST);
    expect(rulesOf({ status: 503, isComplete: false }, { runs: [] })).toEqual(LOST);
  });

  it('takes no run of another request for one of the refused request', () => {
    expect(rulesOf({ status: 503 }, { runs: [{ ...RUN, attemptId: 'b' }] })).toEqual([]);
  });

  it('excuses an end at the deadline, and not one well before it', () => {
    const deadline = SENT_AT + DEADLINE_MS;
    expect(rulesOf({ status: 504, endedAt: deadline - 50 })).toEqual([]);
    expect(rulesOf({ status: 504, endedAt: deadline - 150 })).toEqual(LOST);
  });

  it('judges only calls during which replicas of their service were silent', () => {
    expect(rulesOf({ ...CUT, kind: 'resumable' })).toEqual([]);
    expect(
      rulesOf({ ...CUT, kind: 'resumable' }, { silences: [{ ...SILENCE, service: 'models' }] }),
    ).toEqual(LOST);
    expect(
      rulesOf({ ...CUT, kind: 'stream_once' }, { silences: [{ ...SILENCE, service: 'models' }] }),
    ).toEqual(LOST);
    expect(rulesOf(CUT, { silences: [{ ...SILENCE, from: 12_000, until: 13_000 }] })).toEqual([]);
    expect(rulesOf(CUT, { silences: [{ ...SILENCE, from: 8_000, until: 9_000 }] })).toEqual([]);
    expect(rulesOf(CUT, { silences: [{ ...SILENCE, from: 8_000, until: 10_100 }] })).toEqual(LOST);
  });

  it('excuses calls at a gateway that was disturbed during them or in the 3 s before them', () => {
    expect(rulesOf(CUT, disturbedAt(SENT_AT + 400))).toEqual([]);
    expect(rulesOf(CUT, disturbedAt(SENT_AT + 600))).toEqual(LOST);
    expect(rulesOf(CUT, disturbedAt(SENT_AT - 2_900))).toEqual([]);
    expect(rulesOf(CUT, disturbedAt(SENT_AT - 3_100))).toEqual(LOST);
  });

  it('excuses faults of replicas, partitions of the gateway, and crashing requests', () => {
    const span = { from: 10_100, until: 10_200 };
    const partition = { ...span, gateways: new Set(['g']), how: 'hang' };
    const other = { ...partition, gateways: new Set(['h']) };
    expect(rulesOf(CUT, { replicaFaults: [span] })).toEqual([]);
    expect(rulesOf(CUT, { backendPartitions: [partition] })).toEqual([]);
    expect(rulesOf(CUT, { backendPartitions: [other] })).toEqual(LOST);
    expect(rulesOf({ ...CUT, kind: 'poison' })).toEqual([]);
  });

  it('counts calls whose replica fell silent while it ran them', () => {
    const times = { lastSentAt: 0, endedAt: 11_020, isWhole: true };
    const answer = { attemptId: 'a', replica: 'replica-7-1', from: 10_005, ...times };
    const count = (replica: string): unknown =>
      silenceCounts(evidenceOf({ status: 200 }, { answers: [{ ...answer, replica }] }));
    expect(count('replica-7-1')).toEqual({
      all: 1,
      calls: 1,
      judged: 1,
      served: 1,
      backups: 1,
    });
    expect(count('replica-8-1')).toEqual({ all: 1, calls: 0, judged: 0, served: 0, backups: 1 });
  });

  it('counts calls that began to run within a silence or just after it', () => {
    const ranAt = (at: number): unknown =>
      silenceCounts(evidenceOf({ status: 200 }, { runs: [{ ...RUN, at }] })).calls;
    expect([10_100, 11_015, 11_030].map(ranAt)).toEqual([1, 1, 0]);
  });

  it('counts neither calls that another fault excuses as judged nor lost calls as served', () => {
    const runs = [{ ...RUN, at: 10_100 }];
    const met = { all: 1, calls: 1, backups: 1 };
    const disturbed = evidenceOf({ status: 200 }, { runs, ...disturbedAt(SENT_AT) });
    expect(silenceCounts(disturbed)).toEqual({ ...met, judged: 0, served: 0 });
    expect(silenceCounts(evidenceOf(CUT, { runs }))).toEqual({ ...met, judged: 1, served: 0 });
  });

  it('accepts an unknown outcome at a late refusal only before the answer has begun', () => {
    const unknown: Outcome = { status: 502, errorKind: 'engine_outcome_unknown' };
    const refusedAt = (at: number): Partial<SoakEvidence> => {
      return { lateRefusals: [{ attemptId: 'a', at }] };
    };
    expect(rulesOf(unknown, refusedAt(10_490))).toEqual([]);
    expect(rulesOf(unknown, refusedAt(10_300))).toEqual(LOST);
    expect(rulesOf(unknown)).toEqual(LOST);
    expect(rulesOf(CUT, refusedAt(10_490))).toEqual(LOST);
  });
});
