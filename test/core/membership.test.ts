import { describe, expect, it } from 'vitest';
import { Membership } from '../../src/core/membership.js';
import type { MembershipEffect, ProbeMessage } from '../../src/core/membership-messages.js';

const TICK_MS = 50;

/** A group of members on a simulated network and clock. */
class Group {
  readonly members = new Map<string, Membership>();
  readonly down = new Set<string>();
  readonly cut = new Set<string>();
  private now = 1_000;
  private queue: { from: string; to: string; message: ProbeMessage }[] = [];

  constructor(size: number) {
    const addresses = Array.from({ length: size }, (_, index) => `m${index}`);
    for (const address of addresses) {
      const view = {
        address,
        zone: 'z',
        site: 's',
        incarnation: 1,
        state: 'alive' as const,
        capacity: 0,
      };
      const member = new Membership(view);
      member.handle({ type: 'seeds', addresses }, this.now);
      this.members.set(address, member);
    }
  }

  run(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      this.now += TICK_MS;
      for (const [address, member] of this.members) {
        if (!this.down.has(address)) this.send(address, member.handle({ type: 'tick' }, this.now));
      }
      for (let hops = 0; hops < 6; hops++) this.deliver();
    }
  }

  live(address: string): number {
    return this.members.get(address)?.live().length ?? 0;
  }

  leave(address: string): void {
    const member = this.members.get(address);
    if (member !== undefined) this.send(address, member.handle({ type: 'leave' }, this.now));
  }

  private send(from: string, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.queue.push({ from, to: effect.to, message: effect.message });
    }
  }

  private deliver(): void {
    const batch = this.queue;
    this.queue = [];
    for (const { from, to, message } of batch) {
      const lost = this.down.has(to) || this.down.has(from) || this.cut.has(`${from}>${to}`);
      const member = this.members.get(to);
      if (lost || member === undefined) continue;
      this.send(to, member.handle({ type: 'message', from, message }, this.now));
    }
  }
}

describe('Membership', () => {
  it('finds all members from the seeds', () => {
    const group = new Group(12);
    group.run(5_000);
    for (const address of group.members.keys()) expect(group.live(address)).toBe(12);
  });

  it('detects a dead member within three seconds, and its return within four', () => {
    const group = new Group(8);
    group.run(4_000);
    group.down.add('m3');
    group.run(3_000);
    expect(group.live('m0')).toBe(7);
    group.down.delete('m3');
    group.run(4_000);
    expect(group.live('m0')).toBe(8);
  });

  it('keeps a member that only one other member cannot reach', () => {
    const group = new Group(6);
    group.run(4_000);
    group.cut.add('m0>m1');
    group.cut.add('m1>m0');
    group.run(10_000);
    expect(group.live('m0')).toBe(6);
    expect(group.live('m2')).toBe(6);
  });

  it('removes a leaving member from the live members at once and keeps it reachable', () => {
    const group = new Group(5);
    group.run(4_000);
    group.leave('m2');
    group.run(300);
    expect(group.live('m0')).toBe(4);
    expect(group.members.get('m0')?.isReachable('m2')).toBe(true);
  });
});
