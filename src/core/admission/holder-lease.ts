/**
 * Leases for resources that one daemon, the holder, counts for the whole group, such as a tenant's
 * limit. Each daemon determines the holder by rank from its own view of the group, and views differ
 * for seconds while a machine is partitioned or frozen. A holder therefore grants units only under a
 * lease: votes of a majority of a few voters (keepers on the wire). A lease runs from the time at
 * which the holder sent its request, so clocks of different machines are not compared and message
 * delays do not extend it. A voter votes for one holder at a time, for longer than a lease lasts, so
 * two holders never grant units at once. `spec/holder.pml` models the protocol. Pure; times are
 * milliseconds of a steady clock.
 */
import { rankCandidates } from '../../common/rendezvous.js';
import { NewestProof } from '../newest-proof.js';
import type { ShareMember } from './limit-shares.js';

/** Duration of a lease from the sending of its request. Two consecutive renewals may go unanswered. */
export const LEASE_MS = 1_000;
/** Time until the requesting daemon uses units that the holder granted at the very end of its lease. */
const GRANT_IN_TRANSIT_MS = 200;
/** Covers differences in clock speed and the time between the check of the lease and the grant. */
const CLOCK_MARGIN_MS = 50;
/** Duration for which a voter's vote binds it. It is kept short because a successor has to wait for its end. */
export const VOTE_MS = LEASE_MS + GRANT_IN_TRANSIT_MS + CLOCK_MARGIN_MS;
/**
 * Numbers of voters for a name, largest first; a group of six tolerates two failures. The numbers
 * are even: if two groups differ by one voter, any majority of one still shares a voter with any
 * majority of the other.
 */
const VOTER_COUNTS = [6, 4];
/** Votes that one voter stores. Names come from other daemons and must not exhaust its memory. */
const MAX_VOTES = 10_000;

/** A holder's request for a vote. */
export interface LeaseRequest {
  /** Name of the leased resource. */
  readonly name: string;
  readonly holder: string;
  /**
   * Start of the holder's process in Unix milliseconds. It distinguishes the process from earlier
   * ones at the same address, whose counts are lost.
   */
  readonly process: number;
  /** Increases with each request of the holder, across restarts too. */
  readonly sequence: number;
  /**
   * Maximum number of units that the holder grants to itself before its next request. After a crash
   * of the holder no other daemon can tell its successor how many units it has used.
   */
  readonly ownCeiling: number;
}

/** A holder that had this voter's vote before, possibly an earlier process at the same address. */
export interface PreviousHolder {
  readonly holder: string;
  /** Maximum number of units that it can have granted to itself, by its last request. */
  readonly ownCeiling: number;
}

/** A voter's reply to a request. */
export interface LeaseVote {
  readonly isGiven: boolean;
  /** Milliseconds for which the voter has voted for no other holder. The voter knows nothing from before its own start. */
  readonly soleMs: number;
  /** The previous holder, or undefined if there was none or its record has expired. */
  readonly former: PreviousHolder | undefined;
}

/** Returns the addresses of the voters for a name, spread over as many zones as possible. */
export function votersOf(name: string, candidates: readonly ShareMember[]): string[] {
  const zoneOf = new Map(candidates.map(({ address, zone }) => [address, zone]));
  const ranked = rankCandidates(`keeper/${name}`, [...zoneOf.keys()]);
  const size = VOTER_COUNTS.find((count) => count <= ranked.length) ?? ranked.length;
  const nextPlaceInZone = new Map<string | undefined, number>();
  const places = ranked.map((address, rank) => {
    const zone = zoneOf.get(address);
    const place = nextPlaceInZone.get(zone) ?? 0;
    nextPlaceInZone.set(zone, place + 1);
    return { address, rank, place };
  });
  places.sort((a, b) => a.place - b.place || a.rank - b.rank);
  return places.slice(0, size).map(({ address }) => address);
}

/** Returns the number of votes that form a majority. */
export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

interface PendingRequest {
  readonly sentAt: number;
  readonly ownCeiling: number;
  readonly voters: readonly string[];
  readonly votes: Map<string, LeaseVote>;
}

/** What the voters report about the time before a lease. */
export interface LeaseHistory {
  /** Milliseconds for which no other daemon can have had the lease, by the votes. */
  readonly soleMs: number;
  readonly previousHolders: readonly PreviousHolder[];
}

/** The lease on one name, on the holder's side. */
export class HolderLease {
  private readonly pendingRequests = new Map<number, PendingRequest>();
  private proof = new NewestProof();
  private lastSentAt = -Infinity;
  /** Sequence number of the newest request that a majority has granted. */
  private majoritySequence = -Infinity;

  /** Records a request that is sent now. Votes on earlier requests still count, each for its own request. */
  recordRequest(
    sequence: number,
    ownCeiling: number,
    voters: readonly string[],
    now: number,
  ): void {
    this.lastSentAt = now;
    for (const [earlier, { sentAt }] of this.pendingRequests) {
      if (now - sentAt > LEASE_MS) this.pendingRequests.delete(earlier);
    }
    this.pendingRequests.set(sequence, { sentAt: now, ownCeiling, voters, votes: new Map() });
  }

  /**
   * Records a voter's reply. Returns the history of the lease once a majority has voted for the same
   * request, and again with each further vote for it; before that, undefined.
   */
  recordVote(voter: string, sequence: number, vote: LeaseVote): LeaseHistory | undefined {
    const request = this.pendingRequests.get(sequence);
    if (request === undefined || !request.voters.includes(voter)) return undefined;
    if (!vote.isGiven) return undefined;
    request.votes.set(voter, vote);
    const votes = [...request.votes.values()];
    if (votes.length < majorityOf(request.voters.length)) return undefined;
    this.proof.add(request.sentAt);
    this.majoritySequence = Math.max(this.majoritySequence, sequence);
    const formers = votes.flatMap(({ former }) => (former === undefined ? [] : [former]));
    return { soleMs: Math.min(...votes.map(({ soleMs }) => soleMs)), previousHolders: formers };
  }

  /** Returns whether the holder may grant units now. Call it in the same event loop turn as the grant. */
  isHeld(now: number): boolean {
    return this.ageMs(now) <= LEASE_MS;
  }

  /** Returns the milliseconds since the newest granted request was sent; infinite if there is none. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }

  /**
   * Returns the maximum number of units that the holder may grant to itself: the lowest ceiling that
   * the voters can have recorded, whichever of the latest requests have reached them.
   */
  ownCeiling(): number {
    const known = [...this.pendingRequests].filter(
      ([sequence]) => sequence >= this.majoritySequence,
    );
    return known.length === 0 ? 0 : Math.min(...known.map(([, { ownCeiling }]) => ownCeiling));
  }

  /** Returns whether a request sent within the last `withinMs` milliseconds has a ceiling of at least `units`. */
  hasRequested(units: number, withinMs: number, now: number): boolean {
    const { pendingRequests } = this;
    return [...pendingRequests.values()].some(
      ({ sentAt, ownCeiling }) => now - sentAt < withinMs && ownCeiling >= units,
    );
  }

  /** Returns the milliseconds since the last request was sent. */
  sinceRequestMs(now: number): number {
    return now - this.lastSentAt;
  }

  /** Gives up the lease. Votes that arrive later are ignored. */
  release(): void {
    this.proof = new NewestProof();
    this.pendingRequests.clear();
    this.lastSentAt = -Infinity;
    this.majoritySequence = -Infinity;
  }
}

interface RecordedVote extends LeaseRequest {
  sequence: number;
  ownCeiling: number;
  /** When the vote was last given or renewed. */
  givenAt: number;
  /** Start of the time for which the voter has voted for no other holder. */
  exclusiveSince: number;
  /** Whether the holder has given the vote back; it then no longer binds the voter. */
  isReleased: boolean;
  former: PreviousHolder | undefined;
}

/** The votes of one voter. */
export class LeaseVoter {
  private readonly votes = new Map<string, RecordedVote>();

  /**
   * @param startedAt - Steady time. An earlier process at this address may have voted before it.
   * @param retentionMs - Milliseconds for which previous holders are remembered.
   */
  constructor(
    private readonly startedAt: number,
    private readonly retentionMs: number,
  ) {}

  /**
   * Grants or refuses a vote. It is refused while another holder has the vote, for
   * {@link VOTE_MS} after the voter's start, and while the vote table is full.
   *
   * @param isOnlyVoter - Whether the holder is the only voter. An earlier process of its own has then
   *   ended, so the wait after the start is unnecessary.
   */
  handleRequest(request: LeaseRequest, now: number, isOnlyVoter = false): LeaseVote {
    const vote = this.votes.get(request.name);
    const isWithinStartupWait = now - this.startedAt < VOTE_MS && !isOnlyVoter;
    const isForOtherHolder = vote !== undefined && vote.holder !== request.holder;
    const isBinding = isForOtherHolder && !vote.isReleased && now - vote.givenAt < VOTE_MS;
    if (isWithinStartupWait || isBinding || !this.hasCapacityFor(request.name, now)) {
      return { isGiven: false, soleMs: 0, former: undefined };
    }
    const recorded = this.record(request, vote, now);
    return { isGiven: true, soleMs: now - recorded.exclusiveSince, former: recorded.former };
  }

  /** Ends the vote for a holder that gives up its lease. A vote on a request later than the release stays. */
  release(name: string, holder: string, sequence: number): void {
    const vote = this.votes.get(name);
    if (vote === undefined || vote.holder !== holder || vote.sequence > sequence) return;
    vote.isReleased = true;
  }

  private record(request: LeaseRequest, vote: RecordedVote | undefined, now: number): RecordedVote {
    const { holder, process, sequence, ownCeiling } = request;
    if (vote !== undefined && vote.holder === holder && vote.process === process) {
      vote.sequence = Math.max(vote.sequence, sequence);
      Object.assign(vote, { ownCeiling, givenAt: now, isReleased: false });
      if (now - vote.exclusiveSince > this.retentionMs) vote.former = undefined;
      return vote;
    }
    // A holder that released its vote is still running and reports the units it granted itself.
    const reportsOwnUse = vote === undefined || vote.isReleased;
    const former = reportsOwnUse ? undefined : { holder: vote.holder, ownCeiling: vote.ownCeiling };
    const exclusiveSince = vote === undefined ? this.startedAt : now;
    const isReleased = false;
    const recorded = { ...request, givenAt: now, exclusiveSince, isReleased, former };
    this.votes.set(request.name, recorded);
    return recorded;
  }

  /** Returns whether a vote on the name can be stored. Deletes expired votes if the table is full. */
  private hasCapacityFor(name: string, now: number): boolean {
    if (this.votes.size < MAX_VOTES || this.votes.has(name)) return true;
    for (const [other, { givenAt }] of this.votes) {
      if (now - givenAt > this.retentionMs) this.votes.delete(other);
    }
    return this.votes.size < MAX_VOTES;
  }
}
