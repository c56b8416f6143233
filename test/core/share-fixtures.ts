/** Fixtures for share records. Each letter is the address of a daemon. */
import type { ShareMember, ShareRecord } from '../../src/core/admission/limit-shares.js';

/** Returns the members named by the letters, in order. */
export function membersOf(letters: string): ShareMember[] {
  return [...letters].map((address) => ({ address, zone: 'z' }));
}

/** Returns a record. No change is in progress unless `next` differs from `members`. */
export function recordOf(number: number, members: string, next = members): ShareRecord {
  return { number, members: membersOf(members), next: membersOf(next) };
}
