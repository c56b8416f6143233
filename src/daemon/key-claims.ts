/** Claims idempotency keys at a quorum of daemons, and votes on the claims of others. */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../common/clock.js';
import {
  CLAIM_VOTERS,
  ClaimRound,
  ClaimTable,
  type ClaimOutcome,
  type KeyClaim,
} from '../core/claim-table.js';
import { votersOf, type DutyMember } from '../core/duties.js';
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

/** Milliseconds until a round without a quorum is given up; a later vote does not count. */
const ROUND_TIMEOUT_MS = 600;
/** Milliseconds that a new voter waits before it pulls: longer than any round. */
const PULL_AFTER_MS = 1_500;
/** Milliseconds between the first two pulls, and at most: in a new group all stay young for long. */
const FIRST_PULL_PERIOD_MS = 1_000;
const LONGEST_PULL_PERIOD_MS = 60_000;
/** Milliseconds that the first voter is waited for before the others are asked too. */
const FIRST_VOTER_MS = 100;
/** Milliseconds that a granted round waits for a voter that might refuse. */
const REFUSAL_GRACE_MS = 60;

/** How a claim ended. */
export type SettledClaim = Exclude<ClaimOutcome, 'pending'>;

interface OpenRound {
  readonly startedAt: number;
  readonly round: ClaimRound;
  readonly voters: readonly string[];
  readonly answered: Set<string>;
  readonly settle: (outcome: SettledClaim) => void;
  askedAll: boolean;
  askOthers: () => void;
}

/** What claims need around them. */
export interface KeyClaimsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  /**
   * The daemons of the platform's list. Voters are chosen from it and not from
   * the live members: on the two sides of a cut the live members differ, and
   * each side would find a quorum of its own.
   */
  readonly listed: () => readonly DutyMember[];
  readonly send: (to: string, body: PeerBody) => void;
}

/** Both sides of the claims at one daemon. */
export class KeyClaims {
  private readonly table: ClaimTable;
  private readonly rounds = new Map<string, OpenRound>();
  /** Who was asked for the keys of requests that have not ended. */
  private readonly voters = new Map<string, readonly string[]>();
  private readonly startedAt: number;
  private readonly pulledFrom = new Set<string>();
  private pullToken = 0;
  private lastPullAt = 0;
  private pullPeriodMs = FIRST_PULL_PERIOD_MS;

  constructor(private readonly options: KeyClaimsOptions) {
    this.startedAt = options.clock.now();
    this.table = new ClaimTable(this.startedAt);
  }

  /** Claims a key for a request; resolves at the latest after {@link ROUND_TIMEOUT_MS}. */
  claim(tenant: string, key: string, request: string): Promise<SettledClaim> {
    const voters = votersOf(tenant, key, this.options.listed(), CLAIM_VOTERS);
    this.voters.set(request, voters);
    return new Promise((resolve) => {
      const timer = setTimeout(() => settle('unavailable'), ROUND_TIMEOUT_MS);
      const settle = (outcome: SettledClaim): void => {
        clearTimeout(timer);
        this.rounds.delete(request);
        resolve(outcome);
      };
      const answered = new Set<string>();
      const startedAt = this.options.clock.now();
      const round = new ClaimRound(voters);
      const open = { startedAt, round, voters, answered, settle, askedAll: false };
      this.rounds.set(request, { ...open, askOthers: () => {} });
      this.askVoters(voters, create(ClaimKeySchema, { tenant, key, request }));
    });
  }

  /**
   * Asks the first voter alone, and the others once it has granted: two requests
   * at the same moment are then told apart by one voter and do not split the
   * votes. A first voter that is silent is not waited for.
   */
  private askVoters(voters: readonly string[], message: ClaimKey): void {
    const [first, ...others] = voters;
    if (first === undefined) return;
    const body = { case: 'claimKey', value: message } as const;
    this.options.send(first, body);
    const askOthers = (): void => {
      const open = this.rounds.get(message.request);
      if (open === undefined || open.askedAll) return;
      open.askedAll = true;
      for (const voter of others) this.options.send(voter, body);
    };
    const open = this.rounds.get(message.request);
    if (open !== undefined) open.askOthers = askOthers;
    setTimeout(askOthers, FIRST_VOTER_MS);
  }

  /**
   * Gives a key back after its request was refused without having run, so that
   * the caller can come back with the same key. Must not be called otherwise.
   */
  release(tenant: string, key: string, request: string): void {
    const voters = this.voters.get(request) ?? [];
    this.voters.delete(request);
    const value = create(ClaimReleaseSchema, { tenant, key, request });
    for (const voter of voters) this.options.send(voter, { case: 'claimRelease', value });
  }

  /** The request has ended otherwise: its key stays claimed until it expires. */
  keep(request: string): void {
    this.voters.delete(request);
  }

  /** A router gives a key back. */
  handleRelease(message: ClaimRelease): void {
    this.table.release(message.tenant, message.key, message.request);
  }

  /** Votes on a claim. */
  handleClaim(from: string, message: ClaimKey): void {
    const now = this.options.clock.now();
    const { tenant, key, request } = message;
    const granted = this.table.claim(tenant, key, request, now);
    const young = this.table.mayLackClaims(now);
    const value = create(ClaimKeyAnswerSchema, { tenant, key, request, granted, young });
    this.options.send(from, { case: 'claimKeyAnswer', value });
  }

  /** Counts a vote. */
  handleAnswer(from: string, message: ClaimKeyAnswer): void {
    const open = this.rounds.get(message.request);
    if (open === undefined) return;
    // A router that was paused must not count votes of a round that is over.
    if (this.options.clock.now() - open.startedAt > ROUND_TIMEOUT_MS)
      return open.settle('unavailable');
    open.answered.add(from);
    const outcome = open.round.vote(from, message.granted, message.young);
    if (outcome === 'pending') return open.askOthers();
    if (outcome !== 'granted' || open.answered.size === open.voters.length) {
      open.settle(outcome);
      return;
    }
    // A quorum has granted; the last voter may still know better.
    setTimeout(() => {
      if (this.rounds.get(message.request) === open) open.settle('granted');
    }, REFUSAL_GRACE_MS);
  }

  /** Takes over the claims of a daemon that drains, or that was asked for them. */
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
    const isMajority = this.pulledFrom.size + 1 > this.options.listed().length / 2;
    const haveAll = others.every((address) => this.pulledFrom.has(address));
    if (isMajority && haveAll) this.table.markComplete();
  }

  /** Answers a new voter. */
  handlePull(from: string, message: ClaimPull): void {
    const now = this.options.clock.now();
    const claims = this.table.all().map((claim) => ({ ...claim }));
    const young = this.table.mayLackClaims(now);
    const value = create(ClaimTransferSchema, { claims, token: message.token, young });
    this.options.send(from, { case: 'claimTransfer', value });
  }

  /** While this voter is young: asks all others for their claims. */
  pull(): void {
    const now = this.options.clock.now();
    if (!this.table.mayLackClaims(now) || now - this.startedAt < PULL_AFTER_MS) return;
    if (now - this.lastPullAt < this.pullPeriodMs) return;
    this.lastPullAt = now;
    this.pullPeriodMs = Math.min(this.pullPeriodMs * 2, LONGEST_PULL_PERIOD_MS);
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

  /** Hands this daemon's claims to those who vote once it is gone. */
  handOver(): void {
    const self = this.options.membership.ownView.address;
    const staying = this.options.listed().filter((member) => member.address !== self);
    const byVoter = new Map<string, KeyClaim[]>();
    for (const claim of this.table.all()) {
      for (const voter of votersOf(claim.tenant, claim.key, staying, CLAIM_VOTERS)) {
        byVoter.set(voter, [...(byVoter.get(voter) ?? []), claim]);
      }
    }
    for (const [voter, claims] of byVoter) {
      const value = create(ClaimTransferSchema, { claims: claims.map((claim) => ({ ...claim })) });
      this.options.send(voter, { case: 'claimTransfer', value });
    }
  }

  /** Drops what has expired. */
  expire(): void {
    this.table.deleteExpired(this.options.clock.now());
  }
}
