/** Reads and discards a bounded part of what still comes on a connection whose caller was answered before it had sent everything. */
import type { Readable } from 'node:stream';
import { LimitedRequest } from './limited-request.js';

/** Most bytes that are read after an answer. A reset by unread bytes may reach a caller before it has read its answer. */
export const MAX_DISCARDED_BYTES = 4 * 1024 * 1024;
/** Most parts that are read after an answer: each costs processor time, however small it is. */
const MAX_DISCARDED_PARTS = 1_024;

/**
 * Discards what comes, up to {@link MAX_DISCARDED_BYTES} and a number of parts.
 *
 * @param onLimit - Called once beyond the limit: the connection should be closed.
 */
export function discardRest(input: Readable, onLimit: () => void = () => {}): void {
  let discardedBytes = 0;
  let parts = 0;
  let isOver = false;
  const discard = (part: Buffer): void => {
    if (isOver) return;
    discardedBytes += part.length;
    parts += 1;
    if (discardedBytes <= MAX_DISCARDED_BYTES && parts <= MAX_DISCARDED_PARTS) return;
    isOver = true;
    // A paused stream would keep the parts that were read already, of which there may be thousands.
    if (input instanceof LimitedRequest) input.stopReading();
    else input.pause();
    onLimit();
  };
  input.on('data', discard);
  input.resume();
}
