import { describe, expect, it } from 'vitest';
import { credentialHash, hashKey, KeyRing } from '../../../src/core/admission/api-keys.js';

describe('credentialHash', () => {
  it('hashes the key after the scheme, ignoring the case of the scheme and surrounding blanks', () => {
    expect(credentialHash('Token abc', 'Token')).toBe(hashKey('abc'));
    expect(credentialHash('tOKEN   abc ', 'Token')).toBe(hashKey('abc'));
  });

  it('returns undefined for another scheme or an empty key', () => {
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

  it('returns the owner of each key, and the first owner of a duplicate key', () => {
    expect(ring.ownerOf(hashKey('one'))).toBe('a');
    expect(ring.ownerOf(hashKey('two'))).toBe('b');
  });

  it('returns undefined for an unknown digest, even if it shares a prefix with a known one', () => {
    expect(ring.ownerOf(hashKey('three'))).toBeUndefined();
    expect(ring.ownerOf('')).toBeUndefined();
    expect(ring.ownerOf(hashKey('one').slice(0, 8))).toBeUndefined();
    expect(ring.ownerOf(`${hashKey('one').slice(0, 62)}00`)).toBeUndefined();
  });
});
