/**
 * Requests reached backends that had said that they leave, seconds after every daemon should have known. A
 * daemon that reads late is told of a leaving by those that read closely, but each leaving was told once, by
 * whoever read it first: the others had then heard of it and did not tell it again. A daemon that was taken
 * for dead at that moment, or whose connection was given up, heard only that the readers live, and sent on
 * what it had known until its own late watch came round.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { backendOf, DirectoryGroup } from './directory-group.js';

const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:7000`);
const RANKED = rankCandidates('directory', ADDRESSES);
const READERS = new Set(RANKED.slice(0, 2));
const LATE_READER = RANKED.at(-1) ?? '';
/** The shortest time in which a leaving must be known everywhere. */
const KNOWN_WITHIN_MS = 2_000;
/** After a standstill, a cut or a reset a daemon gets so long to be over it. */
const RECOVERED_WITHIN_MS = 3_000;
const STAYING = backendOf('staying', 1);
const LEAVING = backendOf('leaving', 2);

describe('a daemon that reads the directory late', () => {
  let group: DirectoryGroup;

  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout'] });
    group = new DirectoryGroup(ADDRESSES);
    group.list([STAYING, LEAVING]);
    await group.run(8_000);
    expect(group.member(LATE_READER).attention).toBe('relaxed');
    expect(group.member(LATE_READER).serves('leaving')).toBe(true);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function knowsOfLeaving(): boolean {
    return !group.member(LATE_READER).serves('leaving');
  }

  it('is told of a leaving again if it was taken for dead when it was told first', async () => {
    group.sees = (_from, to) => to !== LATE_READER;
    group.list([STAYING]);
    await group.run(500);
    group.sees = () => true;
    await group.run(KNOWN_WITHIN_MS - 500);
    expect(knowsOfLeaving()).toBe(true);
  });

  it('is told by every reader, also by those that were told themselves', async () => {
    const [first] = READERS;
    group.delivers = (from, to) => from !== first || to !== LATE_READER;
    group.list([STAYING]);
    await group.run(KNOWN_WITHIN_MS);
    expect(knowsOfLeaving()).toBe(true);
  });

  it('is told of a start again as well', async () => {
    group.sees = (_from, to) => to !== LATE_READER;
    group.list([STAYING, LEAVING, backendOf('new', 9)]);
    await group.run(500);
    group.sees = () => true;
    await group.run(KNOWN_WITHIN_MS);
    expect(group.member(LATE_READER).serves('new')).toBe(true);
  });

  it('reads for itself when it was cut off, before it relies on readers again', async () => {
    const isCut = (from: string, to: string): boolean => from === LATE_READER || to === LATE_READER;
    group.delivers = (from, to) => !isCut(from, to);
    group.sees = group.delivers;
    group.member(LATE_READER).isAnswered = false;
    await group.run(4_000);
    group.list([STAYING]);
    await group.run(4_000);
    group.delivers = () => true;
    group.sees = () => true;
    await group.run(1_000);
    group.member(LATE_READER).isAnswered = true;
    await group.run(RECOVERED_WITHIN_MS - 1_000);
    expect(knowsOfLeaving()).toBe(true);
    expect(group.member(LATE_READER).attention).toBe('relaxed');
  });

  it('reads for itself when it stood still, before it relies on readers again', async () => {
    group.member(LATE_READER).isRunning = false;
    group.list([STAYING]);
    await group.run(1_250);
    group.member(LATE_READER).isRunning = true;
    await group.run(RECOVERED_WITHIN_MS);
    expect(knowsOfLeaving()).toBe(true);
    expect(group.member(LATE_READER).attention).toBe('relaxed');
  });
});
