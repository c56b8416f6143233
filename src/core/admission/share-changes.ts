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

  /** Members that have to be asked for the record's number. */
  unanswered(record: ShareRecord, view: ShareChangeView, now: number): string[] {
    const isEnough = isClosed(record)
      ? (address: string): boolean => this.hasAnsweredLately(address, record, now)
      : (address: string): boolean => this.knows(address, record);
    return remaining(record, view)
      .map(({ address }) => address)
      .filter((address) => !isEnough(address));
  }

  /** The next record, if it may be written now. */
  next(record: ShareRecord, view: ShareChangeView, now: number): ShareRecord | undefined {
    return isClosed(record) ? this.open(record, view, now) : this.close(record, view, now);
  }

  /** Whether other daemons should share than do. */
  isWanted(record: ShareRecord, view: ShareChangeView): boolean {
    return !isClosed(record) || !sameMembers(record.members, wantedMembers(record, view));
  }

  private open(record: ShareRecord, view: ShareChangeView, now: number): ShareRecord | undefined {
    this.completeSince = undefined;
    const next = wantedMembers(record, view);
    if (!this.isStable(next, now) || sameMembers(record.members, next)) return undefined;
    const live = new Set(view.live.map(({ address }) => address));
    const areInTouch = remaining(record, view).every(({ address }) => live.has(address));
    if (!areInTouch || this.unanswered(record, view, now).length > 0) return undefined;
    return { number: record.number + 1, members: record.members, next };
  }

  private close(record: ShareRecord, view: ShareChangeView, now: number): ShareRecord | undefined {
    if (this.unanswered(record, view, now).length > 0) {
      this.completeSince = undefined;
      return undefined;
    }
    this.completeSince ??= now;
    const hasEndedMember = remaining(record, view).length < record.members.length;
    const waitMs = hasEndedMember ? CLOSES_AFTER_END_MS : CLOSES_AFTER_MS;
    if (now - this.completeSince < waitMs) return undefined;
    return { number: record.number + 1, members: record.next, next: record.next };
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

/** Members that have not ended. */
function remaining(record: ShareRecord, { hasEnded }: ShareChangeView): ShareMember[] {
  return record.members.filter(({ address }) => !hasEnded(address));
}

function wantedMembers(record: ShareRecord, view: ShareChangeView): ShareMember[] {
  return sortMembers([...view.live, ...remaining(record, view)]);
}
