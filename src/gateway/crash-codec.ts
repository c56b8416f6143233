/** Between what is known of requests that met crashes and the internal protocol's messages. */
import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '../core/crash-records.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { CrashedRequestSchema, CrashNewsSchema, type CrashNews } from '../proto/gen/internal_pb.js';

/** Records of a message that are read; a daemon of our own tells no more. */
const MOST_RECORDS = 2_048;

/** News, or all that is known. */
export function encodeCrashes(records: readonly CrashRecord[]): PeerBody {
  const requests = records.map((record) =>
    create(CrashedRequestSchema, {
      digest: Buffer.from(record.digest, 'hex'),
      starts: [...record.starts],
      excused: [...record.excused],
      ageMs: record.ageMs,
    }),
  );
  return { case: 'crashNews', value: create(CrashNewsSchema, { requests }) };
}

/** A question to a daemon that may know something else. */
export function encodeCrashQuestion(knownDigest: number): PeerBody {
  return { case: 'crashNews', value: create(CrashNewsSchema, { knownDigest }) };
}

/** Records out of a message. */
export function decodeCrashes({ requests }: CrashNews): CrashRecord[] {
  return requests.slice(0, MOST_RECORDS).map(({ digest, starts, excused, ageMs }) => {
    return { digest: Buffer.from(digest).toString('hex'), starts, excused, ageMs };
  });
}
