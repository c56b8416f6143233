/** A caller that writes its request byte by byte, and the pieces of its body. */
import net from 'node:net';
import { pause } from './gateway-harness.js';

/** One piece of a body. */
export const PIECE = 'x'.repeat(1_000);

/** A caller whose connection a test writes to directly. */
export class RawCaller {
  received = '';
  /** How the connection ended: in order, or by an error of this side's reading or writing. */
  closedBy: 'end' | 'error' | undefined;
  private readonly socket: net.Socket;

  constructor(address: string) {
    const [host = '', port] = address.split(':');
    // Like a caller that reads the answer only after it has written its whole request.
    this.socket = net.connect({ port: Number(port), host, allowHalfOpen: true });
    this.socket.setNoDelay(true);
    this.socket.on('data', (chunk) => (this.received += chunk.toString()));
    this.socket.on('error', () => (this.closedBy = 'error'));
    this.socket.on('end', () => (this.closedBy ??= 'end'));
  }

  write(text: string): void {
    if (!this.socket.destroyed) this.socket.write(text);
  }

  /** Writes a head that announces a body of this many pieces. */
  writeHead(id: string, pieces: number, deadlineMs = 1_000): void {
    const length = pieces * PIECE.length;
    this.write(
      `POST /work/x HTTP/1.1\r\nhost: service.test\r\nrequest-id: ${id}\r\n` +
        `deadline: ${deadlineMs}\r\ncontent-length: ${length}\r\n\r\n`,
    );
  }

  get status(): number {
    return Number(/^HTTP\/1.1 (\d+)/.exec(this.received)?.[1] ?? 0);
  }

  /** Waits until the answer's head and body have come, or the connection is closed. */
  async answered(): Promise<void> {
    for (let waited = 0; waited < 6_000; waited += 20) {
      if (this.closedBy !== undefined || /\r\n\r\n./.test(this.received)) return;
      await pause(20);
    }
  }

  close(): void {
    this.socket.destroy();
  }
}
