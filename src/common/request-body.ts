/** Reads the body of one request into the memory that was reserved for it. */
import type http from 'node:http';
import type { RequestReservation } from '../core/request-memory.js';
import { ByteAccumulator } from './byte-accumulator.js';
import type { ErrorKind } from './errors.js';

/** Number of parts from which a body counts as one in very many parts, if they are small. */
const FRAGMENTED_PARTS = 4_096;
/** Mean size of small parts, in bytes. */
const SMALL_PART_BYTES = 256;

/** Why a body is not read to its end. */
export type BodyRefusal = Extract<ErrorKind, 'body_too_large' | 'overloaded'>;

/** What {@link RequestBody} needs of a reservation. */
export type BodyReservation = Pick<
  RequestReservation,
  'beginBody' | 'beginFragmented' | 'record' | 'complete'
>;

/** Options of {@link RequestBody}. */
export interface RequestBodyOptions {
  /** Largest body in bytes. */
  readonly limitBytes: number;
  readonly reservation: BodyReservation;
  /** Called with the whole body. */
  readonly onComplete: (body: Buffer) => void;
  /** Called once if the body is too large, or if there is no memory for it. Nothing is kept of it any more. */
  readonly onRefused: (kind: BodyRefusal) => void;
}

/** The body of one request while it is received. */
export class RequestBody {
  private readonly received: ByteAccumulator;
  private isEnded = false;
  private parts = 0;

  constructor(
    request: http.IncomingMessage,
    private readonly options: RequestBodyOptions,
  ) {
    const { limitBytes } = options;
    const declaredBytes = Number(request.headers['content-length'] ?? NaN);
    this.received = new ByteAccumulator(Number.isNaN(declaredBytes) ? limitBytes : declaredBytes);
    request.on('error', () => request.destroy());
    if (declaredBytes > limitBytes) {
      this.refuse('body_too_large');
      return;
    }
    options.reservation.beginBody(() => this.refuse('overloaded'));
    request.on('data', (chunk: Buffer) => this.receive(chunk));
    request.on('end', () => this.complete());
  }

  private receive(chunk: Buffer): void {
    if (this.isEnded) return;
    const { limitBytes, reservation } = this.options;
    if (this.received.length + chunk.length > limitBytes) return this.refuse('body_too_large');
    this.parts += 1;
    if (this.hasBecomeFragmented() && !reservation.beginFragmented()) {
      return this.refuse('overloaded');
    }
    // The memory is reserved before it is taken.
    if (!reservation.record(this.received.heldBytesWith(chunk.length))) {
      return this.refuse('overloaded');
    }
    this.received.append(chunk);
  }

  private hasBecomeFragmented(): boolean {
    const { parts } = this;
    return parts === FRAGMENTED_PARTS && this.received.length < parts * SMALL_PART_BYTES;
  }

  private refuse(kind: BodyRefusal): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.received.take();
    this.options.onRefused(kind);
  }

  private complete(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.reservation.complete();
    this.options.onComplete(this.received.take());
  }
}
