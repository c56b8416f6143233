import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  HOLD_MS,
  HolderLease,
  keepersOf,
  LeaseKeeper,
  majorityOf,
  WORD_MS,
  type LeaseAnswer,
  type LeaseQuestion,
} from '../../../src/core/admission/holder-lease.js';

const REMEMBER_MS = 10_000;
/** Long enough after its start for a keeper to give its word. */
const OLD = 100_000;
const GIVEN: LeaseAnswer = { isGiven: true, soleMs: 50_000, former: undefined };
const KEEPERS = ['a', 'b', 'c', 'd'];

function question(fields: Partial<LeaseQuestion> = {}): LeaseQuestion {
  return { name: 'n', holder: 'h', process: 1, sequence: 1, ownCeiling: 10, ...fields };
}

describe('keepers', () => {
  it('of two lists that differ by one daemon have a common one in any two majorities', () => {
    const size = fc.integer({ min: 4, max: 40 });
    fc.assert(
      fc.property(size, fc.string(), fc.boolean(), (count, name, isReplaced) => {
        const zoneOf = (index: number): string => (isReplaced ? 'z' : `z${index % 3}`);
        const daemon = (index: number) => ({ address: `d-${index}`, zone: zoneOf(index) });
        const list = [...Array(count).keys()].map(daemon);
        const first = keepersOf(name, list);
        const second = keepersOf(
          name,
          isReplaced ? [...list.slice(1), daemon(count)] : list.slice(1),
        );
        const needed = majorityOf(first.length) + majorityOf(second.length);
        expect(needed).toBeGreaterThan(new Set([...first, ...second]).size);
      }),
    );
  });

  it('lie in several zones: the loss of one of three leaves a majority', () => {
    const list = [...Array(30).keys()].map((i) => ({ address: `d-${i}`, zone: `z${i % 3}` }));
    const keepers = keepersOf('n', list);
    for (const zone of ['z0', 'z1', 'z2']) {
      const rest = keepers.filter(
        (address) => list.find((d) => d.address === address)?.zone !== zone,
      );
      expect(rest.length).toBeGreaterThanOrEqual(majorityOf(keepers.length));
    }
  });
});

describe('a lease', () => {
  it('needs most keepers, and lasts from its question however late the answers come', () => {
    const lease = new HolderLease();
    lease.ask(1, 10, KEEPERS, 0);
    for (const keeper of ['a', 'b', 'b', 'x']) lease.hear(keeper, 1, GIVEN);
    expect(lease.holds(600)).toBe(false);
    expect(lease.hear('c', 1, GIVEN)).toEqual({ soleMs: 50_000, formers: [] });
    expect(lease.holds(600)).toBe(true);
    expect(lease.holds(HOLD_MS + 1)).toBe(false);
  });

  it('does not add answers to different questions, nor count refusals', () => {
    const lease = new HolderLease();
    lease.ask(1, 10, KEEPERS, 0);
    lease.ask(2, 10, KEEPERS, 100);
    for (const keeper of ['a', 'b']) lease.hear(keeper, 1, GIVEN);
    for (const keeper of ['c', 'd']) lease.hear(keeper, 2, GIVEN);
    lease.hear('a', 2, { ...GIVEN, isGiven: false });
    lease.hear('a', 3, GIVEN);
    expect(lease.holds(200)).toBe(false);
  });

  it('has the lowest ceiling that a successor may hear of', () => {
    const lease = new HolderLease();
    expect(lease.ownCeiling()).toBe(0);
    lease.ask(1, 10, KEEPERS, 0);
    for (const keeper of ['a', 'b', 'c']) lease.hear(keeper, 1, GIVEN);
    lease.ask(2, 30, KEEPERS, 100);
    expect(lease.ownCeiling()).toBe(10);
    lease.ask(3, 5, KEEPERS, 200);
    expect(lease.ownCeiling()).toBe(5);
    for (const keeper of ['a', 'b', 'c']) lease.hear(keeper, 3, GIVEN);
    expect(lease.ownCeiling()).toBe(5);
  });

  it('ends with its release', () => {
    const lease = new HolderLease();
    lease.ask(1, 10, KEEPERS, 0);
    lease.release();
    for (const keeper of KEEPERS) lease.hear(keeper, 1, GIVEN);
    expect(lease.holds(0)).toBe(false);
  });
});

describe('a keeper', () => {
  it('gives its word to one holder at a time, for longer than a lease lasts', () => {
    const keeper = new LeaseKeeper(0, REMEMBER_MS);
    expect(keeper.answer(question(), OLD)).toMatchObject({ isGiven: true, soleMs: OLD });
    const other = question({ holder: 'i' });
    expect(keeper.answer(other, OLD + WORD_MS - 1).isGiven).toBe(false);
    expect(WORD_MS).toBeGreaterThan(HOLD_MS);
    const former = { holder: 'h', ownCeiling: 10 };
    const answer = { isGiven: true, soleMs: 0, former };
    expect(keeper.answer(other, OLD + WORD_MS)).toEqual(answer);
    expect(keeper.answer(other, OLD + WORD_MS + 400)).toEqual({ ...answer, soleMs: 400 });
    const late = OLD + WORD_MS + 1 + REMEMBER_MS;
    expect(keeper.answer(other, late).former).toBeUndefined();
  });

  it('is young after its start and gives no word, unless no other daemon is listed', () => {
    const keeper = new LeaseKeeper(OLD, REMEMBER_MS);
    expect(keeper.answer(question(), OLD + WORD_MS - 1).isGiven).toBe(false);
    expect(keeper.answer(question(), OLD + WORD_MS - 1, true).isGiven).toBe(true);
    expect(keeper.answer(question(), OLD + WORD_MS).isGiven).toBe(true);
  });

  it('is free after a release, but not after one from before its word', () => {
    const keeper = new LeaseKeeper(0, REMEMBER_MS);
    keeper.answer(question({ sequence: 5 }), OLD);
    keeper.release('n', 'h', 4);
    keeper.release('n', 'i', 9);
    keeper.release('m', 'h', 9);
    expect(keeper.answer(question({ holder: 'i' }), OLD).isGiven).toBe(false);
    keeper.release('n', 'h', 5);
    // Who is there to release its word tells of itself what it has lent.
    const answer = { isGiven: true, soleMs: 0, former: undefined };
    expect(keeper.answer(question({ holder: 'i' }), OLD)).toEqual(answer);
  });

  it('tells a new process of the holder what its former one may have lent to itself', () => {
    const keeper = new LeaseKeeper(0, REMEMBER_MS);
    keeper.answer(question({ ownCeiling: 70 }), OLD);
    const again = keeper.answer(question({ process: 2, sequence: 2, ownCeiling: 0 }), OLD + 10);
    expect(again).toEqual({ isGiven: true, soleMs: 0, former: { holder: 'h', ownCeiling: 70 } });
  });

  it('remembers a bounded number of words, and gives none that it could not remember', () => {
    const keeper = new LeaseKeeper(0, REMEMBER_MS);
    for (let i = 0; i < 10_000; i++) keeper.answer(question({ name: `${i}` }), OLD);
    expect(keeper.answer(question(), OLD + 1).isGiven).toBe(false);
    expect(keeper.answer(question(), OLD + REMEMBER_MS + 1).isGiven).toBe(true);
  });
});
