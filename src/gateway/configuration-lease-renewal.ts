/**
 * Renews this daemon's lease on its configuration. Two daemons, the readers, read the
 * platform's store. Every other daemon requests a proof from its parent, a daemon before it
 * in an order that all daemons compute alike. No daemon has more than FAN_OUT children, and
 * the number of store calls does not grow with the number of daemons. A daemon that gets no
 * useful reply skips that parent for a while, and finally reads the store itself.
 */
import { create } from '@bufbuild/protobuf';
import { leaseNow } from '../common/lease-clock.js';
import type { Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import { ConfigurationLease } from '../core/configuration-lease.js';
import { highCapacityMembers } from '../core/roles.js';
import type { MemberView } from '../core/membership-messages.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { CurrencyAnswerSchema, CurrencyQuestionSchema } from '../proto/gen/internal_pb.js';

/** Number of daemons that normally read the store. The second covers the time until the loss of the first is detected. */
const READERS = 2;
/** Maximum number of children of one daemon. */
const FAN_OUT = 16;
/** Age of a reader's proof at which the reader reads the store again. */
const READ_AGE_MS = 800;
/** Age of the proof of any other daemon at which it requests a new one. */
const REQUEST_AGE_MS = 700;
/** Minimum time between two requests. A parent's proof may be only slightly younger than the child's. */
const REQUEST_PERIOD_MS = 500;
/** Timeout of a request, after which another daemon is tried. It is many times the latency of a datagram. */
const REPLY_TIMEOUT_MS = 250;
/** Time for which a daemon is skipped after it gave no useful reply. */
const SKIP_DURATION_MS = 3_000;
/** A proof older than this is of no use: the replying daemon has itself lost its connection to the store. */
const USEFUL_AGE_MS = 2_200;
/** Age at which a daemon that is no reader reads the store, and the span over which such reads are spread by position. */
const FALLBACK_READ_AGE_MS = 2_400;
const FALLBACK_READ_SPREAD_MS = 800;
/**
 * Exponential backoff between reads of a store that does not respond. Readers retry often, because a
 * successful read reaches all daemons within a second. Retries of the others would come from all daemons
 * at once.
 */
const READER_RETRIES = { firstMs: 500, longestMs: 1_000 };
const OTHER_RETRIES = { firstMs: 2_000, longestMs: 8_000 };
/** Period at which the common order is recomputed. */
const ORDER_PERIOD_MS = 500;

/** Options of {@link ConfigurationLeaseRenewal}. */
export interface ConfigurationLeaseRenewalOptions {
  readonly self: string;
  readonly logger: Logger;
  /** If false, each daemon reads the store itself. */
  readonly usesPeers: boolean;
  readonly live: () => readonly MemberView[];
  /** Version of the newest configuration in force on this daemon; 0 for none. */
  readonly version: () => number;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  /** Reads the configuration from the store. Resolves to true if the store responded. */
  readonly readStore: () => Promise<boolean>;
  /** Called when a peer reports the version that it has in force. */
  readonly onPeerVersion: (from: string, version: number) => void;
}

interface ProofRequest {
  readonly to: string;
  readonly sequence: number;
  /** Lease time. */
  readonly sentAt: number;
}

/** Renews the configuration lease of one daemon. */
export class ConfigurationLeaseRenewal {
  readonly lease = new ConfigurationLease();
  private order: string[] = [];
  private orderedAt = -Infinity;
  /** The common order without the skipped daemons. */
  private usable: string[] = [];
  private requestedAt = -Infinity;
  /** The request whose reply is outstanding. */
  private pendingRequest: ProofRequest | undefined;
  private sequence = 0;
  /** Lease time until which each daemon is skipped, by address. */
  private readonly skippedUntil = new Map<string, number>();
  private isReading = false;
  private nextReadAt = -Infinity;
  /** Number of consecutive reads without a response of the store. */
  private failures = 0;

  constructor(private readonly options: ConfigurationLeaseRenewalOptions) {}

  /** Starts reads and requests that are due. Call it ten times per second. */
  tick(): void {
    const now = leaseNow();
    this.expireRequest(now);
    const order = this.usableOrder(now);
    const position = order.indexOf(this.options.self);
    const ageMs = this.lease.ageMs(now);
    if (this.mustRead(ageMs, position, order.length)) this.read(position, now);
    const mayRequest = now - this.requestedAt >= REQUEST_PERIOD_MS;
    if (ageMs >= REQUEST_AGE_MS && mayRequest) this.requestProof(order, position, now);
  }

  /** Records that the platform had no configuration newer than `version` at `askedAt`, a time of the lease clock. */
  addStoreProof(version: number, askedAt: number): void {
    this.lease.addProof({ version, provenAt: askedAt });
  }

  /** Handles a message about proofs. Returns false if the message is of another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'currencyQuestion') {
      this.reply(from, body.value.question);
      return true;
    }
    if (body.case !== 'currencyAnswer') return false;
    const { question, configurationVersion, ageMs } = body.value;
    this.handleReply(from, question, configurationVersion, ageMs);
    return true;
  }

  private mustRead(ageMs: number, position: number, count: number): boolean {
    if (!this.options.usesPeers || position < READERS) return ageMs >= READ_AGE_MS;
    return ageMs >= FALLBACK_READ_AGE_MS + (FALLBACK_READ_SPREAD_MS * position) / count;
  }

  private read(position: number, now: number): void {
    if (this.isReading || now < this.nextReadAt) return;
    this.isReading = true;
    void this.options.readStore().then((isAnswered) => {
      this.isReading = false;
      const retries = position < READERS ? READER_RETRIES : OTHER_RETRIES;
      const pauseMs = Math.min(retries.longestMs, retries.firstMs * 2 ** this.failures);
      this.failures = isAnswered ? 0 : this.failures + 1;
      if (!isAnswered) this.nextReadAt = leaseNow() + pauseMs;
    });
  }

  /** A reader whose read failed also requests a proof, because another daemon may have reached the store. */
  private requestProof(order: readonly string[], position: number, now: number): void {
    if (!this.options.usesPeers || this.pendingRequest !== undefined) return;
    const isReader = position < READERS;
    if (isReader && this.failures === 0) return;
    const parent = isReader ? order[position + 1] : order[parentOf(position)];
    if (parent === undefined) return;
    this.sequence += 1;
    this.requestedAt = now;
    this.pendingRequest = { to: parent, sequence: this.sequence, sentAt: now };
    const value = create(CurrencyQuestionSchema, { question: this.sequence });
    this.options.sendDatagram(parent, { case: 'currencyQuestion', value });
  }

  private reply(to: string, question: number): void {
    const ageMs = Math.ceil(this.lease.ageMs(leaseNow()));
    if (!Number.isFinite(ageMs)) return;
    const value = create(CurrencyAnswerSchema, {
      question,
      ageMs,
      configurationVersion: this.options.version(),
    });
    this.options.sendDatagram(to, { case: 'currencyAnswer', value });
  }

  /** Accepts only the reply to the pending request, because the proof's age is counted from the time of that request. */
  private handleReply(from: string, sequence: number, version: number, ageMs: number): void {
    const { pendingRequest } = this;
    if (
      pendingRequest === undefined ||
      pendingRequest.to !== from ||
      pendingRequest.sequence !== sequence
    )
      return;
    this.pendingRequest = undefined;
    this.lease.addProof({ version, provenAt: pendingRequest.sentAt - ageMs });
    this.options.onPeerVersion(from, version);
    if (ageMs > USEFUL_AGE_MS) this.skip(from, `its proof was ${ageMs} ms old`, leaseNow());
  }

  private expireRequest(now: number): void {
    const { pendingRequest } = this;
    if (pendingRequest === undefined || now - pendingRequest.sentAt < REPLY_TIMEOUT_MS) return;
    this.pendingRequest = undefined;
    this.requestedAt = -Infinity;
    this.skip(pendingRequest.to, 'no answer', now);
  }

  private skip(address: string, reason: string, now: number): void {
    const ageMs = this.lease.ageMs(now);
    const proofAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    this.options.logger.info('proof_source_passed_over', { peer: address, reason, proofAgeMs });
    this.skippedUntil.set(address, now + SKIP_DURATION_MS);
    this.usable = this.usable.filter((other) => other !== address);
  }

  private usableOrder(now: number): string[] {
    if (now - this.orderedAt >= ORDER_PERIOD_MS) {
      this.orderedAt = now;
      this.order = commonOrder(this.options.live());
      for (const [address, until] of this.skippedUntil) {
        if (until <= now) this.skippedUntil.delete(address);
      }
      this.usable = this.order.filter((address) => !this.skippedUntil.has(address));
    }
    return this.usable;
  }
}

/** The order is the same on all daemons that know the same members. Machines of high capacity come first. */
function commonOrder(members: readonly MemberView[]): string[] {
  const able = highCapacityMembers(members).map((member) => member.address);
  const first = new Set(able);
  const rest = members.map((member) => member.address).filter((address) => !first.has(address));
  return [...rankCandidates('currency', able), ...rankCandidates('currency', rest)];
}

/** Returns the position of the parent of the daemon at `position`. */
function parentOf(position: number): number {
  return position < FAN_OUT ? position % READERS : Math.floor(position / FAN_OUT);
}
