import { describe, expect, it } from 'vitest';
import { AnnouncedShutdowns } from '../../src/core/announced-shutdowns.js';

describe('DeclaredLeavings', () => {
  it('distinguishes the starts of one id and keeps all of them', () => {
    const leavings = new AnnouncedShutdowns();
    expect(leavings.add({ id: 'a', start: '1' })).toBe(true);
    expect(leavings.add({ id: 'a', start: '1' })).toBe(false);
    expect(leavings.has({ id: 'a', start: '2' })).toBe(false);
    leavings.add({ id: 'a', start: '2' });
    expect(leavings.has({ id: 'a', start: '1' })).toBe(true);
    expect(leavings.has({ id: 'b' })).toBe(false);
  });

  it('matches an unknown start with every start of the id', () => {
    const leavings = new AnnouncedShutdowns();
    leavings.add({ id: 'a', start: '1' });
    leavings.add({ id: 'b' });
    expect(leavings.has({ id: 'a' })).toBe(true);
    expect(leavings.has({ id: 'b', start: '1' })).toBe(true);
  });

  it('limits the number of ids by dropping the oldest', () => {
    const leavings = new AnnouncedShutdowns();
    for (let index = 0; index < 3_000; index++) leavings.add({ id: `b${index}` });
    expect(leavings.has({ id: 'b2999' })).toBe(true);
    expect(leavings.has({ id: 'b0' })).toBe(false);
  });
});
