/** Between beliefs of backends' rate limits and the internal protocol's messages. */
import { create } from '@bufbuild/protobuf';
import type { RecordedRateLimit } from '../core/backend-rate-limits.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  BackendRateLimitSchema,
  BackendRateLimitsSchema,
  type BackendRateLimits,
} from '../proto/gen/internal_pb.js';

/** Entries of a message that are read; a daemon of our own tells no more. */
const MOST_ENTRIES = 2_048;

/** News, or all that is known. */
export function encodeRateLimits(beliefs: readonly RecordedRateLimit[]): PeerBody {
  const limits = beliefs.map(({ backend, generation, perSecond }) => {
    const { id, start = '' } = backend;
    return create(BackendRateLimitSchema, { id, start, generation, perSecond });
  });
  return { case: 'backendRateLimits', value: create(BackendRateLimitsSchema, { limits }) };
}

/** A question to a daemon that may know something else. */
export function encodeRateLimitQuestion(knownDigest: number): PeerBody {
  return { case: 'backendRateLimits', value: create(BackendRateLimitsSchema, { knownDigest }) };
}

/** Beliefs out of a message; an entry with a limit that is no rate is passed over. */
export function decodeRateLimits({ limits }: BackendRateLimits): RecordedRateLimit[] {
  return limits.slice(0, MOST_ENTRIES).flatMap(({ id, start, generation, perSecond }) => {
    const isRate = perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0);
    const backend = { id, ...(start === '' ? {} : { start }) };
    return isRate ? [{ backend, generation, perSecond }] : [];
  });
}
