/** Converts origins of streams to and from messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { KnownOrigin, StreamOrigin } from '../core/stream-origins.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  StreamOriginAnswerSchema,
  StreamOriginNoticeSchema,
  StreamOriginQuestionSchema,
  type StreamOriginAnswer,
  type StreamOriginNotice,
} from '../proto/gen/internal_pb.js';

/** The origin of one stream, as a message has it. */
export interface NotedOrigin {
  /** Key of the stream, in hexadecimal. */
  readonly stream: string;
  readonly origin: StreamOrigin;
  readonly lifetimeMs: number;
}

/** Encodes where a stream has begun. */
export function encodeNotice(noted: NotedOrigin): PeerBody {
  return { case: 'streamOriginNotice', value: noticeOf(noted) };
}

/** Decodes where a stream has begun. */
export function decodeNotice(message: StreamOriginNotice): NotedOrigin {
  const { service, softwareVersion, lifetimeMs } = message;
  return { stream: hexOf(message.stream), origin: { service, softwareVersion }, lifetimeMs };
}

/** Encodes the question where a stream has begun. */
export function encodeQuestion(stream: string): PeerBody {
  const value = create(StreamOriginQuestionSchema, { stream: bytesOf(stream) });
  return { case: 'streamOriginQuestion', value };
}

/** Encodes the answer to a question; `known` is undefined if this daemon does not know the stream. */
export function encodeAnswer(stream: string, known: KnownOrigin | undefined): PeerBody {
  const value = create(StreamOriginAnswerSchema, { stream: bytesOf(stream) });
  if (known !== undefined) {
    const { origin, remainingMs } = known;
    value.origin = noticeOf({ stream, origin, lifetimeMs: remainingMs });
    value.ageMs = Math.round(known.ageMs);
  }
  return { case: 'streamOriginAnswer', value };
}

/** Decodes the answer to a question: the stream, and its origin if the sender knows it. */
export function decodeAnswer({ stream, origin, ageMs }: StreamOriginAnswer): {
  readonly stream: string;
  readonly noted: NotedOrigin | undefined;
  readonly ageMs: number;
} {
  return { stream: hexOf(stream), noted: origin && decodeNotice(origin), ageMs };
}

function noticeOf({ stream, origin, lifetimeMs }: NotedOrigin): StreamOriginNotice {
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
