/** The division of limits in messages and in the platform's store. */
import { create } from '@bufbuild/protobuf';
import { sortMembers, type ShareMember, type ShareRecord } from '../core/admission/limit-shares.js';
import { ShareMemberSchema, ShareNewsSchema, type ShareNews } from '../proto/gen/internal_pb.js';
import { readMember } from './member-codec.js';

/** Encodes a record for other daemons. */
export function encodeShares({ number, members, next }: ShareRecord): ShareNews {
  const encode = (list: readonly ShareMember[]): ShareNews['members'] =>
    list.map(({ address, zone }) => create(ShareMemberSchema, { address, zone }));
  return create(ShareNewsSchema, { number, members: encode(members), next: encode(next) });
}

/** Decodes a record of another daemon; undefined if it is none. */
export function decodeShares({ number, members, next }: ShareNews): ShareRecord | undefined {
  if (!isRecordNumber(number)) return undefined;
  return { number, members: sortMembers(members), next: sortMembers(next) };
}

/** Reads the store's record; undefined if it is none. */
export function sharesFromStore(value: unknown): ShareRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { number, members, next } = value as Record<string, unknown>;
  if (!isRecordNumber(number)) return undefined;
  const readMembers = membersOf(members);
  const readNext = membersOf(next);
  if (readMembers === undefined || readNext === undefined) return undefined;
  return { number, members: readMembers, next: readNext };
}

function isRecordNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 1;
}

function membersOf(value: unknown): ShareMember[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const members = value.map(readMember).filter((member) => member !== undefined);
  return members.length === value.length ? sortMembers(members) : undefined;
}
