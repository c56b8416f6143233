import { create } from '@bufbuild/protobuf';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { HolderLeaseAnswerSchema, LimitNewsSchema } from '../../src/proto/gen/internal_pb.js';
import { HolderLeases, type LeaseCallbacks } from '../../src/gateway/holder-leases.js';

const TICK_MS = 100;
const CALLBACKS: LeaseCallbacks = { ownCeiling: () => 7, onGained: () => {}, onVote: () => {} };

beforeEach(() =>
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] }),
);
afterEach(() => vi.useRealTimers());

/** Daemons whose messages arrive at once, except to and from disconnected daemons. */
class Group {
  private readonly disconnected = new Set<string>();
  readonly sent = { datagrams: 0 };
  private readonly members = new Map<string, HolderLeases>();

  constructor(private readonly names: readonly string[]) {
    for (const name of names) this.members.set(name, this.leases(name));
  }

  at(name: string): HolderLeases {
    return this.members.get(name) as HolderLeases;
  }

  /** Disconnects a daemon from all others in both directions. */
  disconnect(name: string): void {
    this.disconnected.add(name);
  }

  run(milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MS) {
      vi.advanceTimersByTime(TICK_MS);
      for (const leases of this.members.values()) leases.tick();
    }
  }

  private leases(self: string): HolderLeases {
    const daemon = (address: string) => ({ address, zone: 'z' });
    return new HolderLeases({
      self,
      logger: silentLogger,
      members: () => this.names.map(daemon),
      live: () => this.names.filter((name) => this.reaches(self, name)).map(daemon),
      retentionMs: 10_000,
      firstSequence: 1,
      processStartedAt: performance.now(),
      sendDatagram: (to, body) => this.send(self, to, body),
    });
  }

  private reaches(from: string, to: string): boolean {
    return from === to || !(this.disconnected.has(from) || this.disconnected.has(to));
  }

  private send(from: string, to: string, body: PeerBody): void {
    this.sent.datagrams += 1;
    if (this.reaches(from, to)) this.members.get(to)?.receive(from, body);
  }
}

describe('the leases of a group', () => {
  it('are held by one daemon at a time, and by the next one after the first is disconnected', () => {
    const group = new Group(['a', 'b', 'c', 'd']);
    group.run(2_000);
    group.at('a').acquire('n', CALLBACKS);
    expect(group.at('a').isHeld('n')).toBe(true);
    group.at('b').acquire('n', CALLBACKS);
    group.run(5_000);
    expect(group.at('a').isHeld('n')).toBe(true);
    expect(group.at('b').isHeld('n')).toBe(false);
    group.disconnect('a');
    for (let elapsed = 0; elapsed < 2_000; elapsed += TICK_MS) {
      group.run(TICK_MS);
      expect(group.at('a').isHeld('n') && group.at('b').isHeld('n')).toBe(false);
    }
    expect(group.at('b').isHeld('n')).toBe(true);
  });

  it('can be obtained by another daemon as soon as they are released', () => {
    const group = new Group(['a', 'b', 'c', 'd', 'e', 'f', 'g']);
    group.run(2_000);
    group.at('a').acquire('n', CALLBACKS);
    group.at('a').release('n');
    group.at('b').acquire('n', CALLBACKS);
    expect(group.at('a').isHeld('n')).toBe(false);
    expect(group.at('b').isHeld('n')).toBe(true);
  });

  it('are not granted to a disconnected daemon, even if it has requested none for a long time', () => {
    const group = new Group(['a', 'b', 'c', 'd']);
    group.at('a').acquire('m', CALLBACKS);
    group.run(2_000);
    group.at('a').release('m');
    group.run(20_000);
    group.disconnect('a');
    group.at('a').acquire('n', CALLBACKS);
    group.run(5_000);
    expect(group.at('a').isHeld('n')).toBe(false);
    expect(group.at('a').ownCeiling('n')).toBe(7);
  });

  it('need a few datagrams per second, whatever the size of the group', () => {
    const group = new Group([...Array(330).keys()].map((index) => `d-${index}`));
    group.at('d-1').acquire('n', CALLBACKS);
    group.run(2_000);
    const before = group.sent.datagrams;
    group.run(10_000);
    expect(group.at('d-1').isHeld('n')).toBe(true);
    // Requests to at most six voters and their replies, two and a half times per second.
    expect(group.sent.datagrams - before).toBeLessThanOrEqual(12 * 25);
  });

  it('ignore invalid replies of unknown daemons and messages of other kinds', () => {
    const group = new Group(['a', 'b']);
    const reply = { name: 'n', sequence: NaN, isGiven: true, soleMs: 0, formerCeiling: NaN };
    const value = create(HolderLeaseAnswerSchema, reply);
    expect(group.at('a').receive('x', { case: 'holderLeaseAnswer', value })).toBe(true);
    expect(group.at('a').isHeld('n')).toBe(false);
    const other = create(LimitNewsSchema);
    expect(group.at('a').receive('x', { case: 'limitNews', value: other })).toBe(false);
  });
});
