/** Collects bytes that arrive in parts, at a cost that is linear in their number, however small the parts are. */

/** Bytes in one buffer that grows by doubling. The parts are copied, so that none of their buffers is kept. */
export class ByteAccumulator {
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.used;
  }

  /** Bytes of memory that are in use. */
  get heldBytes(): number {
    return this.buffer.length;
  }

  /** The collected bytes; valid until the next call of {@link append}. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.used);
  }

  append(part: Buffer): void {
    const needed = this.used + part.length;
    if (needed > this.buffer.length) this.grow(needed);
    part.copy(this.buffer, this.used);
    this.used = needed;
  }

  /** Returns the collected bytes, which nothing overwrites any more, and starts with none. */
  take(): Buffer {
    const taken = this.bytes;
    this.buffer = Buffer.alloc(0);
    this.used = 0;
    return taken;
  }

  private grow(needed: number): void {
    const size = Math.max(needed, 2 * this.buffer.length);
    const grown = Buffer.allocUnsafeSlow(size);
    this.buffer.copy(grown, 0, 0, this.used);
    this.buffer = grown;
  }
}
