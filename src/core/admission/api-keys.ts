/**
 * Keys that callers and operators prove themselves with. Only the SHA-256 of a key is
 * ever kept, and digests are compared in constant time. Pure.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Hexadecimal digits of a digest by which it is looked up; the rest is compared in constant time. */
const PREFIX_DIGITS = 8;

/** SHA-256 of a key in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Hash of the key in an Authorization header; undefined if it has none of that scheme.
 *
 * @param header - Value of the header.
 * @param scheme - Word before the key, in any case, such as "Bearer".
 */
export function credentialHash(header: string | undefined, scheme: string): string | undefined {
  if (header === undefined) return undefined;
  const space = header.indexOf(' ');
  if (space < 0 || header.slice(0, space).toLowerCase() !== scheme.toLowerCase()) return undefined;
  const key = header.slice(space + 1).trim();
  return key === '' ? undefined : hashKey(key);
}

/** Whether a hash is among those that open a door. */
export function isAllowed(hash: string, allowed: readonly string[]): boolean {
  const given = Buffer.from(hash, 'hex');
  return allowed.some((entry) => timingSafeEqual(given, Buffer.from(entry, 'hex')));
}

/** Finds the owner of a key among many. Immutable. */
export class KeyRing<Owner> {
  /** By the first digits of the digest. */
  private readonly entries = new Map<string, { digest: Buffer; owner: Owner }[]>();

  /** @param keys - Digests in hexadecimal and their owners; of two owners of a key the first counts. */
  constructor(keys: Iterable<readonly [digest: string, owner: Owner]>) {
    for (const [digest, owner] of keys) {
      if (this.ownerOf(digest) !== undefined) continue;
      const prefix = digest.slice(0, PREFIX_DIGITS);
      const alike = this.entries.get(prefix) ?? [];
      alike.push({ digest: Buffer.from(digest, 'hex'), owner });
      this.entries.set(prefix, alike);
    }
  }

  /** The owner of the key with this digest; undefined if nobody has it. */
  ownerOf(digest: string): Owner | undefined {
    const alike = this.entries.get(digest.slice(0, PREFIX_DIGITS)) ?? [];
    const given = Buffer.from(digest, 'hex');
    return alike.find((entry) => {
      return entry.digest.length === given.length && timingSafeEqual(entry.digest, given);
    })?.owner;
  }
}
