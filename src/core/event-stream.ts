/**
 * Cuts a byte stream of `text/event-stream` into whole events. Bytes are kept
 * exactly as they came; only the identifier of each event is read. Pure.
 */

/** One whole event, with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** The event's `id` field, if it has one. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Collects bytes and returns whole events. */
export class EventStreamParser {
  private rest: Buffer = Buffer.alloc(0);

  /** Adds bytes; returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(this.rest, start); end > 0; end = endOfEvent(this.rest, start)) {
      events.push(eventOf(this.rest.subarray(start, end)));
      start = end;
    }
    this.rest = this.rest.subarray(start);
    return events;
  }

  /** Bytes of an event that is not whole. */
  get incomplete(): number {
    return this.rest.length;
  }
}

/** Position behind the first blank line at or after `start`; -1 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
}

function eventOf(bytes: Buffer): StreamEvent {
  const match = ID_FIELD.exec(bytes.toString('latin1'));
  return { bytes, id: match?.[1]?.trim() };
}
