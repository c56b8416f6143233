/*
 * A suspended owner gave orders after its successor: its steady clock had not counted the 5.4 s for which its machine stood
 * still, so the proof of its lease seemed milliseconds old when it woke, and no line `standstill` stands in its log. It unloaded a
 * model 60 ms after it woke and loaded another 80 ms after, 1.3 s after its successor's first order; that it stopped at 230 ms
 * was somebody's word of the higher epoch, by chance.
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

/** The machine wakes: the time of day has gone on, the steady clock has not. */
function suspend(): void {
  vi.setSystemTime(Date.now() + SUSPENDED_MS);
}

describe('on a machine that was suspended', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'Date'] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it('an owner whose backends check no epochs orders nothing until it has proved its claim anew', async () => {
    const scene = new OwnershipScene(false);
    const owner = scene.join('one', 1_000);
    await scene.runHeard(4_000);
    expect(owner.mayOrder()).toBe(true);
    suspend();
    expect(owner.mayOrder()).toBe(false);
    await scene.runHeard(200);
    expect(owner.mayOrder()).toBe(true);
    expect(owner.epoch).toBe(1);
  });

  it('who counts for all lends nothing until most keepers have given their word anew', () => {
    const leases = leasesOf('a');
    leases.want('n', { ownCeiling: () => 7, onAnswered: () => {}, onGained: () => {} });
    expect(leases.holds('n')).toBe(true);
    suspend();
    expect(leases.holds('n')).toBe(false);
  });

  it('a keeper keeps its word to another, whatever the time of day says', () => {
    const keeper = leasesOf('a');
    const heard: boolean[] = [];
    answered = (isGiven) => heard.push(isGiven);
    vi.advanceTimersByTime(2_000);
    ask(keeper, 'b', 1);
    suspend();
    ask(keeper, 'c', 2);
    expect(heard).toEqual([true, false]);
    vi.advanceTimersByTime(2_000);
    ask(keeper, 'c', 3);
    expect(heard).toEqual([true, false, true]);
  });

  it('a proof of the configuration, and what readers have said of the directory, are old', () => {
    const provenAt = leaseNow();
    const lease = new ConfigurationLease();
    lease.addProof({ version: 0, provenAt });
    const readers = new KnownReaders();
    readers.hear('r', { version: 1, platformAway: false, servingDigest: 1 }, 1, leaseNow());
    expect(readers.hearsAnswered(leaseNow())).toBe(true);
    suspend();
    expect(lease.ageMs(leaseNow())).toBeGreaterThanOrEqual(SUSPENDED_MS);
    expect(readers.hearsAnswered(leaseNow())).toBe(false);
  });

  it('an owner that waits for orders of a former one waits no shorter', async () => {
    const scene = new OwnershipScene(false);
    scene.record = {
      name: 'models',
      value: { address: 'gone', epoch: 4, claim: 'x' },
      revision: 1,
    };
    const owner = scene.join('one', 1_000);
    while (owner.epoch === undefined) await scene.runHeard(50);
    suspend();
    await scene.runHeard(1_000);
    expect(owner.epoch).toBe(5);
    expect(owner.mayOrder()).toBe(false);
    await scene.runHeard(1_500);
    expect(owner.mayOrder()).toBe(true);
  });

  /** Whether the keeper has given its word. */
  let answered: (isGiven: boolean) => void = () => {};

  function leasesOf(self: string): HolderLeases {
    const member = { address: self, zone: 'z' };
    return new HolderLeases({
      self,
      logger: silentLogger,
      members: () => [member],
      live: () => [member],
      rememberMs: 8_000,
      firstSequence: 1,
      processStartedAt: performance.now(),
      sendDatagram: (_to, body) => {
        if (body.case === 'holderLeaseAnswer') answered(body.value.isGiven);
      },
    });
  }

  function ask(keeper: HolderLeases, holder: string, sequence: number): void {
    const fields = { name: 'n', sequence, ownCeiling: 1, process: 1 };
    const value = create(HolderLeaseQuestionSchema, fields);
    keeper.receive(holder, { case: 'holderLeaseQuestion', value });
  }
});
