/** Who counts which limit, and which share of it each daemon may count, as one daemon sees the group. */
import { leaseNow } from '../common/lease-clock.js';
import { firstCandidate } from '../common/rendezvous.js';
import type { LimitShares } from '../core/admission/limit-shares.js';
import type { HolderView, RateLimit } from '../core/admission/rate-ledger.js';
import { highCapacityMembers } from '../core/duties.js';
import type { MemberView } from '../core/membership-messages.js';
import { heldName, type LimitKind } from './limit-kind.js';

/** Options of {@link LimitGroup}. */
export interface LimitGroupOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly live: () => readonly MemberView[];
  /** How limits are divided among the daemons. */
  readonly shares: LimitShares;
}

/** One daemon's view. Times are milliseconds of a steady clock. */
export class LimitGroup {
  /** Since when the same daemons may hold: the holders among them have counted all since. */
  candidatesSince: number;
  private candidates: string[] = [];
  private liveCount = 0;
  /** Live daemons that have a share. */
  private sharerCount = 0;
  private hasChanged = true;

  constructor(
    private readonly options: LimitGroupOptions,
    now: number,
  ) {
    this.candidatesSince = now;
  }

  /** Whether anybody may hold: nobody may as long as the division of limits is not known, or no daemon is seen that has a share. */
  get hasCandidates(): boolean {
    return this.candidates.length > 0;
  }

  /** The set of live daemons has changed, or the division of limits. */
  changed(): void {
    this.hasChanged = true;
  }

  /** Takes a change of the live daemons in; returns whether other daemons may hold now. */
  follow(now: number): boolean {
    if (!this.hasChanged) return false;
    this.hasChanged = false;
    const live = this.options.live();
    const sharers = live.filter(({ address }) => this.options.shares.isSharer(address));
    this.liveCount = live.length;
    this.sharerCount = sharers.length;
    const candidates = highCapacityMembers(sharers)
      .map((member) => member.address)
      .sort();
    if (candidates.join() === this.candidates.join()) return false;
    this.candidates = candidates;
    this.candidatesSince = now;
    return true;
  }

  /** The daemon that counts under the limit of a name. */
  holderOf(name: string): string {
    const { kind, self } = this.options;
    return firstCandidate(heldName(kind, name), this.candidates) ?? self;
  }

  /** Whether this daemon counts under the limit of a name. */
  isHolder(name: string): boolean {
    return this.holderOf(name) === this.options.self;
  }

  /** Whether this daemon may count as a holder. */
  get mayCount(): boolean {
    return this.options.shares.mayUseShare(leaseNow());
  }

  /** Units of a window that this daemon may admit alone: all together pass no limit. */
  ownShare(limit: RateLimit): number {
    return this.unitsOf(limit) * this.options.shares.ownShare(leaseNow());
  }

  /** Units of a window that each daemon with a share may admit alone. */
  usualShare(limit: RateLimit): number {
    return this.unitsOf(limit) * this.options.shares.sharePerMember;
  }

  /** What a holder counts. */
  view(): HolderView {
    const share = this.options.shares.combinedShare(this.sharerCount, leaseNow());
    return { daemons: Math.max(1, this.liveCount), share };
  }

  private unitsOf({ perSecond, burst }: RateLimit): number {
    return (perSecond * this.options.kind.windowMs) / 1_000 + burst;
  }

  /** Addresses of the live daemons. */
  liveAddresses(): Set<string> {
    return new Set(this.options.live().map((member) => member.address));
  }
}
