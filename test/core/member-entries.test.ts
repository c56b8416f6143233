import { describe, expect, it } from 'vitest';
import { RENEWAL_EXPIRY_MS } from '../../src/core/admission/limit-shares.js';
import { MemberEntries } from '../../src/core/member-entries.js';

const entry = (revision: number) => ({ address: 'a:1', revision });

describe('MemberEntries', () => {
  it('reports a daemon as ended after its entry was not renewed for longer than its share is valid', () => {
    const entries = new MemberEntries();
    entries.observe([entry(1)], 0);
    entries.observe([entry(2)], 1_000);
    expect(entries.hasEnded('a:1', RENEWAL_EXPIRY_MS + 1_000)).toBe(false);
    expect(entries.hasEnded('a:1', RENEWAL_EXPIRY_MS + 61_000)).toBe(true);
  });

  it('reports a daemon as ended after its entry was missing for longer than from a restored store', () => {
    const entries = new MemberEntries();
    expect(entries.hasEnded('a:1', 0)).toBe(false);
    entries.observe([entry(1)], 0);
    entries.observe([], 1_000);
    expect(entries.hasEnded('a:1', 60_000)).toBe(false);
    expect(entries.hasEnded('a:1', 91_000)).toBe(true);
    entries.observe([entry(3)], 92_000);
    expect(entries.hasEnded('a:1', 92_000)).toBe(false);
  });
});
