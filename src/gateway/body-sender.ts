/**
 * Writes a request's body in pieces, so that it can be seen whether the backend takes it: one that reads a long
 * body slowly is not silent.
 */
import type http from 'node:http';
import { steadyNow } from './steady-clock.js';

/** A shorter body is written at once: the kernel takes it whole. */
const PIECE_BYTES = 64 * 1024;
/** So much may have left this process and still lie unread at either end of the connection. */
const KERNEL_BYTES = 4 * 1024 * 1024;

/** One body on its way. */
export class BodySender {
  /**
   * Steady time up to which the backend is known, or expected, to take the body; -Infinity for one that is
   * written at once.
   */
  takenUntil = -Infinity;
  private readonly startedAt = steadyNow();
  private at = 0;

  constructor(
    private readonly outgoing: http.ClientRequest,
    private readonly body: Buffer,
  ) {
    if (body.length <= PIECE_BYTES) {
      outgoing.end(body);
      return;
    }
    outgoing.on('drain', () => this.writeOn());
    this.writeOn();
  }

  private writeOn(): void {
    const { outgoing, body } = this;
    this.takenUntil = steadyNow();
    while (this.at < body.length && !outgoing.destroyed) {
      const piece = body.subarray(this.at, this.at + PIECE_BYTES);
      this.at += piece.length;
      if (this.at < body.length) {
        if (!outgoing.write(piece)) return;
        continue;
      }
      this.takenUntil += this.expectedRestMs();
      outgoing.end(piece);
    }
  }

  /** Milliseconds for what the kernel holds when the last piece is written, at the pace of all before. */
  private expectedRestMs(): number {
    const held = Math.min(KERNEL_BYTES, this.body.length / 2);
    return ((steadyNow() - this.startedAt) * held) / (this.body.length - held);
  }
}
