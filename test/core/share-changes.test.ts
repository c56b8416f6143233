import { describe, expect, it } from 'vitest';
import type { ShareRecord } from '../../src/core/admission/limit-shares.js';
import { ShareChanges, type ShareChangeView } from '../../src/core/admission/share-changes.js';
import { membersOf, recordOf } from './share-fixtures.js';

const viewOf = (live: string, ended = ''): ShareChangeView => ({
  live: membersOf(live),
  hasEnded: (address) => ended.includes(address),
});

/** Returns the record that a coordinator writes within `seconds` if the daemons in `answering` reply continuously. */
function nextRecord(
  record: ShareRecord,
  view: ShareChangeView,
  replying: string,
  seconds = 5,
): ShareRecord | undefined {
  const changes = new ShareChanges();
  for (let now = 0; now <= seconds * 1_000; now += 100) {
    for (const from of replying) changes.recordReply(from, record.number, now);
    const next = changes.nextStep(record, view, now)?.next;
    if (next !== undefined) return next;
  }
  return undefined;
}

describe('a change of the share record', () => {
  it('starts for a joining daemon while all members reply', () => {
    expect(nextRecord(recordOf(1, 'ab'), viewOf('abc'), 'ab')).toEqual(recordOf(2, 'ab', 'abc'));
  });

  it('does not start while a member does not reply or is not live', () => {
    expect(nextRecord(recordOf(1, 'ab'), viewOf('abc'), 'a')).toBeUndefined();
    expect(nextRecord(recordOf(1, 'ab'), viewOf('ac'), 'ab')).toBeUndefined();
  });

  it('completes once all members know it, and not before', () => {
    expect(nextRecord(recordOf(2, 'ab', 'abc'), viewOf('abc'), 'ab')).toEqual(recordOf(3, 'abc'));
    expect(nextRecord(recordOf(2, 'ab', 'abc'), viewOf('abc'), 'a')).toBeUndefined();
  });

  it('excludes a member that has stopped, and then completes after a longer delay', () => {
    const view = viewOf('a', 'b');
    expect(nextRecord(recordOf(1, 'ab'), view, 'a')).toEqual(recordOf(2, 'ab', 'a'));
    expect(nextRecord(recordOf(2, 'ab', 'a'), view, 'a', 20)).toBeUndefined();
    expect(nextRecord(recordOf(2, 'ab', 'a'), view, 'a', 30)).toEqual(recordOf(3, 'a'));
  });
});
