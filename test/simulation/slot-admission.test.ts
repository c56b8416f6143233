import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SimulatedSlots } from './simulated-slots.js';

const SLOTS = 8;
const RUN_MS = 200;

describe("a backend's slots, kept for a group of daemons", () => {
  let group: SimulatedSlots;

  beforeEach(() => {
    vi.useFakeTimers({
      toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance', 'Date'],
    });
    group = new SimulatedSlots({ daemons: 20, slots: SLOTS, runMs: RUN_MS });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** One request of each daemon that is not the keeper, in turn. */
  function askAll(rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      for (const daemon of group.others()) group.ask(daemon);
    }
  }

  it('are not overfilled by a burst over all daemons', async () => {
    askAll(2);
    await group.play(3_000);
    expect(group.mostRunning).toBe(SLOTS);
    expect(group.requests.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('cost a quiet group one datagram at the send and one at the end', async () => {
    const [daemon = 0] = group.others();
    group.ask(daemon);
    await group.play(500);
    const before = group.datagrams;
    for (let count = 0; count < 6; count++) {
      group.ask(daemon);
      await group.play(250);
    }
    // Besides those, the list once a second.
    expect(group.datagrams - before).toBeLessThanOrEqual(6 * 2 + 2);
  });

  it('are granted though any one datagram in five is lost', async () => {
    let count = 0;
    group.loses = () => (count += 1) % 5 === 0;
    for (let round = 0; round < 5; round++) {
      askAll(1);
      await group.play(600);
    }
    await group.play(3_000);
    expect(group.requests.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
    // Overfilled by those whose keeper seemed silent, at most by one more set.
    expect(group.mostRunning).toBeLessThanOrEqual(2 * SLOTS);
  });

  it('are free again within the time of two lists when ends are lost', async () => {
    askAll(1);
    await group.play(100);
    group.loses = (_from, _to, body) => body.case === 'slotReport' && body.value.ended.length > 0;
    await group.play(RUN_MS + 100);
    group.loses = () => false;
    await group.play(2_500);
    const [daemon = 0] = group.others();
    const late = group.ask(daemon);
    await group.play(100);
    expect(late.sentAt).toBeDefined();
    expect(late.sentAt! - late.askedAt).toBeLessThan(20);
  });

  it('are decided on alone within 150 ms when the keeper does not answer', async () => {
    const keeper = group.keeper();
    group.loses = (from) => from === keeper;
    const [daemon = 0] = group.others();
    const first = group.ask(daemon);
    await group.play(200);
    expect(first.sentAt! - first.askedAt).toBeLessThanOrEqual(150);
    const second = group.ask(daemon);
    expect(second.sentAt).toBe(second.askedAt);
    expect(group.lines.some(({ event }) => event === 'slot_keeper_silent')).toBe(true);
  });

  it('are kept on when the keeper is lost with callers waiting: nobody waits for it for long', async () => {
    askAll(2);
    await group.play(100);
    const waiting = group.requests.filter(({ sentAt }) => sentAt === undefined);
    expect(waiting.length).toBeGreaterThan(0);
    group.kill(group.keeper(), 1_000);
    await group.play(600);
    expect(waiting.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('are granted twice at most by one more set when the keeper changes with tickets out', async () => {
    askAll(2);
    await group.play(100);
    const before = group.keeper();
    group.kill(before, 0);
    await group.play(200);
    expect(group.keeper()).not.toBe(before);
    await group.play(3_000);
    expect(group.mostRunning).toBeLessThanOrEqual(2 * SLOTS);
    const lost = group.requests.filter(({ sentAt, ended }) => sentAt === undefined && !ended);
    expect(lost).toEqual([]);
    expect(group.lines.some(({ event }) => event === 'slot_keeper_changed')).toBe(true);
  });

  it('of a daemon that dies go to those who wait when it is seen', async () => {
    const [dying = 0, living = 0] = group.others();
    for (let count = 0; count < SLOTS; count++) group.ask(dying);
    await vi.advanceTimersByTimeAsync(20);
    const waiting = Array.from({ length: SLOTS }, () => group.ask(living));
    await vi.advanceTimersByTimeAsync(20);
    expect(waiting.every(({ sentAt }) => sentAt === undefined)).toBe(true);
    group.kill(dying, 20);
    await group.play(200);
    expect(waiting.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('that nobody wants any more are given back: the caller left while the grant was on its way', async () => {
    const [daemon = 0, other = 0] = group.others();
    const gone = Array.from({ length: SLOTS }, () => group.ask(daemon));
    await vi.advanceTimersByTimeAsync(3);
    for (const request of gone) group.leave(request);
    await group.play(100);
    const next = Array.from({ length: SLOTS }, () => group.ask(other));
    await group.play(100);
    expect(next.every(({ sentAt }) => sentAt !== undefined)).toBe(true);
  });

  it('of a backend that ends: those who wait are told at once', async () => {
    askAll(2);
    await group.play(100);
    const waiting = group.requests.filter(({ sentAt }) => sentAt === undefined);
    group.isBackendServing = false;
    await group.play(150);
    expect(waiting.every(({ answers }) => answers.at(-1) === 'unknown')).toBe(true);
  });
});
