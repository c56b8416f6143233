/**
 * Decides when the division of limits may change. The coordinator starts a change while all members reply, and completes it
 * once all of them know the new record. Until then joining daemons have no share and members have the smaller of the old and
 * the new share. Pure; times are milliseconds of the steady clock.
 */
import {
  PREVIOUS_ENTRY_VALID_MS,
  MEMBER_REPLY_VALID_MS,
  isSettled,
  sameMembers,
  sortMembers,
} from './limit-shares.js';
import type { ShareMember, ShareRecord } from './limit-shares.js';

/** The set of daemons must have been stable for this long, so that daemons that start together join in one change. */
const STABLE_MS = 1_000;
/** Age in milliseconds up to which a reply shows that a member is reachable. */
const REPLY_VALID_MS = 1_000;
/**
 * Delay between the last member's reply and the completion of a change. After it, no daemon uses an older record any longer
 * that a member has sent in a reply.
 */
const COMPLETION_DELAY_MS = MEMBER_REPLY_VALID_MS + 300;
/** The same delay if a member has stopped: it may have restarted just before under the entry of its previous process. */
const COMPLETION_DELAY_AFTER_STOP_MS = PREVIOUS_ENTRY_VALID_MS + 5_000;

/** The coordinator's view of the group. */
export interface ShareChangeView {
  readonly live: readonly ShareMember[];
  /** Returns whether a daemon has stopped, according to the platform's store. */
  readonly hasEnded: (address: string) => boolean;
}

/** The next actions for a change. */
export interface ShareChangeStep {
  /** Addresses of members that must be queried for the record that they know. */
  readonly unanswered: readonly string[];
  /** The next record if it may be written now, otherwise undefined. */
  readonly next: ShareRecord | undefined;
}

interface MemberReply {
  readonly number: number;
  readonly at: number;
}

/** Tracks the members' replies and decides on the coordinator's next step. */
export class ShareChanges {
  private readonly replies = new Map<string, MemberReply>();
  private desired: readonly ShareMember[] = [];
  private desiredSince = -Infinity;
  private allKnowSince: number | undefined;

  /** Records the number of the record that a member knows. The member may be this daemon. */
  recordReply(from: string, number: number, now: number): void {
    this.replies.set(from, { number, at: now });
  }

  /** Returns the next step for a record, or undefined if no change is in progress and none is needed. */
  nextStep(record: ShareRecord, view: ShareChangeView, now: number): ShareChangeStep | undefined {
    const remaining = record.members.filter(({ address }) => !view.hasEnded(address));
    return isSettled(record)
      ? this.startChange(record, remaining, view, now)
      : this.completeChange(record, remaining, now);
  }

  private startChange(
    record: ShareRecord,
    remaining: readonly ShareMember[],
    { live }: ShareChangeView,
    now: number,
  ): ShareChangeStep | undefined {
    const desired = sortMembers([...live, ...remaining]);
    if (sameMembers(record.members, desired)) return undefined;
    this.allKnowSince = undefined;
    const isStable = this.isStable(desired, now);
    const unanswered = addressesOf(remaining).filter(
      (address) => !this.hasRepliedRecently(address, record, now),
    );
    const seen = new Set(addressesOf(live));
    const areReachable =
      unanswered.length === 0 && addressesOf(remaining).every((address) => seen.has(address));
    if (!isStable || !areReachable) return { unanswered, next: undefined };
    const next = { number: record.number + 1, members: record.members, next: desired };
    return { unanswered, next };
  }

  private completeChange(
    record: ShareRecord,
    remaining: readonly ShareMember[],
    now: number,
  ): ShareChangeStep {
    const unanswered = addressesOf(remaining).filter(
      (address) => !this.knowsRecord(address, record),
    );
    if (unanswered.length > 0) {
      this.allKnowSince = undefined;
      return { unanswered, next: undefined };
    }
    this.allKnowSince ??= now;
    const hasStoppedMember = remaining.length < record.members.length;
    const waitMs = hasStoppedMember ? COMPLETION_DELAY_AFTER_STOP_MS : COMPLETION_DELAY_MS;
    if (now - this.allKnowSince < waitMs) return { unanswered, next: undefined };
    const next = { number: record.number + 1, members: record.next, next: record.next };
    return { unanswered, next };
  }

  private isStable(members: readonly ShareMember[], now: number): boolean {
    if (!sameMembers(this.desired, members)) {
      this.desired = members;
      this.desiredSince = now;
    }
    return now - this.desiredSince >= STABLE_MS;
  }

  private knowsRecord(address: string, record: ShareRecord): boolean {
    return (this.replies.get(address)?.number ?? 0) >= record.number;
  }

  private hasRepliedRecently(address: string, record: ShareRecord, now: number): boolean {
    const at = this.replies.get(address)?.at ?? -Infinity;
    return this.knowsRecord(address, record) && now - at <= REPLY_VALID_MS;
  }
}

/**
 * Returns the first record, with all live daemons as members, or undefined if there are none. Daemons that are not visible
 * yet join by a later change.
 */
export function initialRecord({ live }: ShareChangeView): ShareRecord | undefined {
  const members = sortMembers(live);
  return members.length === 0 ? undefined : { number: 1, members, next: members };
}

function addressesOf(members: readonly ShareMember[]): string[] {
  return members.map(({ address }) => address);
}
