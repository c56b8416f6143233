/**
 * Keeps this daemon's knowledge of how limits are divided among the daemons, and changes the division where it coordinates
 * changes. The record stands in the platform's store; daemons tell each other of it, so that a change costs the store a few
 * calls, however many daemons there are, and a daemon that starts while the store is away hears of it.
 */
import { create } from '@bufbuild/protobuf';
import { leaseNow } from '../common/lease-clock.js';
import { faultText, type Logger } from '../common/logger.js';
import { firstCandidate } from '../common/rendezvous.js';
import type { LimitShares, ShareRecord } from '../core/admission/limit-shares.js';
import {
  initialRecord,
  ShareChanges,
  type ShareChangeView,
} from '../core/admission/share-changes.js';
import type { DutyMember } from '../core/duties.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import {
  ShareAnswerSchema,
  ShareQuestionSchema,
  type ShareAnswer,
  type ShareQuestion,
} from '../proto/gen/internal_pb.js';
import type { RecordStore } from './ports.js';
import { decodeShares, encodeShares } from './share-codec.js';
import { ShareRecordStore } from './share-record-store.js';
import { steadyNow } from './steady-clock.js';

/** Daemons rank the coordinator of changes under this name. */
const COORDINATOR_RANK = 'limit-shares';
/** From a reading that failed, or found nothing, to the next; twice as long after each. */
const FIRST_RETRY_MS = 300;
const LONGEST_RETRY_MS = 4_000;
/** Between two tries to write a change. */
const WRITE_PERIOD_MS = 500;
/** Between two questions of a daemon that has not read the store. */
const UNREAD_QUESTION_MS = 300;
/** Between two questions to members about a change. */
const CHANGE_QUESTION_MS = 300;
/** Between two questions of each daemon, to one other after another: news may be lost with a connection. */
const USUAL_QUESTION_MS = 5_000;
/** Questions of which an answer still counts. */
const OPEN_QUESTIONS = 16;
/** The first question of a process has a number below this, by the time of its start. */
const FIRST_SEQUENCES = 2 ** 30;
/** Between two log lines about members that do not answer. */
const LOG_PERIOD_MS = 5_000;
/** Members that such a line names. */
const MOST_NAMED = 3;

/** Options of {@link ShareAgreement}. */
export interface ShareAgreementOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly shares: LimitShares;
  readonly store: Pick<RecordStore, 'read' | 'write'>;
  /** Daemons that may be given duties, this one among them. */
  readonly live: () => readonly DutyMember[];
  /** Whether a daemon that is not live has ended, as far as the platform's list tells. */
  readonly hasEnded: (address: string) => boolean;
  readonly send: (to: string, body: PeerBody) => void;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
  /** Another record is known, or this daemon may count by it, or no longer. */
  readonly onChange: () => void;
}

/** One daemon's part. */
export class ShareAgreement {
  private readonly changes = new ShareChanges();
  /** When the last questions were asked, by the lease clock. */
  private readonly questions = new Map<number, number>();
  /** An answer to a question of a former process is none to this one's. */
  private sequence = Date.now() % FIRST_SEQUENCES;
  private turn = 0;
  /** Which daemon coordinates changes; undefined until the live daemons have been looked at. */
  private coordinator: string | undefined;
  private isBusy = false;
  private isAbsent = false;
  private mayCount = false;
  private retryAt = -Infinity;
  private writeAt = -Infinity;
  private retryMs = FIRST_RETRY_MS;
  private askedUnreadAt = -Infinity;
  private askedMembersAt = -Infinity;
  private askedUsualAt = -Infinity;
  private loggedAt = -Infinity;
  private readonly records: ShareRecordStore;

  constructor(private readonly options: ShareAgreementOptions) {
    this.records = new ShareRecordStore(options);
  }

  /** Looks at the clock; call it ten times a second. */
  tick(): void {
    const now = steadyNow();
    const { shares } = this.options;
    if (!shares.hasReadStore) this.askWithoutReading(now);
    const isUnknown = shares.record === undefined || !shares.hasReadStore;
    if (isUnknown && now >= this.retryAt) this.callStore(() => this.readOrCreate());
    if (this.isCoordinator()) this.followChange(now);
    this.askPeriodically(now);
    this.noteMayCount();
  }

  /** The set of live daemons has changed. */
  groupChanged(): void {
    this.coordinator = undefined;
  }

  /** Handles a message about shares; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'shareNews') {
      const record = decodeShares(body.value);
      if (record !== undefined) this.noteTaken(this.options.shares.recordAnnounced(record), from);
    } else if (body.case === 'shareQuestion') this.answer(from, body.value);
    else if (body.case === 'shareAnswer') this.hearAnswer(from, body.value);
    else return false;
    return true;
  }

  /** The store's calls follow one another. */
  private callStore(step: () => Promise<void>): void {
    if (this.isBusy) return;
    this.isBusy = true;
    step()
      .catch((fault: unknown) => {
        this.options.logger.error('limit_shares_fault', { reason: faultText(fault) });
      })
      .finally(() => {
        this.isBusy = false;
      });
  }

  private async readOrCreate(): Promise<void> {
    const wasAbsent = this.isAbsent;
    const reading = await this.records.read();
    this.isAbsent = reading.type === 'absent';
    this.retryAt = steadyNow() + this.retryMs;
    this.retryMs = reading.type === 'read' ? FIRST_RETRY_MS : this.nextRetryMs();
    if (reading.type === 'read') return this.noteTaken(reading.isNew, 'store');
    if (!this.isAbsent || this.knownNumber > 0) return;
    // Whoever should write the first record may not reach the store: after a while anybody does.
    if (!this.isCoordinator() && !wasAbsent) return;
    const first = initialRecord(this.view());
    if (first !== undefined) await this.write(undefined, first);
  }

  private nextRetryMs(): number {
    return Math.min(LONGEST_RETRY_MS, this.retryMs * 2);
  }

  private get knownNumber(): number {
    return this.options.shares.record?.number ?? 0;
  }

  /** Of all live daemons one coordinates changes; two that see different ones are kept apart by the store. */
  private isCoordinator(): boolean {
    const { live, self, shares } = this.options;
    if (!shares.hasReadStore) return false;
    if (this.coordinator === undefined) {
      const addresses = live().map(({ address }) => address);
      this.coordinator = firstCandidate(COORDINATOR_RANK, addresses);
    }
    return this.coordinator === self;
  }

  private followChange(now: number): void {
    const { record } = this.options.shares;
    if (record === undefined) return;
    this.changes.recordReply(this.options.self, record.number, now);
    const step = this.changes.nextStep(record, this.view(), now);
    if (step === undefined) return;
    this.askMembers(step.unanswered, record.number, now);
    const { next } = step;
    if (next === undefined || now < this.writeAt) return;
    this.writeAt = now + WRITE_PERIOD_MS;
    this.callStore(() => this.write(record, next));
  }

  private view(): ShareChangeView {
    const { live, hasEnded } = this.options;
    const seen = live();
    const addresses = new Set(seen.map(({ address }) => address));
    return {
      live: seen.map(({ address, zone }) => ({ address, zone })),
      hasEnded: (address) => !addresses.has(address) && hasEnded(address),
    };
  }

  private askMembers(unanswered: readonly string[], number: number, now: number): void {
    if (now - this.askedMembersAt < CHANGE_QUESTION_MS) return;
    this.askedMembersAt = now;
    for (const address of unanswered) this.ask(address);
    if (unanswered.length === 0 || now - this.loggedAt < LOG_PERIOD_MS) return;
    this.loggedAt = now;
    const named = unanswered.slice(0, MOST_NAMED).join(' ');
    const fields = { number, unanswered: unanswered.length, named };
    this.options.logger.info('limit_shares_waiting', fields);
  }

  private async write(former: ShareRecord | undefined, next: ShareRecord): Promise<void> {
    const reading = await this.records.replace(former, next);
    if (reading.type !== 'read') return;
    this.noteTaken(reading.isNew, 'store');
    const { record } = this.options.shares;
    if (record === undefined) return;
    this.options.broadcast({ case: 'shareNews', value: encodeShares(record) });
  }

  private askWithoutReading(now: number): void {
    if (now - this.askedUnreadAt < UNREAD_QUESTION_MS) return;
    this.askedUnreadAt = now;
    this.askNextOther();
  }

  private askPeriodically(now: number): void {
    if (now - this.askedUsualAt < USUAL_QUESTION_MS) return;
    this.askedUsualAt = now;
    this.askNextOther();
  }

  private askNextOther(): void {
    const { live, self } = this.options;
    const others = live().filter(({ address }) => address !== self);
    this.turn += 1;
    const other = others[this.turn % Math.max(1, others.length)];
    if (other !== undefined) this.ask(other.address);
  }

  private ask(to: string): void {
    this.sequence += 1;
    this.questions.set(this.sequence, leaseNow());
    const oldest = this.sequence - Math.max(OPEN_QUESTIONS, 2 * this.options.live().length);
    for (const sequence of this.questions.keys()) {
      if (sequence > oldest) break;
      this.questions.delete(sequence);
    }
    const value = create(ShareQuestionSchema, {
      sequence: this.sequence,
      number: this.knownNumber,
    });
    this.options.sendDatagram(to, { case: 'shareQuestion', value });
  }

  private answer(to: string, { sequence, number }: ShareQuestion): void {
    const { shares, send, sendDatagram } = this.options;
    const { record } = shares;
    const mayTell = shares.mayAnnounce(leaseNow());
    const isNewer = record !== undefined && record.number > number;
    const news = isNewer ? { news: encodeShares(record) } : {};
    const fields = { sequence, number: this.knownNumber, mayTell, ...news };
    const body = { case: 'shareAnswer', value: create(ShareAnswerSchema, fields) } as const;
    // The addresses of a large group fill more than a datagram.
    if (isNewer) send(to, body);
    else sendDatagram(to, body);
  }

  private hearAnswer(from: string, { sequence, number, mayTell, news }: ShareAnswer): void {
    const { shares, send } = this.options;
    const askedAt = this.questions.get(sequence);
    const sent = news === undefined ? undefined : decodeShares(news);
    const { record } = shares;
    if (record !== undefined && number < record.number) {
      send(from, { case: 'shareNews', value: encodeShares(record) });
    }
    this.changes.recordReply(from, number, steadyNow());
    const isKnown = record !== undefined && number === record.number;
    const heard = sent ?? (isKnown ? record : undefined);
    if (heard === undefined || askedAt === undefined) return;
    if (mayTell) this.noteTaken(shares.recordMemberReply(heard, askedAt), from);
    else this.noteTaken(shares.recordAnnounced(heard), from);
  }

  private noteTaken(isNew: boolean, source: string): void {
    const { shares, logger, onChange } = this.options;
    const { record } = shares;
    if (!isNew || record === undefined) return;
    const { number, members, next } = record;
    const isMember = shares.isSharer(this.options.self);
    const fields = { number, source, members: members.length, next: next.length, isMember };
    logger.info('limit_shares', { ...fields, isRead: shares.hasReadStore });
    onChange();
  }

  /** Whether this daemon may count changes with the clock. */
  private noteMayCount(): void {
    const { shares, logger, onChange } = this.options;
    const mayCount = shares.mayUseShare(leaseNow());
    if (mayCount === this.mayCount) return;
    this.mayCount = mayCount;
    const fields = { number: this.knownNumber, share: shares.ownShare(leaseNow()) };
    logger.info(mayCount ? 'limit_share_held' : 'limit_share_lost', fields);
    onChange();
  }
}
