/** Identifies a stream and its caller by a digest of fixed size. */
import { createHash } from 'node:crypto';
import { hostOf, type CallerRequest } from './caller-request.js';

/** Hexadecimal digits of a key: 16 bytes, so that two streams cannot have the same key by chance or by intent. */
const KEY_DIGITS = 32;

/**
 * Returns the key of the stream whose first event an attempt has brought to the caller of a request. Another caller, or one that
 * asks for another path or model, gets another key for the same attempt id.
 */
export function streamKeyOf(attemptId: string, request: CallerRequest): string {
  const { head, method, path, rawHeaders } = request;
  const { model, keyDigest } = head;
  const caller = [method, hostOf(rawHeaders), path, keyDigest ?? ''];
  const parts = [attemptId, ...caller, model?.model ?? '', model?.adapter ?? ''];
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex').slice(0, KEY_DIGITS);
}
