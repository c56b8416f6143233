/**
 * Manages the leases of this daemon as a holder, and its votes for other holders. A holder requests votes from
 * a few voters, whatever the size of the group, and only for names that are in use. Leases are timed by the lease clock and
 * votes by the steady clock: on a machine that was suspended, a lease still ends in time and a vote lasts longer.
 */
import { create } from '@bufbuild/protobuf';
import { leaseNow } from '../common/lease-clock.js';
import type { Logger } from '../common/logger.js';
import {
  HolderLease,
  votersOf,
  LeaseVoter,
  type LeaseVote,
  type LeaseHistory,
} from '../core/admission/holder-lease.js';
import type { ShareMember } from '../core/admission/limit-shares.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  HolderLeaseAnswerSchema,
  HolderLeaseQuestionSchema,
  HolderLeaseReleaseSchema,
  type HolderLeaseQuestion,
} from '../proto/gen/internal_pb.js';
import { steadyNow } from './steady-clock.js';

/** Interval between renewals of a held lease. The lease outlasts two unanswered renewals. */
const RENEW_INTERVAL_MS = 400;
/** Interval between requests without a lease. The votes for a previous holder may expire at any time. */
const RETRY_INTERVAL_MS = 100;
/** Time without a lease after which requests become rarer. Any vote for another holder has expired well before. */
const SLOW_RETRIES_AFTER_MS = 2_500;
/** Interval between requests after that time, so that a disconnected daemon with callers of many tenants sends few datagrams. */
const SLOW_RETRY_INTERVAL_MS = 2_000;
/**
 * A member that has not been seen for this time is no voter. By then the membership views on both sides of a partition
 * have settled, and each side counts only the shares of its own daemons.
 */
const VOTER_UNSEEN_MS = 10_000;
/** Interval between updates of the list of daemons that may be voters. */
const CANDIDATE_REFRESH_MS = 500;
/** Interval between log lines about a lease that is not granted. */
const LOG_INTERVAL_MS = 5_000;

/** Options of {@link HolderLeases}. */
export interface HolderLeasesOptions {
  readonly self: string;
  readonly logger: Logger;
  /** Daemons that have a share of the limits. All daemons choose the voters from this same list. */
  readonly members: () => readonly ShareMember[];
  readonly live: () => readonly Pick<ShareMember, 'address'>[];
  /** Milliseconds for which voters keep the records of previous holders. */
  readonly retentionMs: number;
  /**
   * Start of this process in Unix milliseconds, which is higher at each start of this daemon. Requests are numbered
   * from it on, and it identifies the process to the voters and the members ({@link HolderLeases.process}).
   */
  readonly firstSequence: number;
  /** Start of the process by the steady clock. Votes of an earlier process at this address are older. */
  readonly processStartedAt: number;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
}

/** Callbacks of the user of one lease. */
export interface LeaseCallbacks {
  /** Returns the maximum number of units that the holder would grant to itself now. Voters report it to the holder's successor. */
  readonly ownCeiling: (now: number) => number;
  /** Called when a voter has replied and the lease is held: first when a majority is reached, then after each reply. */
  readonly onVote: (now: number) => void;
  /** Called when the lease is granted, after `missingMs` milliseconds without it. */
  readonly onGained: (history: LeaseHistory, missingMs: number, now: number) => void;
}

interface RequestedLease {
  readonly handler: LeaseCallbacks;
  readonly lease: HolderLease;
  /** Time at which the lease was first requested or was last lost. */
  missingSince: number;
  /** Whether the lease was held at the last check. */
  held: boolean;
  loggedAt: number;
  /** Number of voters that have refused the last request. */
  refused: number;
}

/** The leases and votes of one daemon. */
export class HolderLeases {
  private readonly requested = new Map<string, RequestedLease>();
  private readonly voter: LeaseVoter;
  private readonly startedAt = steadyNow();
  private sequence: number;
  /** Time at which each member was last seen, by address. */
  private readonly lastSeenAt = new Map<string, number>();
  private candidates: readonly ShareMember[] = [];
  private refreshedAt = -Infinity;
  /** Voters by name. Cleared at each update of the candidates. */
  private readonly votersByName = new Map<string, readonly string[]>();

  constructor(private readonly options: HolderLeasesOptions) {
    this.voter = new LeaseVoter(options.processStartedAt, options.retentionMs);
    this.sequence = options.firstSequence;
  }

  /** Requests the lease on a name and renews it until it is released. */
  acquire(name: string, handler: LeaseCallbacks): void {
    if (this.requested.has(name)) return;
    const now = steadyNow();
    const lease = new HolderLease();
    const entry = { handler, lease, missingSince: now, held: false, loggedAt: now, refused: 0 };
    this.requested.set(name, entry);
    this.sendRequests(name, entry, now);
  }

  /** Start of this process, in Unix milliseconds. */
  get process(): number {
    return this.options.firstSequence;
  }

  /** Returns whether this daemon may grant units now. Call it in the same event loop turn as the grant. */
  isHeld(name: string): boolean {
    return this.requested.get(name)?.lease.isHeld(leaseNow()) ?? false;
  }

  /** Returns the maximum number of units that this daemon may grant to itself now; 0 if the lease was not requested. */
  ownCeiling(name: string): number {
    return this.requested.get(name)?.lease.ownCeiling() ?? 0;
  }

  /** Requests a higher ceiling from the voters, because this daemon would grant itself more units than its ceiling allows. */
  raiseCeiling(name: string, units: number): void {
    const entry = this.requested.get(name);
    if (entry === undefined) return;
    if (entry.lease.hasRequested(units, RETRY_INTERVAL_MS, leaseNow())) return;
    this.sendRequests(name, entry, steadyNow());
  }

  /** Gives up the lease on a name, so that another daemon can obtain it at once. */
  release(name: string): void {
    const entry = this.requested.get(name);
    if (entry === undefined) return;
    const now = steadyNow();
    this.requested.delete(name);
    entry.lease.release();
    const { self, logger, sendDatagram } = this.options;
    logger.info('holder_lease_released', { name });
    const value = create(HolderLeaseReleaseSchema, { name, sequence: this.sequence });
    for (const voter of this.votersFor(name, now)) {
      if (voter === self) this.voter.release(name, self, this.sequence);
      else sendDatagram(voter, { case: 'holderLeaseRelease', value });
    }
  }

  /** Updates leases and sends requests that are due; call it ten times a second. */
  tick(): void {
    const now = steadyNow();
    this.refreshCandidates(now);
    for (const [name, entry] of this.requested) {
      this.updateLease(name, entry, now);
      const sinceRequestMs = entry.lease.sinceRequestMs(leaseNow());
      if (sinceRequestMs >= requestIntervalMs(entry, now)) this.sendRequests(name, entry, now);
    }
  }

  /** Handles a message about leases. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'holderLeaseQuestion') this.handleRequest(from, body.value);
    else if (body.case === 'holderLeaseAnswer') {
      const { name, sequence, isGiven, soleMs, formerHolder, formerCeiling } = body.value;
      const former =
        formerHolder === ''
          ? undefined
          : { holder: formerHolder, ownCeiling: validUnits(formerCeiling) };
      this.handleVote(from, name, sequence, { isGiven, soleMs, former });
    } else if (body.case === 'holderLeaseRelease') {
      this.voter.release(body.value.name, from, body.value.sequence);
    } else return false;
    return true;
  }

  private sendRequests(name: string, entry: RequestedLease, now: number): void {
    const { self, firstSequence: process, sendDatagram } = this.options;
    const voters = this.votersFor(name, now);
    this.sequence += 1;
    const { sequence } = this;
    const ownCeiling = entry.handler.ownCeiling(now);
    entry.refused = 0;
    entry.lease.recordRequest(sequence, ownCeiling, voters, leaseNow());
    const value = create(HolderLeaseQuestionSchema, { name, sequence, ownCeiling, process });
    for (const voter of voters) {
      if (voter !== self) sendDatagram(voter, { case: 'holderLeaseQuestion', value });
    }
    if (!voters.includes(self)) return;
    const request = { name, holder: self, process, sequence, ownCeiling };
    const ownVote = this.voter.handleRequest(request, now, voters.length === 1);
    this.handleVote(self, name, sequence, ownVote);
  }

  private handleRequest(to: string, message: HolderLeaseQuestion): void {
    const { name, process, sequence } = message;
    const ownCeiling = validUnits(message.ownCeiling);
    const request = { name, holder: to, process, sequence, ownCeiling };
    const { isGiven, soleMs, former } = this.voter.handleRequest(request, steadyNow());
    const value = create(HolderLeaseAnswerSchema, {
      name,
      sequence,
      isGiven,
      soleMs: Math.floor(soleMs),
      formerHolder: former?.holder ?? '',
      formerCeiling: former?.ownCeiling ?? 0,
    });
    this.options.sendDatagram(to, { case: 'holderLeaseAnswer', value });
  }

  private handleVote(voter: string, name: string, sequence: number, vote: LeaseVote): void {
    const entry = this.requested.get(name);
    if (entry === undefined) return;
    const now = steadyNow();
    const hadLease = entry.lease.isHeld(leaseNow());
    if (!vote.isGiven) entry.refused += 1;
    const history = entry.lease.recordVote(voter, sequence, vote);
    if (history === undefined || !entry.lease.isHeld(leaseNow())) return;
    if (!hadLease) this.recordGain(name, entry, history, now);
    entry.handler.onVote(now);
  }

  private recordGain(
    name: string,
    entry: RequestedLease,
    history: LeaseHistory,
    now: number,
  ): void {
    entry.held = true;
    const missingMs = now - entry.missingSince;
    const waitedMs = Math.round(missingMs);
    const { soleMs, previousHolders: previous } = history;
    const former = previous[0]?.holder;
    this.options.logger.info('holder_lease_gained', { name, waitedMs, soleMs, former });
    entry.handler.onGained(history, missingMs, now);
  }

  /** Logs the loss of a lease, and at intervals that it is not granted. */
  private updateLease(name: string, entry: RequestedLease, now: number): void {
    const isHeld = entry.lease.isHeld(leaseNow());
    const isLost = entry.held && !isHeld;
    entry.held = isHeld;
    if (isLost) entry.missingSince = now;
    if (isHeld || (!isLost && now - entry.loggedAt < LOG_INTERVAL_MS)) return;
    entry.loggedAt = now;
    const age = entry.lease.ageMs(leaseNow());
    const ageMs = Number.isFinite(age) ? Math.round(age) : undefined;
    const { refused } = entry;
    const fields = { name, ageMs, refused, keepers: this.votersFor(name, now).join(' ') };
    this.options.logger.warn(isLost ? 'holder_lease_lost' : 'holder_lease_not_given', fields);
  }

  private votersFor(name: string, now: number): readonly string[] {
    this.refreshCandidates(now);
    const known = this.votersByName.get(name);
    if (known !== undefined) return known;
    const voters = votersOf(name, this.candidates);
    this.votersByName.set(name, voters);
    return voters;
  }

  private refreshCandidates(now: number): void {
    if (now - this.refreshedAt < CANDIDATE_REFRESH_MS) return;
    this.refreshedAt = now;
    const { members, live } = this.options;
    for (const { address } of live()) this.lastSeenAt.set(address, now);
    const isCandidate = ({ address }: ShareMember): boolean =>
      now - (this.lastSeenAt.get(address) ?? this.startedAt) < VOTER_UNSEEN_MS;
    const all = members();
    const addresses = new Set([...all, ...live()].map(({ address }) => address));
    for (const address of this.lastSeenAt.keys())
      if (!addresses.has(address)) this.lastSeenAt.delete(address);
    this.candidates = all.filter(isCandidate);
    this.votersByName.clear();
  }
}

function requestIntervalMs({ lease, missingSince }: RequestedLease, now: number): number {
  if (lease.isHeld(leaseNow())) return RENEW_INTERVAL_MS;
  const isSlow = now - missingSince >= SLOW_RETRIES_AFTER_MS;
  return isSlow ? SLOW_RETRY_INTERVAL_MS : RETRY_INTERVAL_MS;
}

/** Validates units from another daemon's message: negative and non-finite values become 0. */
function validUnits(units: number): number {
  return Number.isFinite(units) ? Math.max(0, units) : 0;
}
