/** Percent-encoding of names from outside, which may hold code units that are no text. */

/**
 * Encodes a name as one segment of a path. `encodeURIComponent` throws for an unpaired surrogate, which JSON can
 * carry; it is encoded as the replacement character.
 */
export function encodePathSegment(name: string): string {
  return encodeURIComponent(Buffer.from(name, 'utf8').toString('utf8'));
}
