/** Callers that do not behave, each on a connection of its own that it writes to directly. */
import net from 'node:net';
import { splitAddress } from '../../src/common/http-client.js';
import { sleep } from '../../src/common/process.js';
import { HOST } from './caller.js';

const POLL_MS = 10;
/** Most bytes of received data that a caller keeps. */
const MAX_KEPT_CHARACTERS = 8_192;

/** A part of a request without an end: `next` gives what is written next; undefined stops writing. */
export type ByteSource = () => string | Buffer | undefined;

/** Returns a request's head; `fields` are further header lines. */
export function headOf(path: string, fields: readonly string[], method = 'POST'): string {
  const lines = [`${method} ${path} HTTP/1.1`, `host: ${HOST}`, 'x-deadline-ms: 20000', ...fields];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Returns a chunk of a chunked body. */
export function chunkOf(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Gives the parts once, and then nothing. */
export function once(...parts: readonly (string | Buffer)[]): ByteSource {
  let index = 0;
  return () => parts[index++];
}

/** Gives the first part, and then the same part over and over again. */
export function endless(first: string, part: string | Buffer): ByteSource {
  let isFirst = true;
  return () => {
    if (!isFirst) return part;
    isFirst = false;
    return first;
  };
}

/** Gives a head and then a part a number of times. */
export function repeated(
  first: string,
  part: string | Buffer,
  times: number,
  last = '',
): ByteSource {
  let given = -1;
  return () => {
    given += 1;
    if (given === 0) return first;
    if (given <= times) return part;
    return given === times + 1 && last !== '' ? last : undefined;
  };
}

/** One caller. */
export class CrowdCaller {
  received = '';
  writtenBytes = 0;
  /** Bytes that had been written when the first byte of an answer came. */
  writtenAtAnswer: number | undefined;
  isClosed = false;
  /** Whether everything that the source gives was written. */
  hasWritten = false;
  private readonly socket: net.Socket;

  constructor(
    address: string,
    private readonly source: ByteSource,
    reads = true,
  ) {
    const [host, port] = splitAddress(address);
    this.socket = net.connect({ host, port });
    this.socket.setNoDelay(true);
    if (reads) this.socket.on('data', (bytes: Buffer) => this.receive(bytes));
    else this.socket.pause();
    this.socket.on('error', () => {});
    this.socket.once('close', () => (this.isClosed = true));
    this.socket.once('connect', () => this.write());
    this.socket.on('drain', () => this.write());
  }

  /** Status of the first final answer; 0 without one. */
  get status(): number {
    return Number(/^HTTP\/1.1 (\d+)/.exec(this.received)?.[1] ?? 0);
  }

  /** Bytes that were written after the answer came; 0 without an answer. */
  get writtenAfterAnswer(): number {
    return this.writtenBytes - (this.writtenAtAnswer ?? this.writtenBytes);
  }

  /** Value of a header of the answer. */
  header(name: string): string | undefined {
    return new RegExp(`\r\n${name}: ([^\r]*)\r\n`, 'i').exec(this.received)?.[1];
  }

  close(): void {
    this.socket.destroy();
  }

  private write(): void {
    while (!this.socket.destroyed) {
      const part = this.source();
      if (part === undefined) {
        this.hasWritten = true;
        return;
      }
      this.writtenBytes += part.length;
      if (!this.socket.write(part)) return;
    }
  }

  private receive(bytes: Buffer): void {
    this.writtenAtAnswer ??= this.writtenBytes;
    if (this.received.length < MAX_KEPT_CHARACTERS) this.received += bytes.toString('latin1');
  }
}

/** What a crowd of a soak sends. */
export type CrowdShape =
  'small_chunks' | 'unfinished_bodies' | 'endless_bodies' | 'trailers' | 'heads' | 'pipelined';

/** All shapes. */
export const CROWD_SHAPES: readonly CrowdShape[] = [
  'small_chunks',
  'unfinished_bodies',
  'endless_bodies',
  'trailers',
  'heads',
  'pipelined',
];

const KILOBYTE = 1024;
const CHUNKED = ['transfer-encoding: chunked'];
const FIELD = `a: ${'x'.repeat(KILOBYTE)}\r\n`;
/** Pipelined requests that one caller sends. */
const PIPELINED_REQUESTS = 400;

/** Returns what one caller of a shape sends to a path. */
export function sourceOf(shape: CrowdShape, path: string): ByteSource {
  const head = headOf(path, CHUNKED);
  switch (shape) {
    case 'small_chunks':
      return repeated(head, chunkOf(1).repeat(KILOBYTE), 40);
    case 'unfinished_bodies':
      return repeated(head, chunkOf(16 * KILOBYTE), 3);
    case 'endless_bodies':
      return endless(head, chunkOf(16 * KILOBYTE));
    case 'trailers':
      return repeated(`${head}${chunkOf(8)}0\r\n`, FIELD, 120);
    case 'heads':
      return repeated(`POST ${path} HTTP/1.1\r\n`, FIELD, 120);
    case 'pipelined':
      return once(headOf('/none/x', ['content-length: 0']).repeat(PIPELINED_REQUESTS));
  }
}

/** Callers that do the same. */
export class Crowd {
  readonly callers: CrowdCaller[];

  constructor(address: string, size: number, source: () => ByteSource, reads = true) {
    this.callers = Array.from({ length: size }, () => new CrowdCaller(address, source(), reads));
  }

  /** Resolves once a condition holds for each caller, or `isOver` does. */
  async until(
    condition: (caller: CrowdCaller) => boolean,
    isOver: () => boolean = () => false,
  ): Promise<void> {
    while (!isOver() && !this.callers.every(condition)) await sleep(POLL_MS);
  }

  /** Number of callers that got an answer. */
  get answered(): number {
    return this.callers.filter(({ status }) => status > 0).length;
  }

  /** Number of callers whose connection is closed. */
  get closed(): number {
    return this.callers.filter(({ isClosed }) => isClosed).length;
  }

  close(): void {
    for (const caller of this.callers) caller.close();
  }
}

/** What became of a crowd of a soak by the time it left. */
export interface CrowdRecord {
  readonly shape: CrowdShape;
  readonly answered: number;
  readonly closed: number;
}
