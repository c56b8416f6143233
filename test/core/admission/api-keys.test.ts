import { describe, expect, it } from 'vitest';
import { credentialHash, hashKey, KeyRing } from '../../../src/core/admission/api-keys.js';

describe('credentialHash', () => {
  it('takes the key after the scheme, in any case and with blanks around it', () => {
    expect(credentialHash('Token abc', 'Token')).toBe(hashKey('abc'));
    expect(credentialHash('tOKEN   abc ', 'Token')).toBe(hashKey('abc'));
  });

  it('knows no key of another scheme, nor an empty one', () => {
    for (const header of [undefined, '', 'abc', 'Token', 'Token ', 'Bearer abc', 'Tokenabc']) {
      expect(credentialHash(header, 'Token')).toBeUndefined();
    }
  });
});

describe('KeyRing', () => {
  const ring = new KeyRing([
    [hashKey('one'), 'a'],
    [hashKey('two'), 'b'],
    [hashKey('two'), 'c'],
  ]);

  it('finds the owner of each key, of two the first', () => {
    expect(ring.ownerOf(hashKey('one'))).toBe('a');
    expect(ring.ownerOf(hashKey('two'))).toBe('b');
  });

  it('knows nobody by a wrong digest, also one that begins as a right one', () => {
    expect(ring.ownerOf(hashKey('three'))).toBeUndefined();
    expect(ring.ownerOf('')).toBeUndefined();
    expect(ring.ownerOf(hashKey('one').slice(0, 8))).toBeUndefined();
    expect(ring.ownerOf(`${hashKey('one').slice(0, 62)}00`)).toBeUndefined();
  });
});
