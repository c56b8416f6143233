import { describe, expect, it } from 'vitest';
import { Feed } from '../../src/core/feed.js';

const bytes = (text: string): Uint8Array => Buffer.from(text);

describe('Feed', () => {
  it('applies a delta whose base is the current revision', () => {
    const feed = new Feed();
    const changed: string[] = [];
    const entry = { key: 'tenant/till', revision: 1, value: bytes('1') };
    expect(feed.applyDelta(0, 1, [entry], (key) => changed.push(key))).toBe('applied');
    expect(changed).toEqual(['tenant/till']);
    expect(feed.revision).toBe(1);
  });

  it('rejects an old delta as old and a delta with another base as a gap', () => {
    const feed = new Feed();
    feed.applyDelta(0, 5, [], () => {});
    expect(feed.applyDelta(3, 5, [], () => {})).toBe('old');
    expect(feed.applyDelta(6, 7, [], () => {})).toBe('gap');
    expect(feed.applyDelta(3, 7, [], () => {})).toBe('gap');
    expect(feed.revision).toBe(5);
  });

  it('does not return to a lower revision on a late snapshot', () => {
    const feed = new Feed();
    const newer = { key: 'tenant/till', revision: 9, value: bytes('new') };
    feed.applyDelta(0, 9, [newer], () => {});
    const older = { key: 'tenant/till', revision: 4, value: bytes('old') };
    expect(feed.applySnapshot(4, [older], () => {})).toBe('old');
    expect(feed.get('tenant/till')).toEqual(newer.value);
  });

  it('reports objects as changed that a snapshot no longer contains', () => {
    const feed = new Feed();
    feed.applyDelta(0, 1, [{ key: 'tenant/till', revision: 1, value: bytes('1') }], () => {});
    const changed: string[] = [];
    feed.applySnapshot(2, [], (key) => changed.push(key));
    expect(changed).toEqual(['tenant/till']);
    expect(feed.get('tenant/till')).toBeUndefined();
  });
});
