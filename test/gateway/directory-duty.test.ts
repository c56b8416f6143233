/**
 * Symptom to expect: while the platform turns the designated readers away and serves the others, a
 * change of the directory (a backend that leaves, a configuration) is known too late by all daemons
 * that read late.
 *
 * Cause: the readers' news were taken for a proof of what they read, but told only that they live.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { DirectoryDuty } from '../../src/gateway/directory-duty.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import type { DirectoryAttention, PlatformDirectory } from '../../src/gateway/ports.js';

const TICK_MS = 250;
const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:7000`);
const RANKED = rankCandidates('directory', ADDRESSES);

/** One daemon of the group. */
class Reader {
  attention: DirectoryAttention = 'alone';
  isAnswered = true;
  readonly duty: DirectoryDuty;

  constructor(
    readonly address: string,
    broadcast: (from: string, body: PeerBody) => void,
  ) {
    const live = (): MemberView[] =>
      ADDRESSES.map((member) => {
        return { address: member, zone: '', site: '', incarnation: 1, state: 'alive', capacity: 1 };
      });
    const directory: Partial<PlatformDirectory> = {
      setAttention: (attention) => (this.attention = attention),
      readingAgeMs: () => (this.isAnswered ? 0 : Infinity),
    };
    const peers = { address, live, broadcast: (body: PeerBody) => broadcast(address, body) };
    this.duty = new DirectoryDuty({
      directory: directory as PlatformDirectory,
      backends: new BackendDirectory(),
      peers: peers as unknown as PeerGroup,
      logger: silentLogger,
      version: () => 1,
      ownsService: () => false,
      inFlightAt: () => 0,
      onChange: () => {},
    });
  }
}

describe('readers of the directory', () => {
  let group: Map<string, Reader>;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance', 'setTimeout'] });
    group = new Map();
    const broadcast = (from: string, body: PeerBody): void => {
      if (body.case !== 'directoryNews') return;
      for (const [address, { duty }] of group) if (address !== from) duty.hear(from, body.value);
    };
    for (const address of ADDRESSES) group.set(address, new Reader(address, broadcast));
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  async function run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      await vi.advanceTimersByTimeAsync(TICK_MS);
      for (const { duty } of group.values()) duty.tick();
    }
  }

  function attentionsByRank(): DirectoryAttention[] {
    return RANKED.map((address) => group.get(address)?.attention ?? 'alone');
  }

  function turnAway(addresses: readonly string[], isAnswered: boolean): void {
    for (const address of addresses) group.get(address)!.isAnswered = isAnswered;
  }

  it('are two, while the platform answers them', async () => {
    await run(3_000);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are relieved by the next in rank while the platform answers none of them', async () => {
    await run(3_000);
    turnAway(RANKED.slice(0, 2), false);
    await run(2 * TICK_MS);
    const closer = Array<string>(6).fill('close');
    expect(attentionsByRank()).toEqual([...closer, ...Array<string>(6).fill('relaxed')]);
    await run(5_000);
    expect(attentionsByRank().slice(0, 6)).toEqual(closer);
    turnAway(RANKED.slice(0, 2), true);
    await run(2 * TICK_MS);
    expect(attentionsByRank()).toEqual(['close', 'close', ...Array<string>(10).fill('relaxed')]);
  });

  it('are not relieved while the platform answers one of them', async () => {
    await run(3_000);
    turnAway(RANKED.slice(0, 1), false);
    await run(5_000);
    expect(attentionsByRank().slice(2)).toEqual(Array<string>(10).fill('relaxed'));
  });

  it('do not let a daemon be sure of what it holds while the platform answers nobody', async () => {
    await run(3_000);
    const last = group.get(RANKED.at(-1) ?? '');
    expect(last?.duty.isInformed()).toBe(true);
    turnAway(ADDRESSES, false);
    await run(2_000);
    expect([...group.values()].map(({ duty }) => duty.isInformed())).not.toContain(true);
    expect(attentionsByRank().slice(6)).toEqual(Array<string>(6).fill('relaxed'));
  });
});
