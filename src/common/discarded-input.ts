/** Reads and discards a bounded part of what still comes on a connection whose caller was answered before it had sent everything. */
import type { Readable } from 'node:stream';

/** Most bytes that are read after an answer. A reset by unread bytes may reach a caller before it has read its answer. */
export const MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

/**
 * Discards what comes, and stops to read after {@link MAX_DISCARDED_BYTES}.
 *
 * @param onLimit - Called when it stops.
 */
export function discardRest(input: Readable, onLimit: () => void = () => {}): void {
  let discardedBytes = 0;
  const discard = (chunk: Buffer): void => {
    discardedBytes += chunk.length;
    if (discardedBytes <= MAX_DISCARDED_BYTES) return;
    input.removeListener('data', discard);
    input.pause();
    onLimit();
  };
  input.on('data', discard);
  input.resume();
}
