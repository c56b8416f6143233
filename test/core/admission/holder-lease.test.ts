import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  LEASE_MS,
  HolderLease,
  votersOf,
  LeaseVoter,
  majorityOf,
  VOTE_MS,
  type LeaseVote,
  type LeaseRequest,
} from '../../../src/core/admission/holder-lease.js';

const RETENTION_MS = 10_000;
/** Steady time at which the startup wait of a voter is over. */
const AFTER_STARTUP = 100_000;
const VOTE: LeaseVote = { isGiven: true, soleMs: 50_000, former: undefined };
const VOTERS = ['a', 'b', 'c', 'd'];

function question(fields: Partial<LeaseRequest> = {}): LeaseRequest {
  return { name: 'n', holder: 'h', process: 1, sequence: 1, ownCeiling: 10, ...fields };
}

describe('votersOf', () => {
  it('makes any two majorities overlap if the member lists differ by one daemon', () => {
    const size = fc.integer({ min: 4, max: 40 });
    fc.assert(
      fc.property(size, fc.string(), fc.boolean(), (count, name, isReplaced) => {
        const zoneOf = (index: number): string => (isReplaced ? 'z' : `z${index % 3}`);
        const daemon = (index: number) => ({ address: `d-${index}`, zone: zoneOf(index) });
        const list = [...Array(count).keys()].map(daemon);
        const first = votersOf(name, list);
        const second = votersOf(
          name,
          isReplaced ? [...list.slice(1), daemon(count)] : list.slice(1),
        );
        const needed = majorityOf(first.length) + majorityOf(second.length);
        expect(needed).toBeGreaterThan(new Set([...first, ...second]).size);
      }),
    );
  });

  it('spreads voters over zones, so that the loss of one of three zones leaves a majority', () => {
    const list = [...Array(30).keys()].map((i) => ({ address: `d-${i}`, zone: `z${i % 3}` }));
    const voters = votersOf('n', list);
    for (const zone of ['z0', 'z1', 'z2']) {
      const rest = voters.filter(
        (address) => list.find((d) => d.address === address)?.zone !== zone,
      );
      expect(rest.length).toBeGreaterThanOrEqual(majorityOf(voters.length));
    }
  });
});

describe('HolderLease', () => {
  it('needs a majority of votes, and runs from the time of its request however late the votes arrive', () => {
    const lease = new HolderLease();
    lease.recordRequest(1, 10, VOTERS, 0);
    for (const voter of ['a', 'b', 'b', 'x']) lease.recordVote(voter, 1, VOTE);
    expect(lease.isHeld(600)).toBe(false);
    expect(lease.recordVote('c', 1, VOTE)).toEqual({ soleMs: 50_000, previousHolders: [] });
    expect(lease.isHeld(600)).toBe(true);
    expect(lease.isHeld(LEASE_MS + 1)).toBe(false);
  });

  it('does not combine votes for different requests, and does not count refusals', () => {
    const lease = new HolderLease();
    lease.recordRequest(1, 10, VOTERS, 0);
    lease.recordRequest(2, 10, VOTERS, 100);
    for (const voter of ['a', 'b']) lease.recordVote(voter, 1, VOTE);
    for (const voter of ['c', 'd']) lease.recordVote(voter, 2, VOTE);
    lease.recordVote('a', 2, { ...VOTE, isGiven: false });
    lease.recordVote('a', 3, VOTE);
    expect(lease.isHeld(200)).toBe(false);
  });

  it('limits its own use to the lowest ceiling that the voters can report to a successor', () => {
    const lease = new HolderLease();
    expect(lease.ownCeiling()).toBe(0);
    lease.recordRequest(1, 10, VOTERS, 0);
    for (const voter of ['a', 'b', 'c']) lease.recordVote(voter, 1, VOTE);
    lease.recordRequest(2, 30, VOTERS, 100);
    expect(lease.ownCeiling()).toBe(10);
    lease.recordRequest(3, 5, VOTERS, 200);
    expect(lease.ownCeiling()).toBe(5);
    for (const voter of ['a', 'b', 'c']) lease.recordVote(voter, 3, VOTE);
    expect(lease.ownCeiling()).toBe(5);
  });

  it('ends on release, and votes that arrive later do not restore it', () => {
    const lease = new HolderLease();
    lease.recordRequest(1, 10, VOTERS, 0);
    lease.release();
    for (const voter of VOTERS) lease.recordVote(voter, 1, VOTE);
    expect(lease.isHeld(0)).toBe(false);
  });
});

describe('a voter', () => {
  it('votes for one holder at a time, for longer than a lease lasts', () => {
    const voter = new LeaseVoter(0, RETENTION_MS);
    expect(voter.handleRequest(question(), AFTER_STARTUP)).toMatchObject({
      isGiven: true,
      soleMs: AFTER_STARTUP,
    });
    const other = question({ holder: 'i' });
    expect(voter.handleRequest(other, AFTER_STARTUP + VOTE_MS - 1).isGiven).toBe(false);
    expect(VOTE_MS).toBeGreaterThan(LEASE_MS);
    const former = { holder: 'h', ownCeiling: 10 };
    const answer = { isGiven: true, soleMs: 0, former };
    expect(voter.handleRequest(other, AFTER_STARTUP + VOTE_MS)).toEqual(answer);
    expect(voter.handleRequest(other, AFTER_STARTUP + VOTE_MS + 400)).toEqual({
      ...answer,
      soleMs: 400,
    });
    const late = AFTER_STARTUP + VOTE_MS + 1 + RETENTION_MS;
    expect(voter.handleRequest(other, late).former).toBeUndefined();
  });

  it('refuses votes during a wait after its start, unless it is the only voter', () => {
    const voter = new LeaseVoter(AFTER_STARTUP, RETENTION_MS);
    expect(voter.handleRequest(question(), AFTER_STARTUP + VOTE_MS - 1).isGiven).toBe(false);
    expect(voter.handleRequest(question(), AFTER_STARTUP + VOTE_MS - 1, true).isGiven).toBe(true);
    expect(voter.handleRequest(question(), AFTER_STARTUP + VOTE_MS).isGiven).toBe(true);
  });

  it('can vote for another holder after a release, but ignores a release older than its vote', () => {
    const voter = new LeaseVoter(0, RETENTION_MS);
    voter.handleRequest(question({ sequence: 5 }), AFTER_STARTUP);
    voter.release('n', 'h', 4);
    voter.release('n', 'i', 9);
    voter.release('m', 'h', 9);
    expect(voter.handleRequest(question({ holder: 'i' }), AFTER_STARTUP).isGiven).toBe(false);
    voter.release('n', 'h', 5);
    // A holder that releases its vote is still running and reports the units that it granted itself.
    const answer = { isGiven: true, soleMs: 0, former: undefined };
    expect(voter.handleRequest(question({ holder: 'i' }), AFTER_STARTUP)).toEqual(answer);
  });

  it('reports to a restarted holder the units that its previous process may have granted itself', () => {
    const voter = new LeaseVoter(0, RETENTION_MS);
    voter.handleRequest(question({ ownCeiling: 70 }), AFTER_STARTUP);
    const again = voter.handleRequest(
      question({ process: 2, sequence: 2, ownCeiling: 0 }),
      AFTER_STARTUP + 10,
    );
    expect(again).toEqual({ isGiven: true, soleMs: 0, former: { holder: 'h', ownCeiling: 70 } });
  });

  it('stores a bounded number of votes, and refuses a vote that it cannot store', () => {
    const voter = new LeaseVoter(0, RETENTION_MS);
    for (let i = 0; i < 10_000; i++) voter.handleRequest(question({ name: `${i}` }), AFTER_STARTUP);
    expect(voter.handleRequest(question(), AFTER_STARTUP + 1).isGiven).toBe(false);
    expect(voter.handleRequest(question(), AFTER_STARTUP + RETENTION_MS + 1).isGiven).toBe(true);
  });
});
