/** Records of how limits are divided: each letter is the address of a daemon. */
import type { ShareMember, ShareRecord } from '../../src/core/admission/limit-shares.js';

/** Members by their letters, in order. */
export function membersOf(letters: string): ShareMember[] {
  return [...letters].map((address) => ({ address, zone: 'z' }));
}

/** A record; closed if nobody else is to share. */
export function recordOf(number: number, members: string, next = members): ShareRecord {
  return { number, members: membersOf(members), next: membersOf(next) };
}
