/**
 * Writes a request's body in chunks to observe whether the backend reads it: a backend that slowly reads a long
 * body must not count as unresponsive.
 */
import type http from 'node:http';

/** Size of a chunk. A body up to this size is written at once because it fits into the kernel's buffer. */
const CHUNK_BYTES = 64 * 1024;
/**
 * Bytes that this process has written but that the backend may not have read: they are in the kernel buffers of
 * both ends.
 */
const KERNEL_BUFFER_BYTES = 4 * 1024 * 1024;

/** Sends one request body. */
export class BodySender {
  /**
   * Time of the clock until which the backend is known or expected to read the body; -Infinity if the body is
   * written at once.
   */
  readUntil = -Infinity;
  private readonly startedAt: number;
  private offset = 0;
  private isWritten = false;

  /** @param now - Clock in milliseconds; without the pauses of this process if the backend's silence is judged by it. */
  constructor(
    private readonly outgoing: http.ClientRequest,
    private readonly body: Buffer,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    if (body.length <= CHUNK_BYTES) {
      outgoing.end(body);
      this.isWritten = true;
      return;
    }
    outgoing.on('drain', () => this.writeMore());
    this.writeMore();
  }

  /** Whether the backend has read the whole body, as far as this process can tell. */
  get isRead(): boolean {
    return this.isWritten && this.now() >= this.readUntil;
  }

  private writeMore(): void {
    const { outgoing, body } = this;
    this.readUntil = this.now();
    while (this.offset < body.length && !outgoing.destroyed) {
      const chunk = body.subarray(this.offset, this.offset + CHUNK_BYTES);
      this.offset += chunk.length;
      if (this.offset < body.length) {
        if (!outgoing.write(chunk)) return;
        continue;
      }
      this.readUntil += this.expectedRemainingMs();
      outgoing.end(chunk);
      this.isWritten = true;
    }
  }

  /**
   * Returns the expected milliseconds to read the kernel's buffered bytes after the last chunk, at the average
   * rate so far.
   */
  private expectedRemainingMs(): number {
    const bufferedBytes = Math.min(KERNEL_BUFFER_BYTES, this.body.length / 2);
    return ((this.now() - this.startedAt) * bufferedBytes) / (this.body.length - bufferedBytes);
  }
}
