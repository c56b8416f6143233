/** Who counts which limit, and which share of it each daemon may count, as one daemon sees the group. */
import { firstCandidate } from '../common/rendezvous.js';
import type { HolderView, RateLimit } from '../core/admission/rate-ledger.js';
import { ablestOf } from '../core/duties.js';
import type { MemberView } from '../core/membership-messages.js';
import { heldName, type LimitKind } from './limit-kind.js';

/** Options of {@link LimitGroup}. */
export interface LimitGroupOptions {
  readonly self: string;
  readonly kind: LimitKind;
  readonly live: () => readonly MemberView[];
  /** Daemons that the platform's store lists. */
  readonly listedCount: () => number;
}

/** One daemon's view. Times are milliseconds of a steady clock. */
export class LimitGroup {
  /** Since when the same daemons may hold: the holders among them have counted all since. */
  candidatesSince: number;
  private candidates: string[] = [];
  private liveCount = 0;
  private hasChanged = true;

  constructor(
    private readonly options: LimitGroupOptions,
    now: number,
  ) {
    this.candidatesSince = now;
  }

  /** Whether the list of daemons has been read: who has not read it does not know its share. */
  get isListed(): boolean {
    return this.options.listedCount() > 0;
  }

  /** The set of live daemons has changed. */
  changed(): void {
    this.hasChanged = true;
  }

  /** Takes a change of the live daemons in; returns whether other daemons may hold now. */
  follow(now: number): boolean {
    if (!this.hasChanged) return false;
    this.hasChanged = false;
    const live = this.options.live();
    this.liveCount = live.length;
    const candidates = ablestOf(live)
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

  /** Units of a window that each daemon may admit alone: all together pass no limit. */
  equalShare(limit: RateLimit): number {
    const units = (limit.perSecond * this.options.kind.windowMs) / 1_000 + limit.burst;
    return units / Math.max(1, this.options.listedCount(), this.liveCount);
  }

  /** What a holder counts. */
  view(): HolderView {
    const daemons = Math.max(1, this.liveCount);
    return { daemons, share: daemons / Math.max(daemons, this.options.listedCount()) };
  }

  /** Addresses of the live daemons. */
  liveAddresses(): Set<string> {
    return new Set(this.options.live().map((member) => member.address));
  }
}
