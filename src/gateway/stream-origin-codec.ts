/** Converts origins of streams to and from messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { KnownOrigin, StreamOrigin } from '../core/stream-origins.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  StreamOriginResponseSchema,
  StreamOriginNoticeSchema,
  StreamOriginRequestSchema,
  type StreamOriginResponse,
  type StreamOriginNotice,
} from '../proto/gen/internal_pb.js';

/** The origin of one stream, as a message carries it. */
export interface OriginNotice {
  /** Key of the stream, in hexadecimal. */
  readonly stream: string;
  readonly origin: StreamOrigin;
  readonly lifetimeMs: number;
}

/** Encodes a notification of a stream's origin. */
export function encodeNotice(notice: OriginNotice): PeerBody {
  return { case: 'streamOriginNotice', value: noticeOf(notice) };
}

/** Decodes a notification of a stream's origin. */
export function decodeNotice(message: StreamOriginNotice): OriginNotice {
  const { service, softwareVersion, lifetimeMs } = message;
  return { stream: hexOf(message.stream), origin: { service, softwareVersion }, lifetimeMs };
}

/** What the caller of a stream requests. */
export interface StreamTarget {
  readonly host: string;
  readonly path: string;
}

/**
 * Encodes a request for the origin of a stream.
 *
 * @param target - Set if the stream's caller has not named it.
 */
export function encodeRequest(stream: string, target: StreamTarget | undefined): PeerBody {
  const value = create(StreamOriginRequestSchema, { stream: bytesOf(stream), ...target });
  return { case: 'streamOriginRequest', value };
}

/**
 * Encodes the response; `known` is undefined if this daemon has no record of the stream.
 *
 * @param observedTooBriefly - Whether the daemon cannot infer the origin only for lack of time.
 */
export function encodeResponse(
  stream: string,
  known: KnownOrigin | undefined,
  observedTooBriefly = false,
): PeerBody {
  const value = create(StreamOriginResponseSchema, { stream: bytesOf(stream), observedTooBriefly });
  if (known !== undefined) {
    const { origin, remainingMs } = known;
    value.origin = noticeOf({ stream, origin, lifetimeMs: remainingMs });
    value.ageMs = Math.round(known.ageMs);
  }
  return { case: 'streamOriginResponse', value };
}

/** Decodes a response: the stream, and its origin if the sender has a record of it. */
export function decodeResponse(message: StreamOriginResponse): {
  readonly stream: string;
  readonly notice: OriginNotice | undefined;
  readonly ageMs: number;
  readonly observedTooBriefly: boolean;
} {
  const { stream, origin, ageMs, observedTooBriefly } = message;
  const notice = origin && decodeNotice(origin);
  return { stream: hexOf(stream), notice, ageMs, observedTooBriefly };
}

function noticeOf({ stream, origin, lifetimeMs }: OriginNotice): StreamOriginNotice {
  return create(StreamOriginNoticeSchema, {
    stream: bytesOf(stream),
    ...origin,
    lifetimeMs: Math.round(lifetimeMs),
  });
}

/** Key of a stream in a message, in hexadecimal. */
export function hexOf(stream: Uint8Array): string {
  return Buffer.from(stream).toString('hex');
}

function bytesOf(stream: string): Uint8Array {
  return Buffer.from(stream, 'hex');
}
