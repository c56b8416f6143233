import { describe, expect, it } from 'vitest';
import { audit, excusedViolations } from './audit.js';
import { undisturbedHistory } from './audit-fixtures.js';
import type { CallRecord, RequestKind } from './caller.js';
import type { SoakEvidence, TimeSpan } from './evidence.js';
import { plainText, streamText } from './expected-events.js';
import type { PoisonArrival, AnnouncedArrival } from './run-log.js';
import {
  LIMIT_WINDOW_MS,
  LIMITED_TENANT,
  REVOCATION_MS,
  ROTATING_TENANT,
  STEADY_TENANT,
  UNITS_PER_REQUEST,
  maxUnitsPerWindow,
} from './soak-tenants.js';

const CALM_FROM = 100_000;

function callOf(kind: RequestKind, part: Partial<CallRecord> = {}): CallRecord {
  const isStream = kind === 'resumable' || kind === 'stream_once';
  const body = JSON.stringify({ events: 3 });
  const text = isStream ? streamText(body, 3) : plainText('a', body);
  const caller = { tenant: STEADY_TENANT, key: `${STEADY_TENANT}-key` };
  const named = { attemptId: 'a', kind, path: '/', model: undefined, caller };
  const request = { ...named, body, deadlineMs: 1_000 };
  const seen = {
    status: 200,
    isComplete: true,
    isSealed: true,
    errorKind: undefined,
    text,
    wasRefused: false,
    wasOnKeptConnection: false,
  };
  return { request, gateway: 'g', sentAt: 10_000, endedAt: 10_100, ...seen, ...part };
}

function callNamed(attemptId: string, part: Partial<CallRecord>): CallRecord {
  const { request, ...seen } = callOf('any', part);
  const text = plainText(attemptId, request.body);
  return { ...seen, text, request: { ...request, attemptId } };
}

function evidenceOf(part: Partial<SoakEvidence> = {}): SoakEvidence {
  return {
    calls: [],
    probes: [],
    runs: [],
    answers: [],
    observedViolations: [],
    announcedArrivals: [],
    limitedArrivals: [],
    poisonArrivals: [],
    poisonCrashes: [],
    accepted: new Map(),
    gateways: undisturbedHistory,
    storeFaults: [],
    backendPartitions: [],
    brittleTimes: [],
    brittleFalls: [],
    silentTimes: [],
    silences: [],
    lateRefusals: [],
    streams: [],
    funnels: [],
    endlessAnswers: [],
    mostMemory: [],
    replicaFaults: [],
    faultFreeSince: CALM_FROM,
    unexpectedExits: [],
    unencodedMessages: [],
    unexpectedFaults: [],
    silentBackups: [],
    lostGateways: [],
    owner: undefined,
    promisesRevocation: true,
    ...part,
  };
}

function rules(part: Partial<SoakEvidence>): string[] {
  return audit(evidenceOf(part)).map((violation) => violation.rule);
}

const run = { attemptId: 'a', replica: 'r', tenant: STEADY_TENANT, at: 10_050 };

describe('the audit of a soak', () => {
  it('accepts complete responses, and failures that guarantee nothing', () => {
    const calls = [callOf('resumable'), callOf('once'), callOf('once', { status: 502, text: '' })];
    expect(rules({ calls, runs: [run] })).toEqual([]);
  });

  it('reports a request that ran twice, unless its kind allows that', () => {
    expect(rules({ calls: [callOf('once')], runs: [run, run] })).toEqual(['repeated_run']);
    expect(rules({ calls: [callOf('any')], runs: [run, run] })).toEqual([]);
  });

  it('reports a request that ran though its status says that it was not executed', () => {
    const refused = callOf('stream_once', { status: 503, text: '' });
    expect(rules({ calls: [refused], runs: [run] })).toEqual(['false_promise']);
    expect(rules({ calls: [refused] })).toEqual([]);
  });

  it('reports wrong responses: unsealed, incomplete, or of another request', () => {
    const body = JSON.stringify({ events: 3 });
    const wrong = [
      callOf('once', { isSealed: false }),
      callOf('resumable', { text: streamText(body, 2) }),
      callOf('any', { text: plainText('b', body) }),
    ];
    expect(rules({ calls: wrong })).toEqual(['wrong_answer', 'wrong_answer', 'wrong_answer']);
  });

  it('finds a stream with a comment that no replica wrote, or with events of two versions', () => {
    const body = JSON.stringify({ events: 3 });
    const whole = streamText(body, 3, 0, 'v1');
    const forged = streamText(body, 3).replace('id: 2\n', ': forged\nid: 2\n');
    const mixed = streamText(body, 1, 0, 'v1') + streamText(body, 3, 1, 'v2');
    const texts = [whole, forged, mixed];
    const found = texts.map((text) => rules({ calls: [callOf('resumable', { text })] }));
    expect(found).toEqual([[], ['wrong_answer'], ['wrong_answer']]);
  });

  it('reports late and missing responses of a gateway without faults', () => {
    const late = callOf('any', { endedAt: 11_600 });
    const missing = callOf('any', { status: undefined, isComplete: false });
    expect(rules({ calls: [late, missing] })).toEqual(['late_end', 'no_answer']);
    const gateways = { ...undisturbedHistory, hadFault: () => true };
    expect(rules({ calls: [late, missing], gateways })).toEqual([]);
  });

  it('reports a stream that a planned stop cut, unless a replica failed', () => {
    const cut = callOf('resumable', { isComplete: false });
    const gateways = { ...undisturbedHistory, stopDuring: () => 10_050 };
    expect(rules({ calls: [cut], gateways })).toEqual(['cut_by_planned_stop']);
    const replicaFaults = [{ from: 9_000, until: 10_010 }];
    expect(rules({ calls: [cut], gateways, replicaFaults })).toEqual([]);
    const partition = { from: 9_000, until: 10_060, how: 'hang' };
    const others = [{ ...partition, gateways: new Set(['other']) }];
    expect(rules({ calls: [cut], gateways, backendPartitions: others })).toEqual([
      'cut_by_planned_stop',
    ]);
    const own = [{ ...partition, gateways: new Set(['g']) }];
    expect(rules({ calls: [cut], gateways, backendPartitions: own })).toEqual([]);
  });

  it('reports a request that a planned stop cut on a persistent connection, unless it was in flight at the close', () => {
    const unanswered = { status: undefined, isComplete: false, wasOnKeptConnection: true };
    const quick = callOf('once', unanswered);
    const slow = callOf('once', { ...unanswered, endedAt: 10_201 });
    const gateways = { ...undisturbedHistory, stopDuring: () => 10_000 };
    expect(rules({ calls: [quick], gateways })).toEqual([]);
    expect(rules({ calls: [quick], gateways, runs: [run] })).toEqual(['cut_by_planned_stop']);
    expect(rules({ calls: [slow], gateways })).toEqual(['cut_by_planned_stop']);
    expect(rules({ calls: [quick] })).toEqual(['no_answer']);
    const onNewConnection = { ...quick, wasOnKeptConnection: false };
    expect(rules({ calls: [onNewConnection], gateways })).toEqual(['no_answer']);
  });

  it('reports what replicas observed, and work for a leaving replica only while the store worked', () => {
    const seen = (kind: 'memory_overcommitted' | 'work_while_leaving') => {
      return { kind, replica: 'r', detail: 'after 2500 ms', at: 10_050, attemptId: 'a' } as const;
    };
    expect(rules({ observedViolations: [seen('memory_overcommitted')] })).toEqual([
      'memory_overcommitted',
    ]);
    const late = { calls: [callOf('any')], observedViolations: [seen('work_while_leaving')] };
    expect(rules(late)).toEqual(['work_while_leaving']);
    const storeFaults = [{ from: 8_000, until: 9_000 }];
    expect(rules({ ...late, storeFaults })).toEqual([]);
    expect(excusedViolations(evidenceOf({ ...late, storeFaults }))).toEqual([
      { rule: 'work_while_leaving', detail: 'r at 1970-01-01T00:00:10.050Z by g: after 2500 ms' },
    ]);
  });

  it('excuses work for a leaving replica only by faults of its sender before the arrival', () => {
    const seen = { kind: 'work_while_leaving', replica: 'r', detail: '', at: 50_010 } as const;
    const early = callNamed('a1', { gateway: 'frozen' });
    const late = callNamed('a12', { gateway: 'sound', sentAt: 50_000, endedAt: 50_900 });
    const gateways = { ...undisturbedHistory, hadFault: (name: string) => name === 'frozen' };
    const replicaViolations = [{ ...seen, attemptId: 'a12' }];
    const calls = [early, late];
    expect(rules({ calls, gateways, observedViolations: replicaViolations })).toEqual([
      'work_while_leaving',
    ]);
    const storeFaults = [{ from: 50_020, until: 50_100 }];
    expect(rules({ calls, storeFaults, observedViolations: replicaViolations })).toEqual([
      'work_while_leaving',
    ]);
    const probes = [{ call: callNamed('a12', { gateway: 'frozen', sentAt: 50_000 }), version: 1 }];
    const probed = { calls: [early], probes, observedViolations: replicaViolations };
    expect(rules({ ...probed, accepted: new Map(), gateways })).toEqual([]);
    expect(rules({ calls: [early], observedViolations: replicaViolations })).toEqual([
      'work_while_leaving',
    ]);
  });

  it('reports an order with a lower epoch, unless its sender just resumed', () => {
    const at = 10_050;
    const detail = 'model_load m1 of g with 3, though h has used 4';
    const replicaViolations = [
      { kind: 'lower_epoch', replica: 'r', detail, at, sender: 'g' },
    ] as const;
    expect(rules({ observedViolations: replicaViolations })).toEqual(['lower_epoch']);
    const resumedAt = (time: number) => {
      const wasJustResumed = (name: string, { from, until }: TimeSpan) =>
        name === 'g' && from <= time && time <= until;
      return { ...undisturbedHistory, wasJustResumed };
    };
    expect(rules({ observedViolations: replicaViolations, gateways: resumedAt(at - 300) })).toEqual(
      [],
    );
    expect(rules({ observedViolations: replicaViolations, gateways: resumedAt(at - 301) })).toEqual(
      ['lower_epoch'],
    );
  });

  it('reports a denied key, a wrong tenant, and a key that is served after its removal', () => {
    expect(rules({ calls: [callOf('any', { status: 401, text: '' })] })).toEqual(['key_denied']);
    const forged = { ...run, tenant: 'forged' };
    expect(rules({ calls: [callOf('any')], runs: [forged] })).toEqual(['wrong_tenant']);
    const { request, ...seen } = callOf('any');
    const caller = { tenant: ROTATING_TENANT, key: `${ROTATING_TENANT}-3` };
    const calls = [{ ...seen, request: { ...request, caller } }];
    const runs = [{ ...run, tenant: ROTATING_TENANT }];
    const removed = (agoMs: number) => new Map([[5, seen.sentAt - agoMs]]);
    expect(rules({ calls, runs, accepted: removed(REVOCATION_MS - 10) })).toEqual([]);
    expect(rules({ calls, runs, accepted: removed(REVOCATION_MS + 10) })).toEqual([
      'revoked_key_run',
    ]);
    const unpromised = { accepted: removed(REVOCATION_MS + 10), promisesRevocation: false };
    expect(rules({ calls, runs, ...unpromised })).toEqual([]);
  });

  it('reports a limit that is exceeded in a window, with each request counted once', () => {
    const count = Math.floor(maxUnitsPerWindow() / UNITS_PER_REQUEST);
    const runsOf = (requests: number, spanMs: number) =>
      Array.from({ length: requests }, (_, index) => {
        const at = (index * spanMs) / requests;
        return { attemptId: String(index), replica: 'r', tenant: LIMITED_TENANT, at };
      });
    expect(rules({ runs: runsOf(count, LIMIT_WINDOW_MS / 2) })).toEqual([]);
    const again = [...runsOf(count, LIMIT_WINDOW_MS / 2), ...runsOf(count, LIMIT_WINDOW_MS / 2)];
    expect(rules({ runs: again })).toEqual([]);
    expect(rules({ runs: runsOf(count + 1, LIMIT_WINDOW_MS / 2) })).toEqual(['limit_exceeded']);
    expect(rules({ runs: runsOf(2 * count, LIMIT_WINDOW_MS * 2.1) })).toEqual([]);
  });

  it('reports messages that a gateway could not encode', () => {
    expect(rules({ unencodedMessages: ['event=message_not_encoded message=limitAnswer'] })).toEqual(
      ['message_not_encoded'],
    );
  });

  it('reports unexpected exceptions that have ended a request', () => {
    expect(rules({ unexpectedFaults: ['event=request_fault reason="Error: a defect"'] })).toEqual([
      'unexpected_fault',
    ]);
  });

  it('reports unexpected exits, and a system that does not recover', () => {
    const exit = {
      gateway: 'g',
      code: null,
      signal: 'SIGHUP',
      ageMs: 40,
      isExpected: false,
    } as const;
    expect(rules({ unexpectedExits: [exit] })).toEqual(['unasked_exit']);
    expect(rules({ unexpectedExits: [exit, exit] })).toEqual(['unasked_exit', 'unasked_exit']);
    const sentAt = CALM_FROM + 10;
    const refused = callOf('any', { status: 503, text: '', sentAt, endedAt: sentAt });
    expect(rules({ calls: [refused] })).toEqual(['not_recovered']);
  });

  it('reports a request that keeps crashing replicas, at connected gateways only', () => {
    const crash = (name: string, at: number): PoisonArrival => {
      return { name, attemptId: `${name} ${at}`, replica: `r ${at}`, at };
    };
    const poisonCrashes = [1_000, 2_000, 3_000].map((at) => crash('p', at));
    const late = [6_100, 6_200, 6_300, 6_400].map((at) => crash('p', at));
    const poisonArrivals = [...poisonCrashes, ...late];
    expect(rules({ poisonCrashes, poisonArrivals })).toEqual(['crash_repeated']);
    expect(rules({ poisonCrashes, poisonArrivals: late.slice(1) })).toEqual([]);
    expect(rules({ poisonCrashes: poisonCrashes.slice(1), poisonArrivals })).toEqual([]);
    const calls = late.map(({ attemptId, at }) => {
      return callNamed(attemptId, { sentAt: at, endedAt: at, status: 502 });
    });
    const gateways = { ...undisturbedHistory, hadFault: () => true };
    expect(rules({ poisonCrashes, poisonArrivals, calls, gateways })).toEqual([]);
  });

  it('reports harmless requests that are rejected as crashing ones while no replica fails', () => {
    const calls = [callOf('any', { status: 503, errorKind: 'crashes_backends' })];
    expect(rules({ calls })).toEqual(['sound_condemned']);
    expect(rules({ calls, replicaFaults: [{ from: 10_050, until: 10_060 }] })).toEqual([]);
  });

  describe('of announcements in responses of replicas', () => {
    const announced = (
      attemptId: string,
      at: number,
      part: Partial<AnnouncedArrival>,
    ): AnnouncedArrival => {
      return { attemptId, replica: 'r', at, announcesLeaving: false, backoffMs: 0, ...part };
    };

    it('reports requests that a gateway received after it had forwarded that the replica leaves', () => {
      const leaving = { announcesLeaving: true };
      const toldArrivals = [announced('b', 10_010, leaving), announced('c', 12_200, leaving)];
      const first = callNamed('b', { sentAt: 10_000, endedAt: 10_100 });
      const later = callNamed('c', { sentAt: 12_150, endedAt: 12_300 });
      expect(rules({ announcedArrivals: toldArrivals, calls: [first, later] })).toEqual([
        'work_after_told',
      ]);
      const elsewhere = { ...later, gateway: 'other' };
      expect(rules({ announcedArrivals: toldArrivals, calls: [first, elsewhere] })).toEqual([]);
      const earlier = { ...later, sentAt: 12_050 };
      expect(rules({ announcedArrivals: toldArrivals, calls: [first, earlier] })).toEqual([]);
      const gateways = { ...undisturbedHistory, wasInterrupted: () => true };
      expect(rules({ announcedArrivals: toldArrivals, calls: [first, later], gateways })).toEqual(
        [],
      );
    });

    it('reports more than two requests during a backoff', () => {
      const times = [10_000, 10_300, 10_600, 10_900, 11_200];
      const toldArrivals = times.map((at, index) =>
        announced(`d${index}`, at, { backoffMs: index === 0 ? 3_000 : 0 }),
      );
      const calls = times.map((at, index) =>
        callNamed(`d${index}`, { sentAt: at, endedAt: at + 5 }),
      );
      expect(rules({ announcedArrivals: toldArrivals, calls })).toEqual(['work_while_resting']);
      expect(rules({ announcedArrivals: toldArrivals.slice(0, 4), calls })).toEqual([]);
      const gateways = { ...undisturbedHistory, wasDisturbed: () => true };
      expect(rules({ announcedArrivals: toldArrivals, calls, gateways })).toEqual([]);
    });
  });

  describe('of rate limits that replicas announce', () => {
    /** One request every 200 ms, with the limit that its response announces. */
    function evidenceAt(
      perSecond: (at: number) => number | undefined,
      gateway: (at: number) => string = () => 'g',
    ): Pick<SoakEvidence, 'limitedArrivals' | 'calls'> {
      const times = Array.from({ length: 45 }, (_, count) => 10_000 + count * 200);
      const limitedArrivals = times.map((at, count) => {
        return { attemptId: `l${count}`, replica: 'r', at, perSecond: perSecond(at) };
      });
      const calls = times.map((at, count) =>
        callNamed(`l${count}`, { gateway: gateway(at), sentAt: at, endedAt: at + 5 }),
      );
      return { limitedArrivals, calls };
    }

    it('reports more requests in a window than a limit allows', () => {
      expect(rules(evidenceAt(() => 1))).toEqual(['rate_limit_exceeded']);
      expect(rules(evidenceAt(() => 2.5))).toEqual([]);
    });

    it('tolerates requests just after a limit begins and after it ends', () => {
      expect(rules(evidenceAt((at) => (at < 13_000 ? undefined : 1)))).toEqual([]);
      expect(rules(evidenceAt((at) => (at > 16_000 ? undefined : 1)))).toEqual([]);
    });

    it('tolerates requests of gateways that received no announcement, or were disturbed', () => {
      const evidence = evidenceAt(
        () => 1,
        (at) => `g${at}`,
      );
      expect(rules(evidence)).toEqual([]);
      const gateways = { ...undisturbedHistory, wasDisturbed: () => true };
      expect(rules({ ...evidenceAt(() => 1), gateways })).toEqual([]);
    });

    it('sums the requests of all gateways', () => {
      const evidence = evidenceAt(
        () => 1,
        (at) => `g${at % 3}`,
      );
      expect(rules(evidence)).toEqual(['rate_limit_exceeded']);
    });
  });
});
