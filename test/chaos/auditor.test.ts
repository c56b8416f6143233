import { describe, expect, it } from 'vitest';
import { audit, isClean, type CallerRecord, type AuditEvidence } from '../../src/chaos/auditor.js';
import type { ModelResponse } from '../../src/client/model-client.js';
import type { EngineLogEvent } from '../../src/standin/engine-stand-in-options.js';

const ANSWER: ModelResponse = {
  outcome: 'whole',
  status: 200,
  text: 'right',
  tokens: 1,
  errorKind: undefined,
  ran: undefined,
  retryAfterSeconds: undefined,
  requestId: undefined,
  startedAt: 0,
  firstTokenAt: 1,
  endedAt: 10,
  reason: '',
};
const CALL: CallerRecord = {
  id: 'c1',
  daemon: 'd1',
  tenant: 'till',
  repeatable: false,
  idempotencyKey: undefined,
  deadlineAt: 100,
  expectedText: 'right',
  answer: ANSWER,
};
const CLEAN: AuditEvidence = {
  engineEvents: [],
  callers: [CALL],
  maxDecidedReplicas: new Map([['till', 1]]),
  stopped: [],
  changeRecords: [{ inForceMs: 20 }],
  reversions: 0,
};

function event(overrides: Partial<EngineLogEvent>): EngineLogEvent {
  return { at: 1, engine: 'e1', incarnation: 'i', event: 'hold', tenant: 'till', ...overrides };
}

function withAnswer(
  overrides: Partial<ModelResponse>,
  call: Partial<CallerRecord> = {},
): AuditEvidence {
  return { ...CLEAN, callers: [{ ...CALL, ...call, answer: { ...ANSWER, ...overrides } }] };
}

describe('the auditor', () => {
  it('counts no violation in correct evidence', () => {
    expect(isClean(audit(CLEAN))).toBe(true);
  });

  it.each<[keyof ReturnType<typeof audit>, AuditEvidence]>([
    [
      'replicasBeyondDecided',
      { ...CLEAN, engineEvents: [event({}), event({ engine: 'e2', at: 2 })] },
    ],
    [
      'memoryBeyondCapacity',
      { ...CLEAN, engineEvents: [event({ usedBytes: 2, capacityBytes: 1 })] },
    ],
    ['requestsWithoutEnd', withAnswer({ outcome: 'lost' })],
    ['endsPastDeadline', withAnswer({ endedAt: 1_000 })],
    ['wrongAnswers', withAnswer({ text: 'wrong' })],
    ['wrongAnswers', withAnswer({ outcome: 'refused', text: 'wro' })],
    [
      'falseNotRun',
      {
        ...withAnswer({ outcome: 'refused', ran: 'no', text: '' }),
        engineEvents: [event({ event: 'run', request: 'c1~x' })],
      },
    ],
    [
      'repeatedRuns',
      {
        ...CLEAN,
        engineEvents: [1, 2].map((at) => event({ event: 'run', request: `c1~${at}`, at })),
      },
    ],
    [
      'repeatedRuns',
      {
        ...CLEAN,
        callers: ['c1', 'c2'].map((id) => ({ ...CALL, id, idempotencyKey: 'k' })),
        engineEvents: ['c1', 'c2'].map((id) => event({ event: 'run', request: `${id}~x` })),
      },
    ],
    [
      'workForLeaving',
      {
        ...CLEAN,
        engineEvents: [event({ event: 'leaving' }), event({ event: 'received', at: 2_500 })],
      },
    ],
    [
      'streamsCutByPlannedStop',
      { ...withAnswer({ outcome: 'lost' }), stopped: [{ daemon: 'd1', planned: true }] },
    ],
    ['configurationLate', { ...CLEAN, changeRecords: [{ inForceMs: 4_100 }] }],
    ['configurationLate', { ...CLEAN, changeRecords: [{ inForceMs: undefined }] }],
    ['reversions', { ...CLEAN, reversions: 1 }],
  ])('counts a violation of the kind %s', (count, evidence) => {
    expect(audit(evidence)[count]).toBeGreaterThan(0);
  });

  it('treats a restarted engine as having no replicas', () => {
    const engineEvents = [
      event({}),
      event({ event: 'start', at: 2 }),
      event({ engine: 'e2', at: 3 }),
    ];
    expect(audit({ ...CLEAN, engineEvents }).replicasBeyondDecided).toBe(0);
  });
});
