import { describe, expect, it } from 'vitest';
import { platformDialect } from '../../../platform/dialect.js';

describe('expected work from request headers', () => {
  const work = (counts?: string, hint?: string): number | undefined =>
    platformDialect.readRequest({
      ...(counts === undefined ? {} : { 'x-token-counts': counts }),
      ...(hint === undefined ? {} : { 'x-length-hint': hint }),
    }).expectedWork;

  it("adds the caller's estimate of the answer and a fraction of the prompt tokens", () => {
    expect(work('1000,400', '80')).toBe(100);
    expect(work('1000,400')).toBe(420);
  });

  it.each(['-5', 'many', '', '1e9', '12.5', '99999999999999999999', 'NaN', '0x10'])(
    'ignores the invalid hint %j',
    (hint) => expect(work('1000,400', hint)).toBe(420),
  );

  it('does not exceed the maximum answer length of the request', () => {
    expect(work('0,50', '900')).toBe(50);
  });

  it.each([undefined, '', '-1,5', 'a,b', '5', ',', '1e5,2', '5000000,10'])(
    'is undefined for the invalid counts %j',
    (counts) => expect(work(counts)).toBeUndefined(),
  );
});
