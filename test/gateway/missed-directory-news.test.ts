/**
 * Requests reached backends that had said that they leave, seconds after every daemon should have known. A
 * daemon that reads late is told of a leaving by those that read closely, but each leaving was told once, by
 * whoever read it first: the others had then heard of it and did not tell it again. A daemon that was taken
 * for dead at that moment, or whose connection was given up, heard only that the readers live, and sent on
 * what it had known until its own late watch came round. Nothing compared what daemons hold with what the
 * readers hold. From a play of nine gateways, gateway-2 back from a cut, gateway-6 in peace for 2 s:
 *
 *     35.043 gateway-2 event=members live=9 listed=8
 *     35.086 gateway-2 event=backend_ended backend=replica-8-6 revision=199
 *     35.091 gateway-0 event=backend_ended backend=replica-8-6 revision=199
 *     35.093 gateway-7 event=backend_ended backend=replica-8-6 revision=199
 *     36.539 gateway-2 event=peer_silent peer=(gateway-6) milliseconds=1800
 *     44.138 gateway-6 event=sent backend=replica-8-6
 *
 * Gateways 0 and 7 had it from gateway-2, whose connection to gateway-6 was dead. The last line is the last of 83
 * requests, 9.1 s after the backend's entry had gone.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { backendOf, DirectoryGroup } from './directory-group.js';

const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:7000`);
const RANKED = rankCandidates('directory', ADDRESSES);
const READERS = RANKED.slice(0, 2);
/** Readers, and those that stand in for them. */
const FIRST_IN_RANK = RANKED.slice(0, 6);
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
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'Date'] });
    group = new DirectoryGroup(ADDRESSES);
    group.list([STAYING, LEAVING]);
    await group.run(8_000);
    await group.runUntilLateReading(LATE_READER);
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

  it('notices that readers which started after a leaving list one backend less', async () => {
    for (const address of FIRST_IN_RANK) group.restart(address);
    for (const member of group.members.values()) member.isAnswered = false;
    group.list([STAYING]);
    await group.run(2_500);
    for (const member of group.members.values()) member.isAnswered = true;
    await group.run(KNOWN_WITHIN_MS);
    expect(knowsOfLeaving()).toBe(true);
    expect(group.member(LATE_READER).serves('staying')).toBe(true);
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
    await group.run(750);
    group.member(LATE_READER).isRunning = true;
    await group.run(RECOVERED_WITHIN_MS);
    expect(knowsOfLeaving()).toBe(true);
    expect(group.member(LATE_READER).attention).toBe('relaxed');
  });
});
