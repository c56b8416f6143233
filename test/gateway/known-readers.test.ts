import { beforeEach, describe, expect, it } from 'vitest';
import { KnownReaders, type ReaderNews } from '../../src/gateway/known-readers.js';

const OWN = 17;
const OTHER = 18;

function news(part: Partial<ReaderNews> = {}): ReaderNews {
  return { version: 1, platformAway: false, servingDigest: OWN, ...part };
}

describe('KnownReaders', () => {
  let readers: KnownReaders;

  beforeEach(() => {
    readers = new KnownReaders();
  });

  function hear(address: string, digest: number | undefined, now: number): void {
    readers.hear(address, news({ servingDigest: digest }), OWN, now);
  }

  it('see no difference where the lists are the same, or a reader tells nothing of its list', () => {
    hear('a', OWN, 0);
    hear('b', undefined, 0);
    expect(readers.differingReader(OWN, 5_000)).toBeUndefined();
  });

  it('see a difference that outlasts the next news', () => {
    hear('a', OTHER, 0);
    expect(readers.differingReader(OWN, 700)).toBeUndefined();
    hear('a', OTHER, 750);
    expect(readers.differingReader(OWN, 800)).toBe('a');
  });

  it('do not take a reader that is behind for one that differs', () => {
    hear('a', OTHER, 0);
    hear('a', OWN, 750);
    hear('a', OTHER, 1_500);
    expect(readers.differingReader(OWN, 1_600)).toBeUndefined();
  });

  it('see a difference with one reader, whatever another lists', () => {
    for (const now of [0, 750, 1_500]) {
      hear('a', OTHER, now);
      hear('b', OWN, now);
    }
    expect(readers.differingReader(OWN, 1_500)).toBe('a');
  });

  it('compare nothing with a reader that the platform does not answer', () => {
    const away = news({ platformAway: true, servingDigest: OTHER });
    for (const now of [0, 750, 1_500]) readers.hear('a', away, OWN, now);
    expect(readers.differingReader(OWN, 1_500)).toBeUndefined();
  });

  it('leave a difference alone that this daemon has looked into, until the reader lists others', () => {
    hear('a', OTHER, 0);
    readers.settleDifferences(1_000);
    hear('a', OTHER, 1_500);
    hear('a', OTHER, 3_000);
    expect(readers.differingReader(OWN, 3_000)).toBeUndefined();
    hear('a', 19, 3_750);
    hear('a', 19, 4_550);
    expect(readers.differingReader(OWN, 4_550)).toBe('a');
  });

  it('look into a lasting difference again after some time', () => {
    hear('a', OTHER, 0);
    readers.settleDifferences(1_000);
    hear('a', OTHER, 11_100);
    hear('a', OTHER, 11_900);
    expect(readers.differingReader(OWN, 11_900)).toBe('a');
  });

  it('count those that are heard, and those of them that the platform answers', () => {
    readers.hear('a', news({ version: 3 }), OWN, 0);
    readers.hear('b', news({ platformAway: true, version: 4 }), OWN, 1_000);
    expect(readers.counts(1_000)).toEqual({ readers: 2, answered: 1 });
    expect(readers.hearsAnswered(1_000)).toBe(true);
    expect(readers.hearsAnswered(1_000, new Set(['a']))).toBe(false);
    expect(readers.newestVersion()).toBe(4);
    expect(readers.answeredHeardAt()).toBe(0);
    readers.forgetSilent(1_501);
    expect(readers.counts(1_501)).toEqual({ readers: 1, answered: 0 });
    expect(readers.answeredHeardAt()).toBe(-Infinity);
  });
});
