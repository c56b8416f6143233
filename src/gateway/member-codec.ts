/** Decodes the address and zone of a daemon from a record of the platform's store. */
import { isAddress } from '../common/address.js';
import type { ShareMember } from '../core/admission/limit-shares.js';

/** Decodes a daemon's record; undefined if the value is not one. */
export function decodeMember(value: unknown): ShareMember | undefined {
  const { address, zone } = (value ?? {}) as Partial<ShareMember>;
  if (typeof address !== 'string' || typeof zone !== 'string') return undefined;
  return { address, zone };
}

/** Decodes an entry of the list of daemons; undefined if it is none, or if nothing could be sent to its address. */
export function decodeMemberEntry(value: unknown): ShareMember | undefined {
  const member = decodeMember(value);
  return member !== undefined && isAddress(member.address) ? member : undefined;
}
