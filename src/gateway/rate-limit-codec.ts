/** Converts recorded rate limits of backends to and from messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { RecordedRateLimit } from '../core/backend-rate-limits.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  BackendRateLimitSchema,
  BackendRateLimitsSchema,
  type BackendRateLimits,
} from '../proto/gen/internal_pb.js';

/** Maximum number of entries decoded from a message. Daemons of this build send no more. */
const MAX_ENTRIES = 2_048;

/** Encodes recorded limits, either new ones or all. */
export function encodeRateLimits(recorded: readonly RecordedRateLimit[]): PeerBody {
  const limits = recorded.map(({ backend, generation, perSecond }) => {
    const { id, start = '' } = backend;
    return create(BackendRateLimitSchema, { id, start, generation, perSecond });
  });
  return { case: 'backendRateLimits', value: create(BackendRateLimitsSchema, { limits }) };
}

/** Encodes a request for the limits of a daemon whose digest differs from `knownDigest`. */
export function encodeRateLimitDigest(knownDigest: number): PeerBody {
  return { case: 'backendRateLimits', value: create(BackendRateLimitsSchema, { knownDigest }) };
}

/** Decodes recorded limits. Entries whose limit is negative or not finite are skipped. */
export function decodeRateLimits({ limits }: BackendRateLimits): RecordedRateLimit[] {
  return limits.slice(0, MAX_ENTRIES).flatMap(({ id, start, generation, perSecond }) => {
    const isRate = perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0);
    const backend = { id, ...(start === '' ? {} : { start }) };
    return isRate ? [{ backend, generation, perSecond }] : [];
  });
}
