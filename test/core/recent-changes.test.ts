import { describe, expect, it } from 'vitest';
import { RecentChanges } from '../../src/core/recent-changes.js';

const end = (id: string) => ({ id, revision: 1 });

describe('RecentChanges', () => {
  it('returns a change until its retention time has passed', () => {
    const recent = new RecentChanges();
    recent.add({ ended: [end('a')], started: [] }, 0);
    recent.add({ ended: [end('b')], started: [] }, 2_000);
    expect(recent.all(2_999).ended).toEqual([end('a'), end('b')]);
    expect(recent.all(3_000).ended).toEqual([end('b')]);
    expect(recent.all(9_000)).toEqual({ ended: [], started: [] });
  });

  it('keeps the newest changes when more than the limit come at once', () => {
    const recent = new RecentChanges();
    const ended = Array.from({ length: 2_000 }, (_, index) => end(String(index)));
    recent.add({ ended, started: [] }, 0);
    const kept = recent.all(1).ended;
    expect(kept.length).toBeLessThanOrEqual(500);
    expect(kept.at(-1)).toEqual(end('1999'));
  });
});
