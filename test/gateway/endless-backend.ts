/** A backend that answers some requests with bytes that do not stop until the connection is closed. */
import net from 'node:net';
import { TestBackend } from './gateway-harness.js';

/** Ends a test that would otherwise never end: the most bytes of one answer. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;
/** Size of one write. */
const WRITE_BYTES = 32 * 1024;

/** An answer that begins with some bytes and then repeats others for good. */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
}

const SIGNED_HEAD = (id: string, fields: string): string =>
  `HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: ${id}\r\n${fields}\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n';

/** Answers without an end, each for the request with an id. */
export const ENDLESS_ANSWERS: Readonly<Record<string, (id: string) => EndlessAnswer>> = {
  'a body in chunks': (id) => ({
    start: SIGNED_HEAD(id, CHUNKED),
    repeated: `1000\r\n${'x'.repeat(0x1000)}\r\n`,
  }),
  'a body in chunks of one byte': (id) => ({
    start: SIGNED_HEAD(id, CHUNKED),
    repeated: '1\r\nx\r\n',
  }),
  'a body in chunks with long extensions': (id) => ({
    start: SIGNED_HEAD(id, CHUNKED),
    repeated: `1;${'e'.repeat(8_000)}\r\nx\r\n`,
  }),
  'a body without a length': (id) => ({ start: SIGNED_HEAD(id, ''), repeated: 'x'.repeat(1_000) }),
  'a body of an enormous length': (id) => ({
    start: SIGNED_HEAD(id, 'content-length: 9007199254740991\r\n'),
    repeated: 'x'.repeat(1_000),
  }),
  'heads before the final one': () => ({ start: '', repeated: 'HTTP/1.1 103 X\r\n\r\n' }),
  'one head': (id) => ({
    start: SIGNED_HEAD(id, '').slice(0, -2),
    repeated: `x: ${'x'.repeat(99)}`,
  }),
  trailers: (id) => ({ start: `${SIGNED_HEAD(id, CHUNKED)}0\r\n`, repeated: 'x: x\r\n' }),
  'one extension of a chunk': (id) => ({
    start: `${SIGNED_HEAD(id, CHUNKED)}1;`,
    repeated: 'e'.repeat(1_000),
  }),
  noise: () => ({ start: '', repeated: '\u0001\u00fe noise' }),
};

/** Events of streams without an end. */
export const ENDLESS_EVENTS: Readonly<Record<string, (id: string) => EndlessAnswer>> = {
  'an event in large chunks': (id) => ({
    start: `${SIGNED_HEAD(id, CHUNKED)}9\r\ndata: x\n\n\r\n`,
    repeated: `1000\r\n${'data: x\n'.repeat(0x200)}\r\n`,
  }),
  'an event in chunks of one byte': (id) => ({
    start: `${SIGNED_HEAD(id, CHUNKED)}9\r\ndata: x\n\n\r\n`,
    repeated: '1\r\nx\r\n',
  }),
  'an event without a length': (id) => ({
    start: `${SIGNED_HEAD(id, '')}data: x\n\n`,
    repeated: 'x'.repeat(1_000),
  }),
};

/** What one endless answer came to. */
export interface EndlessRun {
  sentBytes: number;
  isClosed: boolean;
}

/** Answers a request whose id begins with "endless" without an end, and others by `whole`. */
export class EndlessBackend extends TestBackend {
  readonly runs: EndlessRun[] = [];
  /** Whether every request is answered without an end, whatever its id. */
  isAlwaysEndless = false;
  private readonly sockets = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => this.receive(socket, bytes.toString('latin1')));
  });
  endless = (id: string): EndlessAnswer =>
    ENDLESS_ANSWERS.noise?.(id) ?? { start: '', repeated: '' };
  whole = (id: string): string => `${SIGNED_HEAD(id, 'content-length: 2\r\n')}ok`;

  override async start(): Promise<void> {
    await new Promise<void>((resolve) => this.sockets.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(this.sockets.address() as net.AddressInfo).port}`;
  }

  override stop(): void {
    this.sockets.close();
  }

  private receive(socket: net.Socket, request: string): void {
    const id = /^request-id: (\S+)/im.exec(request)?.[1] ?? '';
    if (id === '' && !this.isAlwaysEndless) return;
    this.arrivals.push(id);
    if (!this.isAlwaysEndless && !id.startsWith('endless'))
      return void socket.write(this.whole(id), 'latin1');
    const { start, repeated } = this.endless(id);
    const run = { sentBytes: 0, isClosed: false };
    this.runs.push(run);
    socket.once('close', () => (run.isClosed = true));
    socket.write(start, 'latin1');
    pump(socket, run, repeatedBytes(repeated));
  }
}

function pump(socket: net.Socket, run: EndlessRun, bytes: Buffer): void {
  if (bytes.length === 0) return;
  const next = (): void => {
    if (socket.destroyed || run.sentBytes > MAX_SENT_BYTES) return;
    run.sentBytes += bytes.length;
    if (socket.write(bytes)) setImmediate(next);
    else socket.once('drain', next);
  };
  next();
}

function repeatedBytes(repeated: string): Buffer {
  const count = repeated === '' ? 0 : Math.ceil(WRITE_BYTES / repeated.length);
  return Buffer.from(repeated.repeat(count), 'latin1');
}
