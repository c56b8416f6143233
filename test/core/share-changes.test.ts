import { describe, expect, it } from 'vitest';
import type { ShareRecord } from '../../src/core/admission/limit-shares.js';
import { ShareChanges, type ShareChangeView } from '../../src/core/admission/share-changes.js';
import { membersOf, recordOf } from './share-fixtures.js';

const viewOf = (live: string, ended = ''): ShareChangeView => ({
  live: membersOf(live),
  hasEnded: (address) => ended.includes(address),
});

/** The record that a coordinator writes within some seconds, if each of some daemons answers all the time. */
function changed(
  record: ShareRecord,
  view: ShareChangeView,
  answering: string,
  seconds = 5,
): ShareRecord | undefined {
  const changes = new ShareChanges();
  for (let now = 0; now <= seconds * 1_000; now += 100) {
    for (const from of answering) changes.hearAnswer(from, record.number, now);
    const next = changes.step(record, view, now)?.next;
    if (next !== undefined) return next;
  }
  return undefined;
}

describe('a change of the division', () => {
  it('is opened for who has joined while all members answer', () => {
    expect(changed(recordOf(1, 'ab'), viewOf('abc'), 'ab')).toEqual(recordOf(2, 'ab', 'abc'));
  });

  it('is not opened while a member does not answer, or is not seen', () => {
    expect(changed(recordOf(1, 'ab'), viewOf('abc'), 'a')).toBeUndefined();
    expect(changed(recordOf(1, 'ab'), viewOf('ac'), 'ab')).toBeUndefined();
  });

  it('is closed once all members know it, and not before', () => {
    expect(changed(recordOf(2, 'ab', 'abc'), viewOf('abc'), 'ab')).toEqual(recordOf(3, 'abc'));
    expect(changed(recordOf(2, 'ab', 'abc'), viewOf('abc'), 'a')).toBeUndefined();
  });

  it('leaves out who has ended, and waits for longer then', () => {
    const view = viewOf('a', 'b');
    expect(changed(recordOf(1, 'ab'), view, 'a')).toEqual(recordOf(2, 'ab', 'a'));
    expect(changed(recordOf(2, 'ab', 'a'), view, 'a', 20)).toBeUndefined();
    expect(changed(recordOf(2, 'ab', 'a'), view, 'a', 30)).toEqual(recordOf(3, 'a'));
  });
});
