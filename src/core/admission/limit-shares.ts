/**
 * Which part of every limit each daemon may count. A record names the daemons that have an equal share (members) and, while
 * a change of them is open, those that are to have one (next). Nobody works a share out from what it sees of the others, so
 * the shares of all daemons together never pass the whole, on all sides of a cut. `spec/shares.pml` is its model.
 * Pure; times are milliseconds of the lease clock.
 */
import { NewestProof } from '../newest-proof.js';

/** A daemon that has a share. */
export interface ShareMember {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
}

/** The division of all limits. The same daemons in `members` and `next` mean that it is closed. */
export interface ShareRecord {
  /** Higher in each later record. */
  readonly number: number;
  /** Sorted by address. */
  readonly members: readonly ShareMember[];
  /** Sorted by address. */
  readonly next: readonly ShareMember[];
}

/**
 * A daemon that has not proved to the platform's store for so long that it runs has no share: others may divide the limits
 * without it some time later.
 */
export const RENEWAL_LAPSES_MS = 1_800_000;
/** An entry that a former process of this daemon has left counts for so long from this one's start. */
export const KEPT_ENTRY_MS = 20_000;
/** A member's answer counts for so long at a daemon that has not read the store since its start. */
export const MEMBER_ANSWER_MS = 1_000;

/** Whether no change is open. */
export function isClosed({ members, next }: ShareRecord): boolean {
  return sameMembers(members, next);
}

/** Whether two sorted lists name the same addresses. */
export function sameMembers(a: readonly ShareMember[], b: readonly ShareMember[]): boolean {
  return a.length === b.length && a.every(({ address }, place) => address === b[place]?.address);
}

/** Members in the order of a record. */
export function sortMembers(members: Iterable<ShareMember>): ShareMember[] {
  const byAddress = new Map([...members].map((member) => [member.address, member]));
  return [...byAddress.values()].sort((a, b) => (a.address < b.address ? -1 : 1));
}

/** One daemon's knowledge of the record. */
export class LimitShares {
  private known: ShareRecord | undefined;
  /** Addresses that have a share by the record, and the share of each. */
  private sharers = new Set<string>();
  private share = 0;
  private hasRead = false;
  private hasLeft = false;
  private readonly renewal = new NewestProof();
  private readonly memberAnswer = new NewestProof();

  constructor(private readonly self: string) {}

  /** The newest record that is known, whether it counts here or not. */
  get record(): ShareRecord | undefined {
    return this.known;
  }

  /** Whether this process has read the store since its start. */
  get isRead(): boolean {
    return this.hasRead;
  }

  /** The store has answered with the record; returns whether it is another one than was known. */
  read(record: ShareRecord): boolean {
    this.hasRead = true;
    return this.take(record);
  }

  /** The store has answered that there is no record yet. */
  readNothing(): void {
    this.hasRead = true;
  }

  /** Another daemon has told of a record; returns whether it is newer than what was known. */
  hear(record: ShareRecord): boolean {
    return this.hasRead && this.take(record);
  }

  /**
   * A member that has read the store has answered a question: its record counts for a time. For a daemon that has not read
   * the store itself.
   */
  hearMember(record: ShareRecord, askedAt: number): boolean {
    if (this.hasRead || (this.known !== undefined && record.number < this.known.number)) {
      return this.hear(record);
    }
    this.memberAnswer.prove(askedAt);
    return this.take(record);
  }

  /** The store has acknowledged that this daemon runs. */
  renewed(askedAt: number): void {
    this.renewal.prove(askedAt);
  }

  /** This daemon ends: it counts nothing more. */
  leave(): void {
    this.hasLeft = true;
  }

  /** Whether this daemon may count by the record: alone its own share, as a holder those of all that it sees. */
  mayCount(now: number): boolean {
    if (this.hasLeft || !this.sharers.has(this.self)) return false;
    if (!this.hasRead) return this.memberAnswer.ageMs(now) <= MEMBER_ANSWER_MS;
    return this.renewal.ageMs(now) <= RENEWAL_LAPSES_MS;
  }

  /** Whether others may take the record from this daemon that have not read the store. */
  mayTell(now: number): boolean {
    return this.hasRead && this.mayCount(now);
  }

  /** The part of each limit that this daemon may count alone, from 0 to 1. */
  ownShare(now: number): number {
    return this.mayCount(now) ? this.share : 0;
  }

  /** The part of each limit that a daemon with a share has by the record. */
  get usualShare(): number {
    return this.share;
  }

  /** The part of each limit that this daemon may count for some daemons that have a share, from 0 to 1. */
  sumOf(sharers: number, now: number): number {
    return this.mayCount(now) ? sharers * this.share : 0;
  }

  /** Whether a daemon has a share by the record. */
  isSharer(address: string): boolean {
    return this.sharers.has(address);
  }

  /** Takes a record that is not older. While a change is open the smaller share counts, of those that stay. */
  private take(record: ShareRecord): boolean {
    if (this.known !== undefined && record.number <= this.known.number) return false;
    this.known = record;
    const staying = new Set(record.next.map(({ address }) => address));
    const addresses = record.members.map(({ address }) => address);
    this.sharers = new Set(addresses.filter((address) => staying.has(address)));
    this.share = 1 / Math.max(1, record.members.length, record.next.length);
    return true;
  }
}
