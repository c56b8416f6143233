/** The stored record that names the owner of a service. */

/** Highest epoch of a stored record. It leaves room for many claims below 2^53, above which numbers no longer increase by one. */
const MAX_EPOCH = 2 ** 53 - 2 ** 40;

/** A claim of the ownership of a service. */
export interface OwnerRecord {
  /** Peer address of the owner. */
  readonly address: string;
  /** Incarnation of the owner's process; undefined if the owner is known only from its own announcement. */
  readonly incarnation: number | undefined;
  /** Fencing token; increases with each claim. */
  readonly epoch: number;
  /** Identifies the claim, so that a daemon whose write got no response can find out whether it was stored. */
  readonly claim: string;
}

/** Parses a stored record; undefined if there is none or it is invalid. */
export function parseOwnerRecord(value: unknown): OwnerRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { address, incarnation, epoch, claim } = value as Partial<OwnerRecord>;
  if (typeof address !== 'string' || !isEpoch(epoch)) return undefined;
  return { address, epoch, incarnation, claim: typeof claim === 'string' ? claim : '' };
}

function isEpoch(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 0 && (value as number) <= MAX_EPOCH;
}
