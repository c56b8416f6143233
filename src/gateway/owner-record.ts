/** The record that names the owner of a service. */

/** Who owns a service. */
export interface OwnerRecord {
  /** Peer address of the owner. */
  readonly address: string;
  /** Start of the owner's process; undefined if the owner is known only by its own word. */
  readonly incarnation: number | undefined;
  /** Fencing token; rises by one with each claim. */
  readonly epoch: number;
  /** Tells one claim from another, to settle lost answers. */
  readonly claim: string;
}

/** Reads a record; undefined if there is none or it is not understood. */
export function ownerRecord(value: unknown): OwnerRecord | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { address, incarnation, epoch, claim } = value as Partial<OwnerRecord>;
  if (typeof address !== 'string' || typeof epoch !== 'number') return undefined;
  return { address, epoch, incarnation, claim: typeof claim === 'string' ? claim : '' };
}
