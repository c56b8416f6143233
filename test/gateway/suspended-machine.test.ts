/*
 * Guards against an owner that gives orders after its machine was suspended and a successor has taken over. The owner's steady
 * clock had not counted the 5.4 s of suspension, so the proof of its lease seemed milliseconds old after the resume, and its log has
 * no line `standstill`. It unloaded a model 60 ms after the resume and loaded another one 80 ms after it, 1.3 s after its
 * successor's first order. It stopped at 230 ms only because it happened to receive a message with the higher epoch.
 */
import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { leaseNow } from '../../src/common/lease-clock.js';
import { silentLogger } from '../../src/common/logger.js';
import { ConfigurationLease } from '../../src/core/configuration-lease.js';
import { HolderLeases } from '../../src/gateway/holder-leases.js';
import { KnownReaders } from '../../src/gateway/known-readers.js';
import { HolderLeaseQuestionSchema } from '../../src/proto/gen/internal_pb.js';
import { OwnershipScene } from './ownership-scene.js';

const SUSPENDED_MS = 5_400;

/** Simulates suspend and resume: the time of day advances, the steady clock does not. */
function simulateSuspend(): void {
  vi.setSystemTime(Date.now() + SUSPENDED_MS);
}

describe('on a machine that was suspended', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date'] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it('an owner whose backends check no epochs gives no orders until it has proved its claim again', async () => {
    const scene = new OwnershipScene(false);
    const owner = scene.join('one', 1_000);
    await scene.run(4_000);
    expect(owner.mayOrder()).toBe(true);
    simulateSuspend();
    expect(owner.mayOrder()).toBe(false);
    await scene.run(200);
    expect(owner.mayOrder()).toBe(true);
    expect(owner.epoch).toBe(1);
  });

  it('a holder grants nothing until a majority of voters has voted for it again', () => {
    const leases = leasesOf('a');
    leases.acquire('n', { ownCeiling: () => 7, onVote: () => {}, onGained: () => {} });
    expect(leases.isHeld('n')).toBe(true);
    simulateSuspend();
    expect(leases.isHeld('n')).toBe(false);
  });

  it('a voter keeps its vote for another holder for the full time by the steady clock', () => {
    const voter = leasesOf('a');
    const votes: boolean[] = [];
    onVote = (isGiven) => votes.push(isGiven);
    vi.advanceTimersByTime(2_000);
    requestVote(voter, 'b', 1);
    simulateSuspend();
    requestVote(voter, 'c', 2);
    expect(votes).toEqual([true, false]);
    vi.advanceTimersByTime(2_000);
    requestVote(voter, 'c', 3);
    expect(votes).toEqual([true, false, true]);
  });

  it('a proof of the configuration and reports of directory readers are outdated', () => {
    const provenAt = leaseNow();
    const lease = new ConfigurationLease();
    lease.addProof({ version: 0, provenAt });
    const readers = new KnownReaders();
    readers.recordStatus('r', { version: 1, platformAway: false, servingDigest: 1 }, 1, leaseNow());
    expect(readers.hasWorkingReader(leaseNow())).toBe(true);
    simulateSuspend();
    expect(lease.ageMs(leaseNow())).toBeGreaterThanOrEqual(SUSPENDED_MS);
    expect(readers.hasWorkingReader(leaseNow())).toBe(false);
  });

  it('an owner waits for the full time in which a previous owner may still give orders', async () => {
    const scene = new OwnershipScene(false);
    scene.record = {
      name: 'models',
      value: { address: 'gone', epoch: 4, claim: 'x' },
      revision: 1,
    };
    const owner = scene.join('one', 1_000);
    while (owner.epoch === undefined) await scene.run(50);
    simulateSuspend();
    await scene.run(1_000);
    expect(owner.epoch).toBe(5);
    expect(owner.mayOrder()).toBe(false);
    await scene.run(1_500);
    expect(owner.mayOrder()).toBe(true);
  });

  /** Receives whether the voter has voted for the requesting holder. */
  let onVote: (isGiven: boolean) => void = () => {};

  function leasesOf(self: string): HolderLeases {
    const member = { address: self, zone: 'z' };
    return new HolderLeases({
      self,
      logger: silentLogger,
      members: () => [member],
      live: () => [member],
      retentionMs: 8_000,
      firstSequence: 1,
      processStartedAt: performance.now(),
      sendDatagram: (_to, body) => {
        if (body.case === 'holderLeaseAnswer') onVote(body.value.isGiven);
      },
    });
  }

  function requestVote(voter: HolderLeases, holder: string, sequence: number): void {
    const fields = { name: 'n', sequence, ownCeiling: 1, process: 1 };
    const value = create(HolderLeaseQuestionSchema, fields);
    voter.receive(holder, { case: 'holderLeaseQuestion', value });
  }
});
