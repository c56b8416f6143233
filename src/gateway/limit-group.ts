/** Which daemon is the holder of a limit, and which share of it each daemon may use, as one daemon sees the group. */
import { leaseNow } from '../common/lease-clock.js';
import { firstCandidate } from '../common/rendezvous.js';
import type { LimitShares } from '../core/admission/limit-shares.js';
import type { HolderView, RateLimit } from '../core/admission/rate-ledger.js';
import { highCapacityMembers } from '../core/roles.js';
import type { MemberView } from '../core/membership-messages.js';
import { resourceName, type LimitKind } from './limit-kind.js';

/** Options of {@link LimitGroup}. */
export interface LimitGroupOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly live: () => readonly MemberView[];
  /** How limits are divided among the daemons. */
  readonly shares: LimitShares;
}

/** One daemon's view of the group. Times are milliseconds of a steady clock. */
export class LimitGroup {
  /** Time since which the candidates for holder are the same. Holders have counted all units since then. */
  candidatesSince: number;
  private candidates: string[] = [];
  private liveCount = 0;
  /** Live daemons that have a share. */
  private sharerCount = 0;
  private hasChanged = true;
  /** Whether the counts of daemons date from before a noted change. */
  private areCountsStale = true;

  constructor(
    private readonly options: LimitGroupOptions,
    now: number,
  ) {
    this.candidatesSince = now;
  }

  /** Whether there is a candidate for holder. There is none while the share record is unknown or no daemon with a share is live. */
  get hasCandidates(): boolean {
    return this.candidates.length > 0;
  }

  /** Notes that the set of live daemons or the share record has changed. */
  markChanged(): void {
    this.hasChanged = true;
    this.areCountsStale = true;
  }

  /** Applies a noted change. Returns whether the candidates for holder have changed. */
  update(now: number): boolean {
    if (!this.hasChanged) return false;
    this.hasChanged = false;
    const candidates = highCapacityMembers(this.countSharers())
      .map((member) => member.address)
      .sort();
    if (candidates.join() === this.candidates.join()) return false;
    this.candidates = candidates;
    this.candidatesSince = now;
    return true;
  }

  /** Returns the holder of a name: the daemon that counts units under its limit. */
  holderOf(name: string): string {
    const { kind, self } = this.options;
    return firstCandidate(resourceName(kind, name), this.candidates) ?? self;
  }

  /** Returns whether this daemon is the holder of a name. */
  isHolder(name: string): boolean {
    return this.holderOf(name) === this.options.self;
  }

  /** Whether this daemon may use its share, and so may grant units as a holder. */
  get mayUseShare(): boolean {
    return this.options.shares.mayUseShare(leaseNow());
  }

  /** Returns the units per window that this daemon may admit without the holder. The shares of all daemons together exceed no limit. */
  ownShare(limit: RateLimit): number {
    return this.unitsOf(limit) * this.options.shares.ownShare(leaseNow());
  }

  /** Returns the units per window that each daemon with a share may admit without the holder. */
  memberShare(limit: RateLimit): number {
    return this.unitsOf(limit) * this.options.shares.sharePerMember;
  }

  /**
   * Returns the number of live daemons and the fraction of the limits that a holder may grant. It includes noted changes that
   * are not applied yet: {@link mayUseShare} does so too, and a holder that may use its share must not count 0 daemons.
   */
  view(): HolderView {
    if (this.areCountsStale) this.countSharers();
    const share = this.options.shares.combinedShare(this.sharerCount, leaseNow());
    return { daemons: Math.max(1, this.liveCount), share };
  }

  /** Counts the live daemons, and returns those that have a share. */
  private countSharers(): MemberView[] {
    const live = this.options.live();
    const sharers = live.filter(({ address }) => this.options.shares.isSharer(address));
    this.liveCount = live.length;
    this.sharerCount = sharers.length;
    this.areCountsStale = false;
    return sharers;
  }

  private unitsOf({ perSecond, burst }: RateLimit): number {
    return (perSecond * this.options.kind.windowMs) / 1_000 + burst;
  }

  /** Returns the addresses of the live daemons. */
  liveAddresses(): Set<string> {
    return new Set(this.options.live().map((member) => member.address));
  }
}
