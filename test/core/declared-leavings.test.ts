import { describe, expect, it } from 'vitest';
import { DeclaredLeavings } from '../../src/core/declared-leavings.js';

describe('DeclaredLeavings', () => {
  it('distinguishes the starts of one id and keeps all of them', () => {
    const leavings = new DeclaredLeavings();
    expect(leavings.note({ id: 'a', start: '1' })).toBe(true);
    expect(leavings.note({ id: 'a', start: '1' })).toBe(false);
    expect(leavings.has({ id: 'a', start: '2' })).toBe(false);
    leavings.note({ id: 'a', start: '2' });
    expect(leavings.has({ id: 'a', start: '1' })).toBe(true);
    expect(leavings.has({ id: 'b' })).toBe(false);
  });

  it('matches an unknown start with every start of the id', () => {
    const leavings = new DeclaredLeavings();
    leavings.note({ id: 'a', start: '1' });
    leavings.note({ id: 'b' });
    expect(leavings.has({ id: 'a' })).toBe(true);
    expect(leavings.has({ id: 'b', start: '1' })).toBe(true);
  });

  it('limits the number of ids by dropping the oldest', () => {
    const leavings = new DeclaredLeavings();
    for (let index = 0; index < 3_000; index++) leavings.note({ id: `b${index}` });
    expect(leavings.has({ id: 'b2999' })).toBe(true);
    expect(leavings.has({ id: 'b0' })).toBe(false);
  });
});
