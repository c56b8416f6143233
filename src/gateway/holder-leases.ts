/**
 * Keeps this daemon's leases on what it holds for all, and its words to other holders. A holder asks
 * a few keepers, whatever the size of the group; nothing is asked for what nobody uses. Leases are counted by the lease clock,
 * words by the steady one: on a machine that was suspended a lease ends in time, and a word is kept for longer.
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

/** Between two questions of a lease that holds: it outlasts two that get no answer. */
const RENEW_PERIOD_MS = 400;
/** Between two questions without a lease: the keepers' word to a former holder may end any time. */
const RETRY_PERIOD_MS = 100;
/** After so long without a lease, well after any word to another has ended, questions are few. */
const RETRIES_SLOW_AFTER_MS = 2_500;
/** Between two questions then: who is cut off with callers of all tenants sends little into the void. */
const SLOW_RETRY_PERIOD_MS = 2_000;
/**
 * A member that has not been seen for so long is no keeper: by then the views of a split group
 * have settled, and each side counts its own share of the daemons only.
 */
const SETTLED_MS = 10_000;
/** Between two looks at who may be a keeper. */
const LOOK_PERIOD_MS = 500;
/** Between two log lines about a lease that is not got. */
const LOG_PERIOD_MS = 5_000;

/** Options of {@link HolderLeases}. */
export interface HolderLeasesOptions {
  readonly self: string;
  readonly logger: Logger;
  /** Daemons that have a share of the limits: all daemons choose keepers among the same. */
  readonly members: () => readonly ShareMember[];
  readonly live: () => readonly Pick<ShareMember, 'address'>[];
  /** Milliseconds for which keepers remember what former holders have told. */
  readonly rememberMs: number;
  /**
   * Start of this process in Unix milliseconds: higher at each start of this daemon. Questions are numbered
   * from it on, and it names the process to the keepers and the members ({@link HolderLeases.process}).
   */
  readonly firstSequence: number;
  /** Steady time of the process's start: words that a former process at this address gave are older. */
  readonly processStartedAt: number;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
}

/** What one lease is for. */
export interface HeldDuty {
  /** The most that the holder would lend to itself for now, told to the keepers for its successor. */
  readonly ownCeiling: (now: number) => number;
  /** A keeper has answered, and the lease holds; called with each answer from the majority's on. */
  readonly onAnswered: (now: number) => void;
  /** The lease is got, after `missingMs` without it. */
  readonly onGained: (history: LeaseHistory, missingMs: number, now: number) => void;
}

interface WantedLease {
  readonly duty: HeldDuty;
  readonly lease: HolderLease;
  /** Since when it is wanted, or was lost. */
  missingSince: number;
  /** Whether the lease held at the last look. */
  held: boolean;
  loggedAt: number;
  /** Keepers that have refused their word since the last question. */
  refused: number;
}

/** One daemon's leases and words. */
export class HolderLeases {
  private readonly wanted = new Map<string, WantedLease>();
  private readonly keeper: LeaseVoter;
  private readonly startedAt = steadyNow();
  private sequence: number;
  /** When each member was seen last. */
  private readonly seenAt = new Map<string, number>();
  private candidates: readonly ShareMember[] = [];
  private lookedAt = -Infinity;
  /** Keepers by name, until the candidates change. */
  private readonly keepers = new Map<string, readonly string[]>();

  constructor(private readonly options: HolderLeasesOptions) {
    this.keeper = new LeaseVoter(options.processStartedAt, options.rememberMs);
    this.sequence = options.firstSequence;
  }

  /** Asks for the lease on a name, and renews it until it is released. */
  want(name: string, duty: HeldDuty): void {
    if (this.wanted.has(name)) return;
    const now = steadyNow();
    const lease = new HolderLease();
    const entry = { duty, lease, missingSince: now, held: false, loggedAt: now, refused: 0 };
    this.wanted.set(name, entry);
    this.ask(name, entry, now);
  }

  /** Start of this process, in Unix milliseconds. */
  get process(): number {
    return this.options.firstSequence;
  }

  /** Whether this daemon may lend now: to be asked in the same turn as it lends. */
  holds(name: string): boolean {
    return this.wanted.get(name)?.lease.isHeld(leaseNow()) ?? false;
  }

  /** The most that this daemon may lend to itself now, in units of what is counted; 0 if the lease is not wanted. */
  ownCeiling(name: string): number {
    return this.wanted.get(name)?.lease.ownCeiling() ?? 0;
  }

  /** This daemon would lend itself more than its ceiling: the keepers are told of a higher one. */
  raise(name: string, units: number): void {
    const entry = this.wanted.get(name);
    if (entry === undefined) return;
    if (entry.lease.hasRequested(units, RETRY_PERIOD_MS, leaseNow())) return;
    this.ask(name, entry, steadyNow());
  }

  /** Lends no more: another may begin at once. */
  release(name: string): void {
    const entry = this.wanted.get(name);
    if (entry === undefined) return;
    const now = steadyNow();
    this.wanted.delete(name);
    entry.lease.release();
    const { self, logger, sendDatagram } = this.options;
    logger.info('holder_lease_released', { name });
    const value = create(HolderLeaseReleaseSchema, { name, sequence: this.sequence });
    for (const keeper of this.keepersOf(name, now)) {
      if (keeper === self) this.keeper.release(name, self, this.sequence);
      else sendDatagram(keeper, { case: 'holderLeaseRelease', value });
    }
  }

  /** Looks at the clock; call it ten times a second. */
  tick(): void {
    const now = steadyNow();
    this.lookAtCandidates(now);
    for (const [name, entry] of this.wanted) {
      this.followLease(name, entry, now);
      const sinceAskedMs = entry.lease.sinceRequestMs(leaseNow());
      if (sinceAskedMs >= askPeriodMs(entry, now)) this.ask(name, entry, now);
    }
  }

  /** Handles a message about leases; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'holderLeaseQuestion') this.answer(from, body.value);
    else if (body.case === 'holderLeaseAnswer') {
      const { name, sequence, isGiven, soleMs, formerHolder, formerCeiling } = body.value;
      const former =
        formerHolder === ''
          ? undefined
          : { holder: formerHolder, ownCeiling: knownUnits(formerCeiling) };
      this.hear(from, name, sequence, { isGiven, soleMs, former });
    } else if (body.case === 'holderLeaseRelease') {
      this.keeper.release(body.value.name, from, body.value.sequence);
    } else return false;
    return true;
  }

  private ask(name: string, entry: WantedLease, now: number): void {
    const { self, firstSequence: process, sendDatagram } = this.options;
    const keepers = this.keepersOf(name, now);
    this.sequence += 1;
    const { sequence } = this;
    const ownCeiling = entry.duty.ownCeiling(now);
    entry.refused = 0;
    entry.lease.recordRequest(sequence, ownCeiling, keepers, leaseNow());
    const value = create(HolderLeaseQuestionSchema, { name, sequence, ownCeiling, process });
    for (const keeper of keepers) {
      if (keeper !== self) sendDatagram(keeper, { case: 'holderLeaseQuestion', value });
    }
    if (!keepers.includes(self)) return;
    const question = { name, holder: self, process, sequence, ownCeiling };
    const own = this.keeper.handleRequest(question, now, keepers.length === 1);
    this.hear(self, name, sequence, own);
  }

  private answer(to: string, asked: HolderLeaseQuestion): void {
    const { name, process, sequence } = asked;
    const ownCeiling = knownUnits(asked.ownCeiling);
    const question = { name, holder: to, process, sequence, ownCeiling };
    const { isGiven, soleMs, former } = this.keeper.handleRequest(question, steadyNow());
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

  private hear(keeper: string, name: string, sequence: number, answer: LeaseVote): void {
    const entry = this.wanted.get(name);
    if (entry === undefined) return;
    const now = steadyNow();
    const hadLease = entry.lease.isHeld(leaseNow());
    if (!answer.isGiven) entry.refused += 1;
    const history = entry.lease.recordVote(keeper, sequence, answer);
    if (history === undefined || !entry.lease.isHeld(leaseNow())) return;
    if (!hadLease) this.gained(name, entry, history, now);
    entry.duty.onAnswered(now);
  }

  private gained(name: string, entry: WantedLease, history: LeaseHistory, now: number): void {
    entry.held = true;
    const missingMs = now - entry.missingSince;
    const waitedMs = Math.round(missingMs);
    const { soleMs, previousHolders: formers } = history;
    const former = formers[0]?.holder;
    this.options.logger.info('holder_lease_gained', { name, waitedMs, soleMs, former });
    entry.duty.onGained(history, missingMs, now);
  }

  /** Logs what has become of a lease, a line a change, and now and then while it is not got. */
  private followLease(name: string, entry: WantedLease, now: number): void {
    const holds = entry.lease.isHeld(leaseNow());
    const isLost = entry.held && !holds;
    entry.held = holds;
    if (isLost) entry.missingSince = now;
    if (holds || (!isLost && now - entry.loggedAt < LOG_PERIOD_MS)) return;
    entry.loggedAt = now;
    const age = entry.lease.ageMs(leaseNow());
    const ageMs = Number.isFinite(age) ? Math.round(age) : undefined;
    const { refused } = entry;
    const fields = { name, ageMs, refused, keepers: this.keepersOf(name, now).join(' ') };
    this.options.logger.warn(isLost ? 'holder_lease_lost' : 'holder_lease_not_given', fields);
  }

  private keepersOf(name: string, now: number): readonly string[] {
    this.lookAtCandidates(now);
    const known = this.keepers.get(name);
    if (known !== undefined) return known;
    const keepers = votersOf(name, this.candidates);
    this.keepers.set(name, keepers);
    return keepers;
  }

  private lookAtCandidates(now: number): void {
    if (now - this.lookedAt < LOOK_PERIOD_MS) return;
    this.lookedAt = now;
    const { members, live } = this.options;
    for (const { address } of live()) this.seenAt.set(address, now);
    const isCandidate = ({ address }: ShareMember): boolean =>
      now - (this.seenAt.get(address) ?? this.startedAt) < SETTLED_MS;
    const all = members();
    const addresses = new Set([...all, ...live()].map(({ address }) => address));
    for (const seen of this.seenAt.keys()) if (!addresses.has(seen)) this.seenAt.delete(seen);
    this.candidates = all.filter(isCandidate);
    this.keepers.clear();
  }
}

function askPeriodMs({ lease, missingSince }: WantedLease, now: number): number {
  if (lease.isHeld(leaseNow())) return RENEW_PERIOD_MS;
  const isSlow = now - missingSince >= RETRIES_SLOW_AFTER_MS;
  return isSlow ? SLOW_RETRY_PERIOD_MS : RETRY_PERIOD_MS;
}

/** Units as another daemon tells them; what is no number of units counts as none. */
function knownUnits(units: number): number {
  return Number.isFinite(units) ? Math.max(0, units) : 0;
}
