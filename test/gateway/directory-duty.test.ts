/**
 * Symptom to expect: while the platform turns the designated readers away and serves the others, a
 * change of the directory (a backend that leaves, a configuration) is known too late by all daemons
 * that read late.
 *
 * Cause: the readers' news were taken for a proof of what they read, but told only that they live.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogFields, Logger } from '../../src/common/logger.js';
import { rankCandidates } from '../../src/common/rendezvous.js';
import type { DirectoryAttention } from '../../src/gateway/ports.js';
import { backendOf, DIRECTORY_TICK_MS, DirectoryGroup } from './directory-group.js';

const TICK_MS = DIRECTORY_TICK_MS;
const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:7000`);
const RANKED = rankCandidates('directory', ADDRESSES);

describe('readers of the directory', () => {
  let group: DirectoryGroup;
  let lines: LogFields[];

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout', 'Date'] });
    lines = [];
    const write = (event: string, fields: LogFields = {}): void => {
      lines.push({ event, ...fields });
    };
    const logger: Logger = { info: write, warn: write, error: write };
    group = new DirectoryGroup(ADDRESSES, logger);
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  function attentionsByRank(): DirectoryAttention[] {
    return RANKED.map((address) => group.member(address).attention);
  }

  function turnAway(addresses: readonly string[], isAnswered: boolean): void {
    for (const address of addresses) group.member(address).isAnswered = isAnswered;
  }

  it('are two, while the platform answers them', async () => {
    await group.run(3_000);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are relieved by the next in rank while the platform answers none of them', async () => {
    await group.run(3_000);
    turnAway(RANKED.slice(0, 2), false);
    await group.run(2 * TICK_MS);
    const closer = Array<string>(6).fill('close');
    expect(attentionsByRank()).toEqual([...closer, ...Array<string>(6).fill('relaxed')]);
    await group.run(5_000);
    expect(attentionsByRank().slice(0, 6)).toEqual(closer);
    turnAway(RANKED.slice(0, 2), true);
    await group.run(2 * TICK_MS);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are not relieved while the platform answers one of them', async () => {
    await group.run(3_000);
    turnAway(RANKED.slice(0, 1), false);
    await group.run(5_000);
    expect(attentionsByRank().slice(2)).toEqual(Array<string>(10).fill('relaxed'));
  });

  it('do not let a daemon be sure of what it holds while the platform answers nobody', async () => {
    await group.run(3_000);
    const last = group.member(RANKED.at(-1));
    expect(last.duty.isInformed()).toBe(true);
    turnAway(ADDRESSES, false);
    await group.run(2_000);
    expect([...group.members.values()].map(({ duty }) => duty.isInformed())).not.toContain(true);
    expect(attentionsByRank().slice(6)).toEqual(Array<string>(6).fill('relaxed'));
  });

  it('log what has ended, how they know, and to how many they told it', async () => {
    group.list([backendOf('one', 1), backendOf('two', 2)]);
    await group.run(6_000);
    group.list([backendOf('one', 1)]);
    await group.run(1_000);
    const ends = lines.filter(({ event }) => event === 'backend_ended');
    expect(ends).toMatchObject([
      { backend: 'two', source: 'list', told: 11 },
      { backend: 'two', source: 'reader', told: 11 },
    ]);
  });

  it('let a daemon tell how old its knowledge is', async () => {
    await group.run(3_000);
    const last = group.member(RANKED.at(-1)).duty;
    expect(last.knowledgeAgeMs()).toBeLessThan(1_000);
    group.delivers = () => false;
    turnAway(ADDRESSES, false);
    await group.run(1_250);
    expect(last.knowledgeAgeMs()).toBeGreaterThan(1_000);
    await group.run(1_000);
    expect(last.knowledgeAgeMs()).toBe(Infinity);
  });
});
