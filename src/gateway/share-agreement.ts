/**
 * Keeps this daemon's copy of the share record, which divides the limits among the daemons, and changes the record if this
 * daemon is the coordinator. The record is stored in the platform's store. Daemons also send it to each other, so that a change
 * costs the store a few calls, however many daemons there are, and a daemon that starts while the store is unavailable receives it.
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
import type { RoleCandidate } from '../core/roles.js';
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

/** Key by which daemons rank the candidates for coordinator. */
const COORDINATOR_RANK = 'limit-shares';
/** Delay after a read that failed or found no record. It doubles with each such read, up to the maximum. */
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 4_000;
/** Minimum interval between attempts to write a change. */
const WRITE_INTERVAL_MS = 500;
/** Interval between requests of a daemon that has not read the store. */
const UNREAD_REQUEST_INTERVAL_MS = 300;
/** Interval between requests to members that have not acknowledged a change. */
const MEMBER_REQUEST_INTERVAL_MS = 300;
/** Interval between the regular requests of each daemon, to the other daemons in turn. An announcement may be lost with a connection. */
const REGULAR_REQUEST_INTERVAL_MS = 5_000;
/** Minimum number of latest requests to which replies are still accepted. */
const MIN_OPEN_REQUESTS = 16;
/** Upper bound of a process's first sequence number, which is derived from its start time. */
const FIRST_SEQUENCE_BOUND = 2 ** 30;
/** Interval between log lines about members that do not reply. */
const LOG_INTERVAL_MS = 5_000;
/** Maximum number of members named in such a line. */
const MAX_NAMED_MEMBERS = 3;

/** Options of {@link ShareAgreement}. */
export interface ShareAgreementOptions {
  readonly self: string;
  readonly logger: Logger;
  readonly shares: LimitShares;
  readonly store: Pick<RecordStore, 'read' | 'write'>;
  /** Returns the daemons that may have shares, including this one. */
  readonly live: () => readonly RoleCandidate[];
  /** Returns whether a daemon that is not live has ended, according to the platform's list. */
  readonly hasEnded: (address: string) => boolean;
  readonly send: (to: string, body: PeerBody) => void;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  readonly broadcast: (body: PeerBody) => void;
  /** Called when a newer record is known, or when this daemon gains or loses permission to use its share. */
  readonly onChange: () => void;
}

/** One daemon's copy of the share record, and its part in changes. */
export class ShareAgreement {
  private readonly changes = new ShareChanges();
  /** Times of the latest requests by the lease clock, by sequence number. */
  private readonly openRequests = new Map<number, number>();
  /** Starts at a different number in each process, so that replies to a previous process are not accepted. */
  private sequence = Date.now() % FIRST_SEQUENCE_BOUND;
  private peerIndex = 0;
  /** The daemon that coordinates changes; undefined until it is determined from the live daemons. */
  private coordinator: string | undefined;
  private isBusy = false;
  private isAbsent = false;
  private mayUseShare = false;
  private retryAt = -Infinity;
  private writeAt = -Infinity;
  private retryMs = MIN_RETRY_MS;
  private unreadRequestAt = -Infinity;
  private memberRequestAt = -Infinity;
  private regularRequestAt = -Infinity;
  private loggedAt = -Infinity;
  private readonly records: ShareRecordStore;

  constructor(private readonly options: ShareAgreementOptions) {
    this.records = new ShareRecordStore(options);
  }

  /** Sends requests and calls the store where that is due; call it ten times a second. */
  tick(): void {
    const now = steadyNow();
    const { shares } = this.options;
    if (!shares.hasReadStore) this.requestUntilRead(now);
    const isUnknown = shares.record === undefined || !shares.hasReadStore;
    if (isUnknown && now >= this.retryAt) this.callStore(() => this.readOrCreate());
    if (this.isCoordinator()) this.followChange(now);
    this.requestRegularly(now);
    this.updateMayUseShare();
  }

  /** Call this when the set of live daemons has changed. */
  groupChanged(): void {
    this.coordinator = undefined;
  }

  /** Handles a message about shares. Returns false if it is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'shareNews') {
      const record = decodeShares(body.value);
      if (record !== undefined)
        this.handleAccepted(this.options.shares.recordAnnounced(record), from);
    } else if (body.case === 'shareQuestion') this.handleRequest(from, body.value);
    else if (body.case === 'shareAnswer') this.handleReply(from, body.value);
    else return false;
    return true;
  }

  /** Runs a step that calls the store, unless another one is running. */
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
    this.retryMs = reading.type === 'read' ? MIN_RETRY_MS : this.nextRetryMs();
    if (reading.type === 'read') return this.handleAccepted(reading.isNew, 'store');
    if (!this.isAbsent || this.knownNumber > 0) return;
    // The coordinator may be unable to reach the store: after a second read without a record, any daemon writes the first one.
    if (!this.isCoordinator() && !wasAbsent) return;
    const first = initialRecord(this.view());
    if (first !== undefined) await this.write(undefined, first);
  }

  private nextRetryMs(): number {
    return Math.min(MAX_RETRY_MS, this.retryMs * 2);
  }

  private get knownNumber(): number {
    return this.options.shares.record?.number ?? 0;
  }

  /** Returns whether this daemon coordinates changes. If two daemons with different views both do, the store detects the conflict. */
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
    this.requestFromMembers(step.unanswered, record.number, now);
    const { next } = step;
    if (next === undefined || now < this.writeAt) return;
    this.writeAt = now + WRITE_INTERVAL_MS;
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

  private requestFromMembers(unanswered: readonly string[], number: number, now: number): void {
    if (now - this.memberRequestAt < MEMBER_REQUEST_INTERVAL_MS) return;
    this.memberRequestAt = now;
    for (const address of unanswered) this.sendRequest(address);
    if (unanswered.length === 0 || now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    const named = unanswered.slice(0, MAX_NAMED_MEMBERS).join(' ');
    const fields = { number, unanswered: unanswered.length, named };
    this.options.logger.info('limit_shares_waiting', fields);
  }

  private async write(expected: ShareRecord | undefined, next: ShareRecord): Promise<void> {
    const reading = await this.records.replace(expected, next);
    if (reading.type !== 'read') return;
    this.handleAccepted(reading.isNew, 'store');
    const { record } = this.options.shares;
    if (record === undefined) return;
    this.options.broadcast({ case: 'shareNews', value: encodeShares(record) });
  }

  private requestUntilRead(now: number): void {
    if (now - this.unreadRequestAt < UNREAD_REQUEST_INTERVAL_MS) return;
    this.unreadRequestAt = now;
    this.requestFromNextPeer();
  }

  private requestRegularly(now: number): void {
    if (now - this.regularRequestAt < REGULAR_REQUEST_INTERVAL_MS) return;
    this.regularRequestAt = now;
    this.requestFromNextPeer();
  }

  private requestFromNextPeer(): void {
    const { live, self } = this.options;
    const others = live().filter(({ address }) => address !== self);
    this.peerIndex += 1;
    const other = others[this.peerIndex % Math.max(1, others.length)];
    if (other !== undefined) this.sendRequest(other.address);
  }

  private sendRequest(to: string): void {
    this.sequence += 1;
    this.openRequests.set(this.sequence, leaseNow());
    const oldest = this.sequence - Math.max(MIN_OPEN_REQUESTS, 2 * this.options.live().length);
    for (const sequence of this.openRequests.keys()) {
      if (sequence > oldest) break;
      this.openRequests.delete(sequence);
    }
    const value = create(ShareQuestionSchema, {
      sequence: this.sequence,
      number: this.knownNumber,
    });
    this.options.sendDatagram(to, { case: 'shareQuestion', value });
  }

  private handleRequest(to: string, { sequence, number }: ShareQuestion): void {
    const { shares, send, sendDatagram } = this.options;
    const { record } = shares;
    const mayTell = shares.mayAnnounce(leaseNow());
    const isNewer = record !== undefined && record.number > number;
    const update = isNewer ? { news: encodeShares(record) } : {};
    const fields = { sequence, number: this.knownNumber, mayTell, ...update };
    const body = { case: 'shareAnswer', value: create(ShareAnswerSchema, fields) } as const;
    // The addresses of a large group do not fit into a datagram.
    if (isNewer) send(to, body);
    else sendDatagram(to, body);
  }

  private handleReply(from: string, { sequence, number, mayTell, news }: ShareAnswer): void {
    const { shares, send } = this.options;
    const requestedAt = this.openRequests.get(sequence);
    const attached = news === undefined ? undefined : decodeShares(news);
    const { record } = shares;
    if (record !== undefined && number < record.number) {
      send(from, { case: 'shareNews', value: encodeShares(record) });
    }
    this.changes.recordReply(from, number, steadyNow());
    const isKnown = record !== undefined && number === record.number;
    const received = attached ?? (isKnown ? record : undefined);
    if (received === undefined || requestedAt === undefined) return;
    if (mayTell) this.handleAccepted(shares.recordMemberReply(received, requestedAt), from);
    else this.handleAccepted(shares.recordAnnounced(received), from);
  }

  private handleAccepted(isNew: boolean, source: string): void {
    const { shares, logger, onChange } = this.options;
    const { record } = shares;
    if (!isNew || record === undefined) return;
    const { number, members, next } = record;
    const isMember = shares.isSharer(this.options.self);
    const fields = { number, source, members: members.length, next: next.length, isMember };
    logger.info('limit_shares', { ...fields, isRead: shares.hasReadStore });
    onChange();
  }

  /** Checks whether this daemon may use its share, which also changes with time. */
  private updateMayUseShare(): void {
    const { shares, logger, onChange } = this.options;
    const mayUseShare = shares.mayUseShare(leaseNow());
    if (mayUseShare === this.mayUseShare) return;
    this.mayUseShare = mayUseShare;
    const fields = { number: this.knownNumber, share: shares.ownShare(leaseNow()) };
    logger.info(mayUseShare ? 'limit_share_held' : 'limit_share_lost', fields);
    onChange();
  }
}
