/**
 * Splits a `text/event-stream` byte stream into complete events. The bytes stay
 * unchanged; the parser reads only the `id` field of each event. Pure.
 */

import { ByteAccumulator } from '../common/byte-accumulator.js';

/** One complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's `id` field, if it has one. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Longest part of a blank line that may stand at the end of the bytes searched so far. */
const PARTIAL_END_BYTES = 2;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Buffers bytes and returns complete events. Its cost is linear in the number of bytes. */
export class EventStreamParser {
  /** Bytes of an incomplete event. */
  private readonly incomplete = new ByteAccumulator();

  /** Appends bytes and returns the events that are now complete. */
  push(chunk: Buffer): StreamEvent[] {
    const searchedBytes = this.incomplete.length;
    this.incomplete.append(chunk);
    let end = endOfEvent(this.incomplete.bytes, Math.max(0, searchedBytes - PARTIAL_END_BYTES));
    if (end < 0) return [];
    const bytes = this.incomplete.take();
    const events: StreamEvent[] = [];
    let start = 0;
    while (end > 0) {
      events.push(toEvent(bytes.subarray(start, end)));
      start = end;
      end = endOfEvent(bytes, start);
    }
    if (start < bytes.length) this.incomplete.append(bytes.subarray(start));
    return events;
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get incompleteBytes(): number {
    return this.incomplete.length;
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes(): number {
    return this.incomplete.heldBytes;
  }
}

/** Byte position after the first blank line at or after `start`; -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (
    let position = bytes.indexOf(LINE_FEED, start);
    position >= 0;
    position = bytes.indexOf(LINE_FEED, position + 1)
  ) {
    if (bytes[position + 1] === LINE_FEED) return position + 2;
    if (bytes[position + 1] === CARRIAGE_RETURN && bytes[position + 2] === LINE_FEED)
      return position + 3;
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const match = ID_FIELD.exec(bytes.toString('latin1'));
  return { bytes, id: match?.[1]?.trim() };
}
