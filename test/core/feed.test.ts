import { describe, expect, it } from 'vitest';
import { Feed } from '../../src/core/feed.js';

const bytes = (text: string): Uint8Array => Buffer.from(text);

describe('Feed', () => {
  it('applies a step from exactly its own revision', () => {
    const feed = new Feed();
    const changed: string[] = [];
    const entry = { key: 'tenant/till', revision: 1, value: bytes('1') };
    expect(feed.applyDelta(0, 1, [entry], (key) => changed.push(key))).toBe('applied');
    expect(changed).toEqual(['tenant/till']);
    expect(feed.revision).toBe(1);
  });

  it('ignores a step that it already has, and asks for what is missing', () => {
    const feed = new Feed();
    feed.applyDelta(0, 5, [], () => {});
    expect(feed.applyDelta(3, 5, [], () => {})).toBe('old');
    expect(feed.applyDelta(6, 7, [], () => {})).toBe('gap');
    expect(feed.applyDelta(3, 7, [], () => {})).toBe('gap');
    expect(feed.revision).toBe(5);
  });

  it('never steps to a lower revision by a late snapshot', () => {
    const feed = new Feed();
    const newer = { key: 'tenant/till', revision: 9, value: bytes('new') };
    feed.applyDelta(0, 9, [newer], () => {});
    const older = { key: 'tenant/till', revision: 4, value: bytes('old') };
    expect(feed.applySnapshot(4, [older], () => {})).toBe('old');
    expect(feed.get('tenant/till')).toEqual(newer.value);
  });

  it('tells of objects that a snapshot no longer holds', () => {
    const feed = new Feed();
    feed.applyDelta(0, 1, [{ key: 'tenant/till', revision: 1, value: bytes('1') }], () => {});
    const changed: string[] = [];
    feed.applySnapshot(2, [], (key) => changed.push(key));
    expect(changed).toEqual(['tenant/till']);
    expect(feed.get('tenant/till')).toBeUndefined();
  });
});
