/** Encodes and decodes the share record for messages and for the platform's store. */
import { create } from '@bufbuild/protobuf';
import { sortMembers, type ShareMember, type ShareRecord } from '../core/admission/limit-shares.js';
import { ShareMemberSchema, ShareNewsSchema, type ShareNews } from '../proto/gen/internal_pb.js';
import { decodeMember } from './member-codec.js';

/** Encodes a record for other daemons. */
export function encodeShares({ number, members, next }: ShareRecord): ShareNews {
  const encode = (list: readonly ShareMember[]): ShareNews['members'] =>
    list.map(({ address, zone }) => create(ShareMemberSchema, { address, zone }));
  return create(ShareNewsSchema, { number, members: encode(members), next: encode(next) });
}

/** Decodes a record of another daemon; undefined if it is invalid. */
export function decodeShares({ number, members, next }: ShareNews): ShareRecord | undefined {
  if (!isRecordNumber(number)) return undefined;
  return { number, members: sortMembers(members), next: sortMembers(next) };
}

/** Decodes the record in the store; undefined if it is invalid. */
export function sharesFromStore(value: unknown): ShareRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { number, members, next } = value as Record<string, unknown>;
  if (!isRecordNumber(number)) return undefined;
  const parsedMembers = parseMembers(members);
  const parsedNext = parseMembers(next);
  if (parsedMembers === undefined || parsedNext === undefined) return undefined;
  return { number, members: parsedMembers, next: parsedNext };
}

function isRecordNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 1;
}

function parseMembers(value: unknown): ShareMember[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const members = value.map(decodeMember).filter((member) => member !== undefined);
  return members.length === value.length ? sortMembers(members) : undefined;
}
