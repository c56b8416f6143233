import { describe, expect, it } from 'vitest';
import { CLAIM_LIFETIME_MS, ClaimRound, ClaimTable } from '../../src/core/claim-table.js';

describe('ClaimTable', () => {
  it('grants a key to one request only, and to that one again', () => {
    const table = new ClaimTable(0);
    expect(table.claim('till', 'k', 'first', 1)).toBe(true);
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
    expect(table.claim('till', 'k', 'first', 3)).toBe(true);
    expect(table.claim('other', 'k', 'second', 4)).toBe(true);
  });

  it('grants a key again after it was given back, so that a refused caller can come back', () => {
    const table = new ClaimTable(0);
    table.claim('till', 'k', 'first', 1);
    table.release('till', 'k', 'second');
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
    table.release('till', 'k', 'first');
    expect(table.claim('till', 'k', 'second', 3)).toBe(true);
  });

  it('refuses a key to both when two voters know it for different requests', () => {
    const table = new ClaimTable(0);
    const claim = { tenant: 'till', key: 'k', expiresAt: 100 };
    table.adopt([{ ...claim, request: 'first' }], 1);
    table.adopt([{ ...claim, request: 'second' }], 1);
    expect(table.claim('till', 'k', 'first', 2)).toBe(false);
    expect(table.claim('till', 'k', 'second', 2)).toBe(false);
  });

  it('is young until it is informed or a claim would have expired', () => {
    const table = new ClaimTable(0);
    expect(table.isYoung(1)).toBe(true);
    expect(table.isYoung(CLAIM_LIFETIME_MS)).toBe(false);
    table.markInformed();
    expect(table.isYoung(1)).toBe(false);
  });
});

describe('ClaimRound', () => {
  it('is granted by two voters who remember', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    expect(round.vote('a', true, false)).toBe('pending');
    expect(round.vote('b', true, false)).toBe('granted');
  });

  it('does not count a young voter together with one who remembers', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    round.vote('a', true, false);
    round.vote('b', true, true);
    expect(round.vote('c', true, true)).toBe('pending');
  });

  it('is granted by a group that is new as a whole', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    round.vote('a', true, true);
    round.vote('b', true, true);
    expect(round.vote('c', true, true)).toBe('granted');
  });

  it('is taken as soon as one voter refuses, and ignores strangers', () => {
    const round = new ClaimRound(['a', 'b', 'c']);
    expect(round.vote('x', false, false)).toBe('pending');
    expect(round.vote('a', false, false)).toBe('taken');
  });
});
