import { describe, expect, it } from 'vitest';
import { CLAIM_LIFETIME_MS, ClaimRound, ClaimTable } from '../../src/core/claim-table.js';

describe('ClaimTable', () => {
  it('grants a key to one request only, and again to the same request', () => {
    const table = new ClaimTable(0);
    expect(table.claim('till', 'k', 'first', 1)).toBe(true);
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
    expect(table.claim('till', 'k', 'first', 3)).toBe(true);
    expect(table.claim('other', 'k', 'second', 4)).toBe(true);
  });

  it('grants a key to another request after its release, so that a refused caller can retry', () => {
    const table = new ClaimTable(0);
    table.claim('till', 'k', 'first', 1);
    table.release('till', 'k', 'second');
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
    table.release('till', 'k', 'first');
    expect(table.claim('till', 'k', 'second', 3)).toBe(true);
  });

  it('refuses a key to both requests after merging conflicting claims of two voters', () => {
    const table = new ClaimTable(0);
    const claim = { tenant: 'till', key: 'k', expiresAt: 100 };
    table.merge([{ ...claim, request: 'first' }], 1);
    table.merge([{ ...claim, request: 'second' }], 1);
    expect(table.claim('till', 'k', 'first', 2)).toBe(false);
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
  });

  it('may lack claims until it is marked complete or any lost claim has expired', () => {
    const table = new ClaimTable(0);
    expect(table.mayLackClaims(1)).toBe(true);
    expect(table.mayLackClaims(CLAIM_LIFETIME_MS)).toBe(false);
    table.markComplete();
    expect(table.mayLackClaims(1)).toBe(false);
  });
});

describe('ClaimRound', () => {
  it('is granted by two voters with complete tables', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    expect(round.vote('a', true, false)).toBe('pending');
    expect(round.vote('b', true, false)).toBe('granted');
  });

  it('is not granted by one voter with a complete table and two that may lack claims', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    round.vote('a', true, false);
    round.vote('b', true, true);
    expect(round.vote('c', true, true)).toBe('pending');
  });

  it('is granted by all voters if all of them have just started', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    round.vote('a', true, true);
    round.vote('b', true, true);
    expect(round.vote('c', true, true)).toBe('granted');
  });

  it('is taken as soon as one voter refuses, and ignores votes of non-voters', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    expect(round.vote('x', false, false)).toBe('pending');
    expect(round.vote('a', false, false)).toBe('taken');
  });
});
