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
/** One message of so many is measured. */
const SIZE_SAMPLE = 23;
/** Between two looks of a member at its timers. */
const TICK_MS = 100;
/** One way between two members. */
const LINK_MS = 2;
/** Members start within so long of each other. */
const START_SPREAD_MS = 300;
/** A member reads the list again so long after its start. */
const SECOND_READ_MS = 1_500;
/** A stream that meets a loss is late by a retransmission. */
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

/** Hundreds of members that start at once and read a list in which the later ones are missing. */
class StartingGroup {
  readonly totals: Totals = { messages: 0, bytes: 0 };
  private readonly members = new Map<string, Membership>();
  private readonly startAt = new Map<string, number>();
  /** Messages under way, by the millisecond of their arrival. */
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

  /** Milliseconds until each running member sees so many live ones. */
  timeUntilAllSee(live: number): number {
    const begun = this.now;
    while (!this.running().every((address) => this.live(address) === live)) {
      if (this.now - begun > 30_000) return Infinity;
      this.run(TICK_MS);
    }
    return this.now - begun;
  }

  /** All processes end and start again, with the names of their former lives in the list. */
  restartAll(): void {
    this.queue.clear();
    for (const address of this.members.keys()) {
      this.startAt.set(address, this.now + Math.floor(this.random() * START_SPREAD_MS));
      this.members.set(address, this.start(address, 2));
    }
  }

  /** How often a running member takes another running one for dead. */
  wrongDeaths(): number {
    const running = new Set(this.running());
    let wrong = 0;
    for (const address of running) {
      const dead = this.member(address)
        .all()
        .filter((view) => view.state === 'dead' && running.has(view.address));
      wrong += dead.length;
    }
    return wrong;
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

  /** Members enter the list when they first start, and a kill takes nobody out. */
  private listed(): string[] {
    return [...this.members.keys()].filter((address) => {
      return this.member(address).own.incarnation > 1 || this.startOf(address) <= this.now;
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
    // Sizes of a few stand for all: encoding takes most of the test's time otherwise.
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

  /** The same numbers in each run. */
  private random(): number {
    this.seed = (Math.imul(this.seed, 1_664_525) + 1_013_904_223) >>> 0;
    return this.seed / 2 ** 32;
  }
}

describe('330 members', () => {
  it('are whole at all of them within two seconds of the last start', () => {
    const group = new StartingGroup(0);
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
    // A start costs each member at most 0.7 s of a link of 1 Mbit/s.
    expect(group.totals.bytes / SIZE).toBeLessThan(90_000);
  });

  it('are whole again within two seconds after all have lost power', () => {
    const group = new StartingGroup(0);
    group.run(3_000);
    group.restartAll();
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
  });

  it('are whole within two seconds, and take nobody for dead, while a message in twenty is lost', () => {
    const group = new StartingGroup(0.05);
    group.run(START_SPREAD_MS);
    expect(group.timeUntilAllSee(SIZE)).toBeLessThanOrEqual(2_000);
    group.run(3_000);
    expect(group.wrongDeaths()).toBe(0);
  }, 60_000);
});
