/** Addresses and zones of daemons, as records of the platform's store have them. */
import type { ShareMember } from '../core/admission/limit-shares.js';

/** Reads a daemon; undefined if it is none. */
export function readMember(value: unknown): ShareMember | undefined {
  const { address, zone } = (value ?? {}) as Partial<ShareMember>;
  if (typeof address !== 'string' || typeof zone !== 'string') return undefined;
  return { address, zone };
}
