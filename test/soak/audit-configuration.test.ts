import { describe, expect, it } from 'vitest';
import {
  auditConfiguration,
  CONFIGURATION_DEADLINE_MS,
  CATCH_UP_MS,
} from './audit-configuration.js';
import type { ConfigurationProbe, SoakEvidence, TimeSpan } from './evidence.js';
import { undisturbedHistory } from './audit-fixtures.js';
import { firstVersionWithoutRoute } from './soak-configuration.js';

const VERSION = 2;
const ACCEPTED_AT = 100_000;
const LATE_AT = ACCEPTED_AT + CONFIGURATION_DEADLINE_MS + 10;

function probeOf(status: number, sentAt: number, version = VERSION): ConfigurationProbe {
  const caller = { tenant: 't', key: 'k' };
  const named = { attemptId: 'a', kind: 'probe', path: '/', model: undefined, caller } as const;
  const request = { ...named, body: '', deadlineMs: 1_000 };
  const seen = {
    isComplete: true,
    isSealed: true,
    errorKind: undefined,
    text: '',
    wasRefused: false,
    wasOnKeptConnection: false,
  };
  const call = { request, gateway: 'g', status, sentAt, endedAt: sentAt + 5, ...seen };
  return { call, version };
}

function rules(probes: readonly ConfigurationProbe[], part: Partial<SoakEvidence> = {}): string[] {
  const evidence: SoakEvidence = {
    calls: [],
    probes,
    runs: [],
    answers: [],
    observedViolations: [],
    announcedArrivals: [],
    limitedArrivals: [],
    poisonArrivals: [],
    poisonCrashes: [],
    accepted: new Map([[VERSION, ACCEPTED_AT]]),
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
    faultFreeSince: 0,
    unexpectedExits: [],
    unencodedMessages: [],
    unexpectedFaults: [],
    silentBackups: [],
    lostGateways: [],
    owner: undefined,
    promisesRevocation: true,
    ...part,
  };
  return auditConfiguration(evidence).map(({ rule }) => rule);
}

function disturbedOnce(at: number): Partial<SoakEvidence> {
  const wasDisturbed = (_: string, { from, until }: TimeSpan): boolean => from <= at && at <= until;
  return { gateways: { ...undisturbedHistory, wasDisturbed } };
}

describe('the audit of configurations', () => {
  it('reports a version that is late after its own acknowledgement, even if a newer one followed', () => {
    expect(rules([probeOf(404, ACCEPTED_AT + CONFIGURATION_DEADLINE_MS)])).toEqual([]);
    expect(rules([probeOf(404, LATE_AT)])).toEqual(['configuration_late']);
    const accepted = new Map([
      [VERSION, ACCEPTED_AT],
      [VERSION + 1, LATE_AT - 10],
    ]);
    expect(rules([probeOf(404, LATE_AT)], { accepted })).toEqual(['configuration_late']);
    expect(rules([probeOf(404, LATE_AT, VERSION + 1)], { accepted })).toEqual([]);
  });

  it('no longer excuses a late version once the store has worked for the catch-up time', () => {
    const faultUntil = (until: number) => ({ storeFaults: [{ from: ACCEPTED_AT - 9_000, until }] });
    const soundSince = LATE_AT - CATCH_UP_MS;
    expect(rules([probeOf(404, LATE_AT)], faultUntil(soundSince))).toEqual([]);
    expect(rules([probeOf(404, LATE_AT)], faultUntil(soundSince - 1))).toEqual([
      'configuration_late',
    ]);
  });

  it('does not excuse gateways that the store served while it rejected others', () => {
    const from = LATE_AT - 100;
    const storeRejecting = (name: string) => ({
      storeFaults: [{ from, until: LATE_AT, gateways: new Set([name]) }],
    });
    expect(rules([probeOf(404, LATE_AT)], storeRejecting('g'))).toEqual([]);
    expect(rules([probeOf(404, LATE_AT)], storeRejecting('h'))).toEqual(['configuration_late']);
  });

  it('no longer excuses a late version once the gateway was undisturbed for the catch-up time', () => {
    const undisturbedSince = LATE_AT - CATCH_UP_MS;
    expect(rules([probeOf(404, LATE_AT)], disturbedOnce(undisturbedSince))).toEqual([]);
    expect(rules([probeOf(404, LATE_AT)], disturbedOnce(undisturbedSince - 1))).toEqual([
      'configuration_late',
    ]);
  });

  it('reports a route that is served after a version dropped it', () => {
    const accepted = new Map([
      [VERSION, ACCEPTED_AT - 9_000],
      [firstVersionWithoutRoute(VERSION), ACCEPTED_AT],
    ]);
    expect(rules([probeOf(404, LATE_AT)], { accepted })).toEqual([]);
    expect(rules([probeOf(200, ACCEPTED_AT + CONFIGURATION_DEADLINE_MS)], { accepted })).toEqual(
      [],
    );
    expect(rules([probeOf(200, LATE_AT)], { accepted })).toEqual(['dropped_route_served']);
  });

  it('reports a configuration that reverts, also to before an older version', () => {
    const before = ACCEPTED_AT + 100;
    expect(rules([probeOf(200, before), probeOf(404, before + 100)])).toEqual([
      'configuration_reverted',
    ]);
    expect(rules([probeOf(200, before, VERSION + 1), probeOf(404, before + 100)])).toEqual([
      'configuration_reverted',
    ]);
    expect(rules([probeOf(200, before), probeOf(404, before + 100, VERSION + 1)])).toEqual([]);
  });
});
