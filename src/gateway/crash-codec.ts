/** Converts crash records of requests to and from messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '../core/crash-records.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { CrashedRequestSchema, CrashNewsSchema, type CrashNews } from '../proto/gen/internal_pb.js';

/** Maximum number of records decoded from a message. Daemons of this build send no more. */
const MAX_RECORDS = 2_048;

/** Encodes crash records, either new ones or all. */
export function encodeCrashes(records: readonly CrashRecord[]): PeerBody {
  const requests = records.map((record) =>
    create(CrashedRequestSchema, {
      digest: Buffer.from(record.digest, 'hex'),
      starts: [...record.starts],
      excused: [...record.excused],
      ageMs: record.ageMs,
      depth: record.depth,
    }),
  );
  return { case: 'crashNews', value: create(CrashNewsSchema, { requests }) };
}

/** Encodes a request for the records of a daemon whose digest differs from `knownDigest`. */
export function encodeCrashDigest(knownDigest: number): PeerBody {
  return { case: 'crashNews', value: create(CrashNewsSchema, { knownDigest }) };
}

/** Decodes the records of a message. */
export function decodeCrashes({ requests }: CrashNews): CrashRecord[] {
  return requests.slice(0, MAX_RECORDS).map(({ digest, starts, excused, ageMs, depth }) => {
    return { digest: Buffer.from(digest).toString('hex'), depth, starts, excused, ageMs };
  });
}
