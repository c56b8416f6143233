/**
 * When the division of limits may change. A change is opened while all members answer, and closed once all of them know
 * it: until then joined daemons have no share, and the members the smaller one. Pure; times are milliseconds of the steady clock.
 */
import {
  KEPT_ENTRY_MS,
  MEMBER_ANSWER_MS,
  isClosed,
  sameMembers,
  sortMembers,
} from './limit-shares.js';
import type { ShareMember, ShareRecord } from './limit-shares.js';

/** Other daemons must have been seen for so long without a change: those that start together join together. */
const STABLE_MS = 1_000;
/** An answer that is older says nothing of whether a member is in touch. */
const ANSWER_COUNTS_MS = 1_000;
/** After the last member's answer an older record that a member has answered with counts nowhere any more. */
const CLOSES_AFTER_MS = MEMBER_ANSWER_MS + 300;
/** The same where a member has ended: it may have started again just before, and kept its entry. */
const CLOSES_AFTER_END_MS = KEPT_ENTRY_MS + 5_000;

/** What the coordinator of changes sees. */
export interface ShareChangeView {
  readonly live: readonly ShareMember[];
  /** Whether a daemon has ended, as far as the platform's store tells. */
  readonly hasEnded: (address: string) => boolean;
}

/** What is left to do for a change. */
export interface ShareChangeStep {
  /** Addresses of members that have to be asked which record they know. */
  readonly unanswered: readonly string[];
  /** The next record, if it may be written now. */
  readonly next: ShareRecord | undefined;
}

interface MemberAnswer {
  readonly number: number;
  readonly at: number;
}

/** The coordinator's part. */
export class ShareChanges {
  private readonly answers = new Map<string, MemberAnswer>();
  private wanted: readonly ShareMember[] = [];
  private wantedSince = -Infinity;
  private completeSince: number | undefined;

  /** A member, which may be this daemon, knows a record of a number. */
  hearAnswer(from: string, number: number, now: number): void {
    this.answers.set(from, { number, at: now });
  }

  /** Looks at a record; undefined if no change of it is open and none is wanted. */
  step(record: ShareRecord, view: ShareChangeView, now: number): ShareChangeStep | undefined {
    const remaining = record.members.filter(({ address }) => !view.hasEnded(address));
    return isClosed(record)
      ? this.open(record, remaining, view, now)
      : this.close(record, remaining, now);
  }

  private open(
    record: ShareRecord,
    remaining: readonly ShareMember[],
    { live }: ShareChangeView,
    now: number,
  ): ShareChangeStep | undefined {
    const wanted = sortMembers([...live, ...remaining]);
    if (sameMembers(record.members, wanted)) return undefined;
    this.completeSince = undefined;
    const isStable = this.isStable(wanted, now);
    const unanswered = addressesOf(remaining).filter(
      (address) => !this.hasAnsweredLately(address, record, now),
    );
    const seen = new Set(addressesOf(live));
    const areInTouch =
      unanswered.length === 0 && addressesOf(remaining).every((address) => seen.has(address));
    if (!isStable || !areInTouch) return { unanswered, next: undefined };
    const next = { number: record.number + 1, members: record.members, next: wanted };
    return { unanswered, next };
  }

  private close(
    record: ShareRecord,
    remaining: readonly ShareMember[],
    now: number,
  ): ShareChangeStep {
    const unanswered = addressesOf(remaining).filter((address) => !this.knows(address, record));
    if (unanswered.length > 0) {
      this.completeSince = undefined;
      return { unanswered, next: undefined };
    }
    this.completeSince ??= now;
    const hasEndedMember = remaining.length < record.members.length;
    const waitMs = hasEndedMember ? CLOSES_AFTER_END_MS : CLOSES_AFTER_MS;
    if (now - this.completeSince < waitMs) return { unanswered, next: undefined };
    const next = { number: record.number + 1, members: record.next, next: record.next };
    return { unanswered, next };
  }

  private isStable(members: readonly ShareMember[], now: number): boolean {
    if (!sameMembers(this.wanted, members)) {
      this.wanted = members;
      this.wantedSince = now;
    }
    return now - this.wantedSince >= STABLE_MS;
  }

  private knows(address: string, record: ShareRecord): boolean {
    return (this.answers.get(address)?.number ?? 0) >= record.number;
  }

  private hasAnsweredLately(address: string, record: ShareRecord, now: number): boolean {
    const at = this.answers.get(address)?.at ?? -Infinity;
    return this.knows(address, record) && now - at <= ANSWER_COUNTS_MS;
  }
}

/** The first division ever: whoever is not seen yet joins by the next one. */
export function firstRecord({ live }: ShareChangeView): ShareRecord | undefined {
  const members = sortMembers(live);
  return members.length === 0 ? undefined : { number: 1, members, next: members };
}

function addressesOf(members: readonly ShareMember[]): string[] {
  return members.map(({ address }) => address);
}
