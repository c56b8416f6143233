/**
 * Splits a `text/event-stream` byte stream into complete events. The bytes stay
 * unchanged; the parser reads only the `id` field of each event. Pure.
 */

/** One complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's `id` field, if it has one. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Buffers bytes and returns complete events. */
export class EventStreamParser {
  private buffered: Buffer = Buffer.alloc(0);

  /** Appends bytes and returns the events that are now complete. */
  push(chunk: Buffer): StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (
      let end = endOfEvent(this.buffered, start);
      end > 0;
      end = endOfEvent(this.buffered, start)
    ) {
      events.push(toEvent(this.buffered.subarray(start, end)));
      start = end;
    }
    this.buffered = this.buffered.subarray(start);
    return events;
  }

  /** Number of buffered bytes that belong to an incomplete event. */
  get incompleteBytes(): number {
    return this.buffered.length;
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
