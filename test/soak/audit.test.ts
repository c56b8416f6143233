import { describe, expect, it } from 'vitest';
import { audit, type SoakEvidence } from './audit.js';
import type { CallRecord, RequestKind } from './caller.js';
import { plainText, streamText } from './expected-events.js';

const CALM_FROM = 100_000;

function callOf(kind: RequestKind, part: Partial<CallRecord> = {}): CallRecord {
  const isStream = kind === 'resumable' || kind === 'stream_once';
  const body = JSON.stringify({ events: 3 });
  const text = isStream ? streamText(body, 3) : plainText('a', body);
  const request = { attemptId: 'a', kind, path: '/', model: undefined, body, deadlineMs: 1_000 };
  const seen = { status: 200, isWhole: true, isSealed: true, text, wasRefused: false };
  return { request, gateway: 'g', sentAt: 10_000, endedAt: 10_100, ...seen, ...part };
}

function evidenceOf(part: Partial<SoakEvidence> = {}): SoakEvidence {
  return {
    calls: [],
    probes: [],
    runs: [],
    replicaViolations: [],
    gateways: { wasHarmed: () => false, stopDuring: () => undefined },
    storeFaults: [],
    replicaFaults: [],
    calmSince: CALM_FROM,
    unaskedExits: 0,
    ...part,
  };
}

function rules(part: Partial<SoakEvidence>): string[] {
  return audit(evidenceOf(part)).map((violation) => violation.rule);
}

const run = { attemptId: 'a', replica: 'r', at: 10_050 };

describe('the audit of a soak', () => {
  it('finds nothing in whole answers, and in failures that promise nothing', () => {
    const calls = [callOf('resumable'), callOf('once'), callOf('once', { status: 502, text: '' })];
    expect(rules({ calls, runs: [run] })).toEqual([]);
  });

  it('sees a request that ran twice, unless that is allowed', () => {
    expect(rules({ calls: [callOf('once')], runs: [run, run] })).toEqual(['repeated_run']);
    expect(rules({ calls: [callOf('any')], runs: [run, run] })).toEqual([]);
  });

  it('sees a promise that was not kept', () => {
    const refused = callOf('stream_once', { status: 503, text: '' });
    expect(rules({ calls: [refused], runs: [run] })).toEqual(['false_promise']);
    expect(rules({ calls: [refused] })).toEqual([]);
  });

  it('sees wrong answers: unsealed, incomplete, or of another request', () => {
    const body = JSON.stringify({ events: 3 });
    const wrong = [
      callOf('once', { isSealed: false }),
      callOf('resumable', { text: streamText(body, 2) }),
      callOf('any', { text: plainText('b', body) }),
    ];
    expect(rules({ calls: wrong })).toEqual(['wrong_answer', 'wrong_answer', 'wrong_answer']);
  });

  it('sees late and missing ends at a gateway that was left alone', () => {
    const late = callOf('any', { endedAt: 11_600 });
    const missing = callOf('any', { status: undefined, isWhole: false });
    expect(rules({ calls: [late, missing] })).toEqual(['late_end', 'no_answer']);
    const gateways = { wasHarmed: () => true, stopDuring: () => undefined };
    expect(rules({ calls: [late, missing], gateways })).toEqual([]);
  });

  it('sees a stream that a planned stop cut, unless a replica failed', () => {
    const cut = callOf('resumable', { isWhole: false });
    const gateways = { wasHarmed: () => false, stopDuring: () => 10_050 };
    expect(rules({ calls: [cut], gateways })).toEqual(['cut_by_planned_stop']);
    const replicaFaults = [{ from: 9_000, until: 10_010 }];
    expect(rules({ calls: [cut], gateways, replicaFaults })).toEqual([]);
  });

  it('sees what replicas saw, and work for a leaving one only while the store was sound', () => {
    const seen = (kind: 'memory_overcommitted' | 'work_while_leaving') => {
      return { kind, replica: 'r', detail: 'a 2500 ms' } as const;
    };
    expect(rules({ replicaViolations: [seen('memory_overcommitted')] })).toEqual([
      'memory_overcommitted',
    ]);
    const late = { calls: [callOf('any')], replicaViolations: [seen('work_while_leaving')] };
    expect(rules(late)).toEqual(['work_while_leaving']);
    const storeFaults = [{ from: 8_000, until: 9_000 }];
    expect(rules({ ...late, storeFaults })).toEqual([]);
  });

  it('sees a configuration that is late, and one that goes back', () => {
    const probe = (status: number, sentAt: number) => {
      const call = callOf('probe', { status, sentAt, endedAt: sentAt + 5, text: '' });
      return { call, version: 2, acceptedAt: 10_000 };
    };
    expect(rules({ probes: [probe(404, 11_000)] })).toEqual([]);
    expect(rules({ probes: [probe(404, 12_500)] })).toEqual(['configuration_late']);
    expect(rules({ probes: [probe(200, 11_000), probe(404, 11_500)] })).toEqual([
      'configuration_reverted',
    ]);
  });

  it('sees exits that nobody asked for, and a system that does not recover', () => {
    expect(rules({ unaskedExits: 1 })).toEqual(['unasked_exit']);
    const sentAt = CALM_FROM + 10;
    const refused = callOf('any', { status: 503, text: '', sentAt, endedAt: sentAt });
    expect(rules({ calls: [refused] })).toEqual(['not_recovered']);
  });
});
