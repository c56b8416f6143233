/**
 * The share of every limit that each daemon may use. A record lists the daemons that have an equal share (members) and, while
 * a change is in progress, the daemons that are to have one afterwards (next). No daemon derives its share from its own view
 * of the group, so the shares of all daemons never add up to more than the limit, even across a network partition.
 * `spec/shares.pml` models the protocol. Pure; times are milliseconds of the lease clock.
 */
import { NewestProof } from '../newest-proof.js';

/** A daemon that has a share. */
export interface ShareMember {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
}

/** The division of all limits among daemons. No change is in progress if `members` and `next` list the same daemons. */
export interface ShareRecord {
  /** Version of the record; increases with each change. */
  readonly number: number;
  /** Daemons that have a share, sorted by address. */
  readonly members: readonly ShareMember[];
  /** Daemons that have a share after the change, sorted by address. */
  readonly next: readonly ShareMember[];
}

/**
 * A daemon loses its share if it has not renewed its entry in the platform's store for this long. Some time later the other
 * daemons may divide the limits without it.
 */
export const RENEWAL_EXPIRY_MS = 1_800_000;
/** Time from the start of a process for which the store entry of the daemon's previous process stays valid. */
export const PREVIOUS_ENTRY_VALID_MS = 20_000;
/** Time for which a member's reply is valid at a daemon that has not read the store since its start. */
export const MEMBER_REPLY_VALID_MS = 1_000;

/** Returns whether no change of the record is in progress. */
export function isSettled({ members, next }: ShareRecord): boolean {
  return sameMembers(members, next);
}

/** Returns whether two sorted lists contain the same addresses. */
export function sameMembers(a: readonly ShareMember[], b: readonly ShareMember[]): boolean {
  return a.length === b.length && a.every(({ address }, index) => address === b[index]?.address);
}

/** Returns the members in the order of a record, by address and without duplicates. */
export function sortMembers(members: Iterable<ShareMember>): ShareMember[] {
  const byAddress = new Map([...members].map((member) => [member.address, member]));
  return [...byAddress.values()].sort((a, b) => (a.address < b.address ? -1 : 1));
}

/** The share record as one daemon knows it, and the share that the daemon may use by it. */
export class LimitShares {
  private known: ShareRecord | undefined;
  /** Addresses of the daemons that have a share by the record, and the share of each of them. */
  private sharers = new Set<string>();
  private share = 0;
  private hasRead = false;
  private hasLeft = false;
  private readonly renewal = new NewestProof();
  private readonly memberReply = new NewestProof();

  constructor(private readonly self: string) {}

  /** The newest known record, whether or not this daemon may use its share by it. */
  get record(): ShareRecord | undefined {
    return this.known;
  }

  /** Whether this process has read the store since its start, with or without a record in it. */
  get hasReadStore(): boolean {
    return this.hasRead;
  }

  /** Records a record read from the store. Returns whether it is newer than the known one. */
  recordStored(record: ShareRecord): boolean {
    this.hasRead = true;
    return this.adopt(record);
  }

  /** Records that the store holds no record yet. */
  recordAbsent(): void {
    this.hasRead = true;
  }

  /** Records a record announced by another daemon. Returns whether it was accepted as newer than the known one. */
  recordAnnounced(record: ShareRecord): boolean {
    return this.hasRead && this.adopt(record);
  }

  /**
   * Records a member's reply with a record, where the member has read the store. If this daemon has not read the store itself,
   * it may use the record for {@link MEMBER_REPLY_VALID_MS} from the sending of the request. Returns whether the record is newer
   * than the known one.
   */
  recordMemberReply(record: ShareRecord, askedAt: number): boolean {
    if (this.hasRead || (this.known !== undefined && record.number < this.known.number)) {
      return this.recordAnnounced(record);
    }
    this.memberReply.add(askedAt);
    return this.adopt(record);
  }

  /** Records that the store has acknowledged a renewal of this daemon's entry that was sent at `askedAt`. */
  recordRenewal(askedAt: number): void {
    this.renewal.add(askedAt);
  }

  /** Gives up this daemon's share for a planned stop. */
  leave(): void {
    this.hasLeft = true;
  }

  /**
   * Returns whether this daemon may use the record: its own share without a holder, and as a holder the shares of all daemons
   * that it sees.
   */
  mayUseShare(now: number): boolean {
    if (this.hasLeft || !this.sharers.has(this.self)) return false;
    if (!this.hasRead) return this.memberReply.ageMs(now) <= MEMBER_REPLY_VALID_MS;
    return this.renewal.ageMs(now) <= RENEWAL_EXPIRY_MS;
  }

  /** Returns whether daemons that have not read the store may use the record from this daemon. */
  mayAnnounce(now: number): boolean {
    return this.hasRead && this.mayUseShare(now);
  }

  /** Returns the fraction of each limit that this daemon may use without a holder, from 0 to 1. */
  ownShare(now: number): number {
    return this.mayUseShare(now) ? this.share : 0;
  }

  /** The fraction of each limit that each daemon with a share has by the record, from 0 to 1. */
  get sharePerMember(): number {
    return this.share;
  }

  /** Returns the fraction of each limit that this daemon may grant on behalf of `sharers` daemons with a share, from 0 to 1. */
  combinedShare(sharers: number, now: number): number {
    return this.mayUseShare(now) ? sharers * this.share : 0;
  }

  /** Returns whether a daemon has a share by the record. */
  isSharer(address: string): boolean {
    return this.sharers.has(address);
  }

  /**
   * Adopts a newer record. While a change is in progress only daemons in both lists have a share, and the share is the
   * smaller of the old and the new one.
   */
  private adopt(record: ShareRecord): boolean {
    if (this.known !== undefined && record.number <= this.known.number) return false;
    this.known = record;
    const staying = new Set(record.next.map(({ address }) => address));
    const addresses = record.members.map(({ address }) => address);
    this.sharers = new Set(addresses.filter((address) => staying.has(address)));
    this.share = 1 / Math.max(1, record.members.length, record.next.length);
    return true;
  }
}
