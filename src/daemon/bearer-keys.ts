/** Bearer keys: only their SHA-256 is ever kept. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type http from 'node:http';

/** SHA-256 of a key in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/** Hash of the bearer key of a request; undefined if it has none. */
export function bearerHash(request: http.IncomingMessage): string | undefined {
  const match = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '');
  return match?.[1] === undefined ? undefined : hashKey(match[1].trim());
}

/** Whether a hash is among those that open a door. */
export function isAllowed(hash: string, allowed: readonly string[]): boolean {
  const given = Buffer.from(hash, 'hex');
  return allowed.some((entry) => timingSafeEqual(given, Buffer.from(entry, 'hex')));
}
