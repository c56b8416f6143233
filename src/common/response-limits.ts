/**
 * Bounds of an HTTP response that is received. A peer may send, in place of a response, bytes that do not stop
 * until the connection is closed.
 */
import type http from 'node:http';
import type { Socket } from 'node:net';

/** Largest head, trailer section or chunk extension, in bytes. Node's parser ends the connection above it. */
export const MAX_HEAD_BYTES = 16 * 1024;
/** Most 1xx heads before the final one. A peer may repeat 102 (RFC 2518) while it works; each of the others is due once. */
export const MAX_INFORMATIONAL_HEADS = 100;
/** What each part of a body counts in addition to its bytes: it costs an object and an event, however small it is. */
const PART_COST_BYTES = 256;
/** Framing that each part of a body may have: the size of a chunk in hexadecimal digits, and the ends of its lines. */
const PART_FRAMING_BYTES = 24;
/** Most bytes of chunk extensions and trailers of one response, however long it is. */
const MAX_EXTRA_FRAMING_BYTES = 16 * MAX_HEAD_BYTES;

/** Calls an action once if a response has more than {@link MAX_INFORMATIONAL_HEADS} heads before the final one. */
export function limitInformationalHeads(
  outgoing: http.ClientRequest,
  onExceeded: (reason: string) => void,
): void {
  let heads = 0;
  outgoing.on('information', () => {
    heads += 1;
    if (heads !== MAX_INFORMATIONAL_HEADS + 1) return;
    onExceeded(`more than ${MAX_INFORMATIONAL_HEADS} informational heads`);
  });
}

/** Measures a response by the bytes that its connection received, so that framing and trailers count as well. */
export class ResponseMeter {
  private measured = 0;
  private extraFraming = 0;
  private received: number;

  /** @param maxBytes - Largest response, or largest part of one between two calls of {@link restart}. */
  constructor(
    private readonly socket: Pick<Socket, 'bytesRead'>,
    private maxBytes: number,
  ) {
    this.received = socket.bytesRead;
  }

  /** Records that a part of the body has arrived. Returns why the response is refused; undefined if it is not. */
  recordPart(length: number): string | undefined {
    const received = this.socket.bytesRead - this.received;
    this.received += received;
    this.measured += received + PART_COST_BYTES;
    // Node reads several parts at once, so that the sum is meaningful, but no single part.
    this.extraFraming += received - length - PART_FRAMING_BYTES;
    if (this.extraFraming > MAX_EXTRA_FRAMING_BYTES) {
      return `more than ${MAX_EXTRA_FRAMING_BYTES} bytes of framing`;
    }
    return this.measured > this.maxBytes
      ? `more than ${this.maxBytes} bytes without an end (${this.measured} counted)`
      : undefined;
  }

  /** Starts to measure the next part of the response. */
  restart(maxBytes = this.maxBytes): void {
    this.measured = 0;
    this.maxBytes = maxBytes;
  }
}
