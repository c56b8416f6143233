import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { Membership } from '../../src/core/membership.js';
import type {
  MembershipEffect,
  ProbeMessage,
  StateMessage,
} from '../../src/core/membership-messages.js';
import { encodeProbe, encodeState } from '../../src/daemon/codec.js';
import { EnvelopeSchema } from '../../src/proto/gen/internal_pb.js';

const SIZE = 330;
/** The encoded size is measured for one of this many messages. */
const SIZE_SAMPLE = 23;
/** Time between two ticks of a member. */
const TICK_MS = 100;
/** One-way latency between two members. */
const LINK_MS = 2;
/** Members start at random times within this interval. */
const START_SPREAD_MS = 300;
/** Time after its start at which a member reads the list again. */
const SECOND_READ_MS = 1_500;
/** Delay of a lost stream message, which is retransmitted. */
const RETRANSMISSION_MS = 200;

interface Sent {
  readonly from: string;
  readonly to: string;
  readonly message: ProbeMessage | StateMessage;
}

interface Totals {
  messages: number;
  bytes: number;
}

/** Hundreds of members that start at once. Each reads a list that lacks the members that start later. */
class StartingGroup {
  readonly totals: Totals = { messages: 0, bytes: 0 };
  private readonly members = new Map<string, Membership>();
  private readonly startAt = new Map<string, number>();
  /** Messages in flight, by the millisecond of their arrival. */
  private readonly queue = new Map<number, Sent[]>();
  private seed = 7;
  now = 0;

  constructor(private readonly lossShare: number) {
    for (let index = 0; index < SIZE; index++) {
      const address = `10.${index % 7}.0.${index}:7380`;
      this.startAt.set(address, Math.floor(this.random() * START_SPREAD_MS));
      this.members.set(address, this.start(address, 1));
    }
  }

  run(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 1) {
      this.deliver();
      for (const [address, startAt] of this.startAt) {
        const isDue = this.now >= startAt && (this.now - startAt) % TICK_MS === 0;
        if (isDue) this.tick(address);
      }
    }
  }

  /** Milliseconds until each running member sees `live` live members; infinite after 30 seconds. */
  timeUntilAllSee(live: number): number {
    const startedAt = this.now;
    while (!this.running().every((address) => this.live(address) === live)) {
      if (this.now - startedAt > 30_000) return Infinity;
      this.run(TICK_MS);
    }
    return this.now - startedAt;
  }

  /** Restarts all processes; the list still contains the addresses of the former ones. */
  restartAll(): void {
    this.queue.clear();
    for (const address of this.members.keys()) {
      this.startAt.set(address, this.now + Math.floor(this.random() * START_SPREAD_MS));
      this.members.set(address, this.start(address, 2));
    }
  }

  /** Number of pairs in which a running member considers another running one dead. */
  falseDeaths(): number {
    const running = new Set(this.running());
    let falseCount = 0;
    for (const address of running) {
      const dead = this.member(address)
        .all()
        .filter((view) => view.state === 'dead' && running.has(view.address));
      falseCount += dead.length;
    }
    return falseCount;
  }

  private start(address: string, incarnation: number): Membership {
    const zone = `hofudborg-${address.slice(3, 4)}`;
    return new Membership({
      address,
      zone,
      site: '',
      incarnation,
      state: 'alive',
      capacity: 0.324,
    });
  }

  private running(): string[] {
    return [...this.members.keys()].filter((address) => this.startOf(address) <= this.now);
  }

  private tick(address: string): void {
    const age = this.now - this.startOf(address);
    const member = this.member(address);
    const reads = age < TICK_MS || (age >= SECOND_READ_MS && age < SECOND_READ_MS + TICK_MS);
    if (reads) {
      this.send(address, member.handle({ type: 'seeds', addresses: this.listed() }, this.now));
    }
    this.send(address, member.handle({ type: 'tick' }, this.now));
  }

  /** Members are listed from their first start on; a killed process stays listed. */
  private listed(): string[] {
    return [...this.members.keys()].filter((address) => {
      return this.member(address).ownView.incarnation > 1 || this.startOf(address) <= this.now;
    });
  }

  private deliver(): void {
    const due = this.queue.get(this.now) ?? [];
    this.queue.delete(this.now);
    for (const { from, to, message } of due) {
      const isRunning = this.startOf(to) <= this.now;
      if (!isRunning) continue;
      this.send(to, this.member(to).handle({ type: 'message', from, message }, this.now));
    }
  }

  private send(from: string, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'changed') continue;
      const isStream = effect.type === 'send_state';
      this.count(from, effect);
      const isLost = this.random() < this.lossShare;
      if (isLost && !isStream) continue;
      const at = this.now + LINK_MS + (isLost ? RETRANSMISSION_MS : 0);
      const sent = { from, to: effect.to, message: effect.message };
      this.queue.set(at, [...(this.queue.get(at) ?? []), sent]);
    }
  }

  private count(from: string, effect: Exclude<MembershipEffect, { type: 'changed' }>): void {
    this.totals.messages += 1;
    // Measures only a sample of the messages, because encoding all would take most of the test's time.
    if (this.totals.messages % SIZE_SAMPLE !== 0) return;
    const isStream = effect.type === 'send_state';
    const body = isStream ? encodeState(effect.message) : encodeProbe(effect.message);
    const envelope = create(EnvelopeSchema, { from, body });
    this.totals.bytes += toBinary(EnvelopeSchema, envelope).length * SIZE_SAMPLE;
  }

  private live(address: string): number {
    return this.member(address).live().length;
  }

  private member(address: string): Membership {
    const member = this.members.get(address);
    if (member === undefined) throw new Error(`no member ${address}`);
    return member;
  }

  private startOf(address: string): number {
    return this.startAt.get(address) ?? Infinity;
  }

  /** Deterministic pseudo-random numbers, the same in each run. */
  private random(): number {
    this.seed = (Math.imul(this.seed, 1_664_525) + 1_013_904_223) >>> 0;
    return this.seed / 2 ** 32;
  }
}

describe('330 members', () => {
  it('all see each other within two seconds of the last start', () => {
    const group = new StartingGroup(0);
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
    // Traffic per member during a start: 90,000 bytes occupy a link of 1 Mbit/s for about 0.7 s.
    expect(group.totals.bytes / SIZE).toBeLessThan(90_000);
  });

  it('all see each other again within two seconds after a power loss of all', () => {
    const group = new StartingGroup(0);
    group.run(3_000);
    group.restartAll();
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
  });

  it('all see each other within two seconds and consider no running member dead at 5% message loss', () => {
    const group = new StartingGroup(0.05);
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
    group.run(3_000);
    expect(group.falseDeaths()).toBe(0);
  }, 60_000);
});
