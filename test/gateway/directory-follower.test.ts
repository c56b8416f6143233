/**
 * Guards against late directory changes (a backend that is shutting down, a configuration) on all daemons
 * that read with a delay, while the platform rejects the designated readers and serves the others. The
 * cause was that readers' updates counted as proof that they could read, but showed only that they run.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { LogFields, Logger } from '../../src/common/logger.js';
import { rankCandidates } from '../../src/common/rendezvous.js';
import type { DirectoryReadMode } from '../../src/gateway/ports.js';
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

  function attentionsByRank(): DirectoryReadMode[] {
    return RANKED.map((address) => group.member(address).attention);
  }

  function setAnswered(addresses: readonly string[], isAnswered: boolean): void {
    for (const address of addresses) group.member(address).isServed = isAnswered;
  }

  it('are two while the platform responds to them', async () => {
    await group.run(3_000);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are replaced by the next daemons in rank while the platform responds to none of them', async () => {
    await group.run(3_000);
    setAnswered(RANKED.slice(0, 2), false);
    await group.run(2 * TICK_MS);
    const closer = Array<string>(6).fill('close');
    expect(attentionsByRank()).toEqual([...closer, ...Array<string>(6).fill('relaxed')]);
    await group.run(5_000);
    expect(attentionsByRank().slice(0, 6)).toEqual(closer);
    setAnswered(RANKED.slice(0, 2), true);
    await group.run(2 * TICK_MS);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are not replaced while the platform responds to one of them', async () => {
    await group.run(3_000);
    setAnswered(RANKED.slice(0, 1), false);
    await group.run(5_000);
    expect(attentionsByRank().slice(2)).toEqual(Array<string>(10).fill('relaxed'));
  });

  it('do not make the directory of a daemon count as current while the platform responds to no daemon', async () => {
    await group.run(3_000);
    const last = group.member(RANKED.at(-1));
    expect(last.follower.isCurrent()).toBe(true);
    setAnswered(ADDRESSES, false);
    await group.run(2_000);
    expect([...group.members.values()].map(({ follower }) => follower.isCurrent())).not.toContain(
      true,
    );
    expect(attentionsByRank().slice(6)).toEqual(Array<string>(6).fill('relaxed'));
  });

  it('log which backends ended, the source of the change, and the number of daemons that it was sent to', async () => {
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

  it('determine the age of the directory that a daemon reports', async () => {
    await group.run(3_000);
    const last = group.member(RANKED.at(-1)).follower;
    expect(last.directoryAgeMs()).toBeLessThan(1_000);
    group.delivers = () => false;
    setAnswered(ADDRESSES, false);
    await group.run(1_250);
    expect(last.directoryAgeMs()).toBeGreaterThan(1_000);
    await group.run(1_000);
    expect(last.directoryAgeMs()).toBe(Infinity);
  });
});
