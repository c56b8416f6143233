/**
 * API keys that authenticate callers and operators. Only the SHA-256 digest of a key is
 * stored, and digests are compared in constant time. Pure.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Leading hexadecimal digits of a digest that index the lookup table; full digests are then compared in constant time. */
const PREFIX_DIGITS = 8;

/** Returns the SHA-256 digest of a key in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Returns the digest of the key in an Authorization header, or undefined if the header carries no
 * key of that scheme.
 *
 * @param header - Value of the header.
 * @param scheme - Authentication scheme before the key, such as "Bearer"; case-insensitive.
 */
export function credentialHash(header: string | undefined, scheme: string): string | undefined {
  if (header === undefined) return undefined;
  const space = header.indexOf(' ');
  if (space < 0 || header.slice(0, space).toLowerCase() !== scheme.toLowerCase()) return undefined;
  const key = header.slice(space + 1).trim();
  return key === '' ? undefined : hashKey(key);
}

/** Returns whether a key digest is in the list of allowed digests. */
export function isAllowed(hash: string, allowed: readonly string[]): boolean {
  const candidate = Buffer.from(hash, 'hex');
  return allowed.some((entry) => timingSafeEqual(candidate, Buffer.from(entry, 'hex')));
}

/** Maps key digests to the owners of the keys. Immutable. */
export class KeyRing<Owner> {
  /** Entries by digest prefix of {@link PREFIX_DIGITS} digits. */
  private readonly entries = new Map<string, { digest: Buffer; owner: Owner }[]>();

  /** @param keys - Digests in hexadecimal with their owners. If a digest occurs twice, its first owner is used. */
  constructor(keys: Iterable<readonly [digest: string, owner: Owner]>) {
    for (const [digest, owner] of keys) {
      if (this.ownerOf(digest) !== undefined) continue;
      const prefix = digest.slice(0, PREFIX_DIGITS);
      const samePrefix = this.entries.get(prefix) ?? [];
      samePrefix.push({ digest: Buffer.from(digest, 'hex'), owner });
      this.entries.set(prefix, samePrefix);
    }
  }

  /** Returns the owner of the key with this digest, or undefined if the digest is not registered. */
  ownerOf(digest: string): Owner | undefined {
    const samePrefix = this.entries.get(digest.slice(0, PREFIX_DIGITS)) ?? [];
    const candidate = Buffer.from(digest, 'hex');
    return samePrefix.find((entry) => {
      return entry.digest.length === candidate.length && timingSafeEqual(entry.digest, candidate);
    })?.owner;
  }
}
