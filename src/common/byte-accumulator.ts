/** Collects bytes that arrive in parts, at a cost that is linear in their number, however small the parts are. */

/** Bytes in one buffer that grows by doubling. The parts are copied, so that none of their buffers is kept. */
export class ByteAccumulator {
  private buffer: Buffer = Buffer.alloc(0);
  private used = 0;

  /** @param expectedBytes - Number of bytes that are expected at most: the buffer grows beyond them only as far as needed. */
  constructor(private readonly expectedBytes = Infinity) {}

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

  /** Bytes of memory that are in use once `bytes` more are appended. */
  heldBytesWith(bytes: number): number {
    const needed = this.used + bytes;
    if (needed <= this.buffer.length) return this.buffer.length;
    return Math.max(needed, Math.min(2 * this.buffer.length, this.expectedBytes));
  }

  append(part: Buffer): void {
    const size = this.heldBytesWith(part.length);
    if (size > this.buffer.length) this.grow(size);
    part.copy(this.buffer, this.used);
    this.used += part.length;
  }

  /** Returns the collected bytes, which nothing overwrites any more, and starts with none. */
  take(): Buffer {
    const taken = this.bytes;
    this.buffer = Buffer.alloc(0);
    this.used = 0;
    return taken;
  }

  private grow(size: number): void {
    const grown = Buffer.allocUnsafeSlow(size);
    this.buffer.copy(grown, 0, 0, this.used);
    this.buffer = grown;
  }
}
