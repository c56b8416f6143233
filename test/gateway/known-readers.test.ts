import { beforeEach, describe, expect, it } from 'vitest';
import { KnownReaders, type ReaderStatus } from '../../src/gateway/known-readers.js';

const OWN_DIGEST = 17;
const OTHER_DIGEST = 18;

function readerStatus(part: Partial<ReaderStatus> = {}): ReaderStatus {
  return { version: 1, platformAway: false, servingDigest: OWN_DIGEST, ...part };
}

describe('KnownReaders', () => {
  let readers: KnownReaders;

  beforeEach(() => {
    readers = new KnownReaders();
  });

  function recordDigest(address: string, digest: number | undefined, now: number): void {
    readers.recordStatus(address, readerStatus({ servingDigest: digest }), OWN_DIGEST, now);
  }

  it('report no difference if the lists are equal, or if a reader sends no digest', () => {
    recordDigest('a', OWN_DIGEST, 0);
    recordDigest('b', undefined, 0);
    expect(readers.differingReader(OWN_DIGEST, 5_000)).toBeUndefined();
  });

  it('report a difference that persists after the next update', () => {
    recordDigest('a', OTHER_DIGEST, 0);
    expect(readers.differingReader(OWN_DIGEST, 700)).toBeUndefined();
    recordDigest('a', OTHER_DIGEST, 750);
    expect(readers.differingReader(OWN_DIGEST, 800)).toBe('a');
  });

  it('do not report a reader whose list only lags behind for a short time', () => {
    recordDigest('a', OTHER_DIGEST, 0);
    recordDigest('a', OWN_DIGEST, 750);
    recordDigest('a', OTHER_DIGEST, 1_500);
    expect(readers.differingReader(OWN_DIGEST, 1_600)).toBeUndefined();
  });

  it('report a difference from one reader even if another reader has the same list', () => {
    for (const now of [0, 750, 1_500]) {
      recordDigest('a', OTHER_DIGEST, now);
      recordDigest('b', OWN_DIGEST, now);
    }
    expect(readers.differingReader(OWN_DIGEST, 1_500)).toBe('a');
  });

  it('ignore the list of a reader to which the platform does not respond', () => {
    const unansweredStatus = readerStatus({ platformAway: true, servingDigest: OTHER_DIGEST });
    for (const now of [0, 750, 1_500]) readers.recordStatus('a', unansweredStatus, OWN_DIGEST, now);
    expect(readers.differingReader(OWN_DIGEST, 1_500)).toBeUndefined();
  });

  it('do not report a difference that this daemon has checked, until the reader lists other backends', () => {
    recordDigest('a', OTHER_DIGEST, 0);
    readers.markDifferencesChecked(1_000);
    recordDigest('a', OTHER_DIGEST, 1_500);
    recordDigest('a', OTHER_DIGEST, 3_000);
    expect(readers.differingReader(OWN_DIGEST, 3_000)).toBeUndefined();
    recordDigest('a', 19, 3_750);
    recordDigest('a', 19, 4_550);
    expect(readers.differingReader(OWN_DIGEST, 4_550)).toBe('a');
  });

  it('report a persistent difference again after the check has expired', () => {
    recordDigest('a', OTHER_DIGEST, 0);
    readers.markDifferencesChecked(1_000);
    recordDigest('a', OTHER_DIGEST, 11_100);
    recordDigest('a', OTHER_DIGEST, 11_900);
    expect(readers.differingReader(OWN_DIGEST, 11_900)).toBe('a');
  });

  it('count readers with recent updates, and those of them to which the platform responds', () => {
    readers.recordStatus('a', readerStatus({ version: 3 }), OWN_DIGEST, 0);
    readers.recordStatus('b', readerStatus({ platformAway: true, version: 4 }), OWN_DIGEST, 1_000);
    expect(readers.counts(1_000)).toEqual({ readers: 2, answered: 1 });
    expect(readers.hasWorkingReader(1_000)).toBe(true);
    expect(readers.hasWorkingReader(1_000, new Set(['a']))).toBe(false);
    expect(readers.newestVersion()).toBe(4);
    expect(readers.workingReaderUpdatedAt()).toBe(0);
    readers.deleteExpired(1_501);
    expect(readers.counts(1_501)).toEqual({ readers: 1, answered: 0 });
    expect(readers.workingReaderUpdatedAt()).toBe(-Infinity);
  });
});
