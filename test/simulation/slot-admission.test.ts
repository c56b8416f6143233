/* Slots of a backend are allocated by one daemon; the tests cover lost datagrams, failed daemons and disconnected callers. */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SimulatedSlots } from './simulated-slots.js';
import { useVirtualClock } from './virtual-clock.js';

const SLOTS = 8;
const RUN_MS = 200;

describe("a backend's slots, allocated over a group of daemons", () => {
  let group: SimulatedSlots;

  beforeEach(() => {
    useVirtualClock();
    group = new SimulatedSlots({ daemons: 20, slots: SLOTS, runMs: RUN_MS });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Starts one request in each round at each daemon that is not the slot allocator. */
  function requestFromAll(rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      for (const daemon of group.others()) group.requestSlot(daemon);
    }
  }

  it('are not exceeded by a burst over all daemons', async () => {
    requestFromAll(2);
    await group.simulate(3_000);
    expect(group.maxRunning).toBe(SLOTS);
    expect(group.requests.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('cost a lightly loaded group one datagram at the start and one at the end of a request', async () => {
    const [daemon = 0] = group.others();
    group.requestSlot(daemon);
    await group.simulate(500);
    const before = group.datagrams;
    for (let count = 0; count < 6; count++) {
      group.requestSlot(daemon);
      await group.simulate(250);
    }
    // Two more datagrams for the list that is sent once a second.
    expect(group.datagrams - before).toBeLessThanOrEqual(6 * 2 + 2);
  });

  it('are granted when one datagram in five is lost', async () => {
    let count = 0;
    group.drops = () => (count += 1) % 5 === 0;
    for (let round = 0; round < 5; round++) {
      requestFromAll(1);
      await group.simulate(600);
    }
    await group.simulate(3_000);
    expect(group.requests.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
    // Daemons that got no reply from the allocator decide alone; they may use each slot at most once more.
    expect(group.maxRunning).toBeLessThanOrEqual(2 * SLOTS);
  });

  it('are free again within two list periods when end messages are lost', async () => {
    requestFromAll(1);
    await group.simulate(100);
    group.drops = (_from, _to, body) => body.case === 'slotReport' && body.value.ended.length > 0;
    await group.simulate(RUN_MS + 100);
    group.drops = () => false;
    await group.simulate(2_500);
    const [daemon = 0] = group.others();
    const late = group.requestSlot(daemon);
    await group.simulate(100);
    expect(late.sentAt).toBeDefined();
    expect(late.sentAt! - late.requestedAt).toBeLessThan(20);
  });

  it('are used without a grant within 150 ms when the slot allocator does not reply', async () => {
    const allocator = group.allocator();
    group.drops = (from) => from === allocator;
    const [daemon = 0] = group.others();
    const first = group.requestSlot(daemon);
    await group.simulate(200);
    expect(first.sentAt! - first.requestedAt).toBeLessThanOrEqual(150);
    const second = group.requestSlot(daemon);
    expect(second.sentAt).toBe(second.requestedAt);
    expect(group.logLines.some(({ event }) => event === 'slot_keeper_silent')).toBe(true);
  });

  it('are used within 600 ms by waiting requests when the slot allocator loses power', async () => {
    requestFromAll(2);
    await group.simulate(100);
    const waiting = group.requests.filter(({ sentAt }) => sentAt === undefined);
    expect(waiting.length).toBeGreaterThan(0);
    group.kill(group.allocator(), 1_000);
    await group.simulate(600);
    expect(waiting.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('are granted at most twice when the slot allocator changes while requests are pending', async () => {
    requestFromAll(2);
    await group.simulate(100);
    const before = group.allocator();
    group.kill(before, 0);
    await group.simulate(200);
    expect(group.allocator()).not.toBe(before);
    await group.simulate(3_000);
    expect(group.maxRunning).toBeLessThanOrEqual(2 * SLOTS);
    const lost = group.requests.filter(({ sentAt, ended }) => sentAt === undefined && !ended);
    expect(lost).toEqual([]);
    expect(group.logLines.some(({ event }) => event === 'slot_keeper_changed')).toBe(true);
  });

  it('of a failed daemon go to waiting requests when the failure is detected', async () => {
    const [failing = 0, healthy = 0] = group.others();
    for (let count = 0; count < SLOTS; count++) group.requestSlot(failing);
    await vi.advanceTimersByTimeAsync(20);
    const waiting = Array.from({ length: SLOTS }, () => group.requestSlot(healthy));
    await vi.advanceTimersByTimeAsync(20);
    expect(waiting.every(({ sentAt }) => sentAt === undefined)).toBe(true);
    group.kill(failing, 20);
    await group.simulate(200);
    expect(waiting.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('are returned when the caller disconnects before the grant arrives', async () => {
    const [daemon = 0, other = 0] = group.others();
    const abandoned = Array.from({ length: SLOTS }, () => group.requestSlot(daemon));
    await vi.advanceTimersByTimeAsync(3);
    for (const request of abandoned) group.disconnect(request);
    await group.simulate(100);
    const next = Array.from({ length: SLOTS }, () => group.requestSlot(other));
    await group.simulate(100);
    expect(next.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('of a backend that stops: waiting requests are notified within 150 ms', async () => {
    requestFromAll(2);
    await group.simulate(100);
    const waiting = group.requests.filter(({ sentAt }) => sentAt === undefined);
    group.isBackendServing = false;
    await group.simulate(150);
    expect(waiting.every(({ responses: answers }) => answers.at(-1) === 'unknown')).toBe(true);
  });
});
