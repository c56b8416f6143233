/** Claims idempotency keys at a quorum of voters, and votes on the claims of other daemons. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import { startReplyTimeout } from '../common/reply-timeout.js';
import {
  CLAIM_VOTERS,
  ClaimRound,
  ClaimTable,
  type ClaimOutcome,
  type KeyClaim,
} from '../core/claim-table.js';
import { votersOf, type RoleCandidate } from '../core/roles.js';
import type { Membership } from '../core/membership.js';
import {
  ClaimKeyAnswerSchema,
  ClaimKeySchema,
  ClaimPullSchema,
  ClaimReleaseSchema,
  ClaimTransferSchema,
  type ClaimKey,
  type ClaimKeyAnswer,
  type ClaimPull,
  type ClaimRelease,
  type ClaimTransfer,
} from '../proto/gen/internal_pb.js';
import type { PeerBody } from './peer-transport.js';

/** Milliseconds after which a round without a quorum fails; later votes are not counted. */
const ROUND_TIMEOUT_MS = 600;
/** Milliseconds that a restarted voter waits before it pulls claims; longer than any round. */
const PULL_DELAY_MS = 1_500;
/**
 * Milliseconds between the first two pulls; the period doubles up to the maximum, because
 * in a newly started group the tables of all voters stay incomplete for a long time.
 */
const INITIAL_PULL_PERIOD_MS = 1_000;
const MAX_PULL_PERIOD_MS = 60_000;
/** Milliseconds to wait for the first voter's vote before the claim is sent to the other voters. */
const FIRST_VOTER_TIMEOUT_MS = 100;
/**
 * Milliseconds that a round with a quorum of grants waits for the remaining voter, which may
 * refuse.
 */
const REFUSAL_WAIT_MS = 60;

/** Final outcome of a claim. */
export type SettledClaim = Exclude<ClaimOutcome, 'pending'>;

interface OpenRound {
  readonly startedAt: number;
  readonly round: ClaimRound;
  readonly voters: readonly string[];
  readonly repliedVoters: Set<string>;
  readonly settle: (outcome: SettledClaim) => void;
  sentToAll: boolean;
  sendToOthers: () => void;
}

/** Dependencies of {@link KeyClaims}. */
export interface KeyClaimsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  /**
   * The daemons in the platform's list. Voters are chosen from this list instead of the
   * live members: the live members differ on the two sides of a network partition, and
   * each side would reach its own quorum.
   */
  readonly listedDaemons: () => readonly RoleCandidate[];
  readonly send: (to: string, body: PeerBody) => void;
}

/** Claims keys for the router of one daemon, and votes on claims of other routers. */
export class KeyClaims {
  private readonly table: ClaimTable;
  private readonly rounds = new Map<string, OpenRound>();
  /** Voters for the key of each unfinished request, by request id. */
  private readonly voters = new Map<string, readonly string[]>();
  private readonly startedAt: number;
  private readonly pulledFrom = new Set<string>();
  private pullToken = 0;
  private lastPullAt = 0;
  private pullPeriodMs = INITIAL_PULL_PERIOD_MS;

  constructor(private readonly options: KeyClaimsOptions) {
    this.startedAt = options.clock.now();
    this.table = new ClaimTable(this.startedAt);
  }

  /** Claims a key for a request; resolves within {@link ROUND_TIMEOUT_MS}. */
  claim(tenant: string, key: string, request: string): Promise<SettledClaim> {
    const voters = votersOf(tenant, key, this.options.listedDaemons(), CLAIM_VOTERS);
    this.voters.set(request, voters);
    return new Promise((resolve) => {
      const timeout = startReplyTimeout(ROUND_TIMEOUT_MS, () => settle('unavailable'));
      const settle = (outcome: SettledClaim): void => {
        timeout.cancel();
        this.rounds.delete(request);
        resolve(outcome);
      };
      const repliedVoters = new Set<string>();
      const startedAt = this.options.clock.now();
      const round = new ClaimRound(voters);
      const open = { startedAt, round, voters, repliedVoters, settle, sentToAll: false };
      this.rounds.set(request, { ...open, sendToOthers: () => {} });
      this.sendClaim(voters, create(ClaimKeySchema, { tenant, key, request }));
    });
  }

  /**
   * Sends the claim to the first voter only, and to the others once it has granted: if
   * two requests claim a key simultaneously, the first voter decides between them and
   * the votes are not split. If the first voter does not reply within
   * {@link FIRST_VOTER_TIMEOUT_MS}, the claim is sent to the others anyway.
   */
  private sendClaim(voters: readonly string[], message: ClaimKey): void {
    const [first, ...others] = voters;
    if (first === undefined) return;
    const body = { case: 'claimKey', value: message } as const;
    this.options.send(first, body);
    const sendToOthers = (): void => {
      const open = this.rounds.get(message.request);
      if (open === undefined || open.sentToAll) return;
      open.sentToAll = true;
      for (const voter of others) this.options.send(voter, body);
    };
    const open = this.rounds.get(message.request);
    if (open !== undefined) open.sendToOthers = sendToOthers;
    startReplyTimeout(FIRST_VOTER_TIMEOUT_MS, sendToOthers);
  }

  /**
   * Releases the key of a request that was refused without having run, so that the
   * caller can retry with the same key. Must not be called in any other case.
   */
  release(tenant: string, key: string, request: string): void {
    const voters = this.voters.get(request) ?? [];
    this.voters.delete(request);
    const value = create(ClaimReleaseSchema, { tenant, key, request });
    for (const voter of voters) this.options.send(voter, { case: 'claimRelease', value });
  }

  /**
   * Keeps the key of an ended request claimed until it expires, because the request has run or may
   * have run.
   */
  keepUntilExpiry(request: string): void {
    this.voters.delete(request);
  }

  /** Handles a router's release of a key. */
  handleRelease(message: ClaimRelease): void {
    this.table.release(message.tenant, message.key, message.request);
  }

  /** Votes on another router's claim. */
  handleClaim(from: string, message: ClaimKey): void {
    const now = this.options.clock.now();
    const { tenant, key, request } = message;
    const granted = this.table.claim(tenant, key, request, now);
    const mayLackClaims = this.table.mayLackClaims(now);
    const value = create(ClaimKeyAnswerSchema, {
      tenant,
      key,
      request,
      granted,
      young: mayLackClaims,
    });
    this.options.send(from, { case: 'claimKeyAnswer', value });
  }

  /** Counts a voter's vote in the open round of its request. */
  handleVote(from: string, message: ClaimKeyAnswer): void {
    const open = this.rounds.get(message.request);
    if (open === undefined) return;
    // A router that was paused must not count votes that arrive after the round's timeout.
    if (this.options.clock.now() - open.startedAt > ROUND_TIMEOUT_MS)
      return open.settle('unavailable');
    open.repliedVoters.add(from);
    const outcome = open.round.vote(from, message.granted, message.young);
    if (outcome === 'pending') return open.sendToOthers();
    if (outcome !== 'granted' || open.repliedVoters.size === open.voters.length) {
      open.settle(outcome);
      return;
    }
    // A quorum has granted, but the remaining voter may still refuse.
    startReplyTimeout(REFUSAL_WAIT_MS, () => {
      if (this.rounds.get(message.request) === open) open.settle('granted');
    });
  }

  /**
   * Merges the claims that a draining daemon hands over, or that a voter sends in reply to a pull.
   */
  handleTransfer(from: string, message: ClaimTransfer): void {
    const claims = message.claims.map(({ tenant, key, request, expiresAt }): KeyClaim => ({
      tenant,
      key,
      request,
      expiresAt,
    }));
    this.table.merge(claims, this.options.clock.now());
    if (message.token !== this.pullToken || message.young) return;
    this.pulledFrom.add(from);
    const others = this.otherMembers();
    const isMajority = this.pulledFrom.size + 1 > this.options.listedDaemons().length / 2;
    const hasAll = others.every((address) => this.pulledFrom.has(address));
    if (isMajority && hasAll) this.table.markComplete();
  }

  /** Sends this voter's claims to a restarted voter. */
  handlePull(from: string, message: ClaimPull): void {
    const now = this.options.clock.now();
    const claims = this.table.all().map((claim) => ({ ...claim }));
    const mayLackClaims = this.table.mayLackClaims(now);
    const value = create(ClaimTransferSchema, {
      claims,
      token: message.token,
      young: mayLackClaims,
    });
    this.options.send(from, { case: 'claimTransfer', value });
  }

  /** Requests the claims of all other daemons while this voter's table may lack claims. */
  pullClaims(): void {
    const now = this.options.clock.now();
    if (!this.table.mayLackClaims(now) || now - this.startedAt < PULL_DELAY_MS) return;
    if (now - this.lastPullAt < this.pullPeriodMs) return;
    this.lastPullAt = now;
    this.pullPeriodMs = Math.min(this.pullPeriodMs * 2, MAX_PULL_PERIOD_MS);
    this.pullToken = now;
    this.pulledFrom.clear();
    const value = create(ClaimPullSchema, { token: this.pullToken });
    for (const address of this.otherMembers())
      this.options.send(address, { case: 'claimPull', value });
  }

  private otherMembers(): string[] {
    const { membership } = this.options;
    const addresses = membership.live().map((member) => member.address);
    return addresses.filter((address) => address !== membership.ownView.address);
  }

  /** Sends this daemon's claims to the daemons that vote on their keys once it has left. */
  transferClaims(): void {
    const self = this.options.membership.ownView.address;
    const remaining = this.options.listedDaemons().filter((member) => member.address !== self);
    const byVoter = new Map<string, KeyClaim[]>();
    for (const claim of this.table.all()) {
      for (const voter of votersOf(claim.tenant, claim.key, remaining, CLAIM_VOTERS)) {
        byVoter.set(voter, [...(byVoter.get(voter) ?? []), claim]);
      }
    }
    for (const [voter, claims] of byVoter) {
      const value = create(ClaimTransferSchema, { claims: claims.map((claim) => ({ ...claim })) });
      this.options.send(voter, { case: 'claimTransfer', value });
    }
  }

  /** Deletes expired claims. */
  deleteExpired(): void {
    this.table.deleteExpired(this.options.clock.now());
  }
}
