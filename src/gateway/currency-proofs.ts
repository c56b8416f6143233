/**
 * Keeps this daemon's lease on its configuration. Two daemons read the platform's store;
 * each other asks one that stands before it in a common order, so that no daemon answers
 * more than FAN_OUT others and the store's calls do not grow with their number. Who gets
 * no useful answer passes over the silent one, and at last reads the store itself.
 */
import { create } from '@bufbuild/protobuf';
import { leaseNow } from '../common/lease-clock.js';
import type { Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import { ConfigurationLease } from '../core/configuration-lease.js';
import { highCapacityMembers } from '../core/duties.js';
import type { MemberView } from '../core/membership-messages.js';
import type { PeerBody } from '../daemon/peer-transport.js';
import { CurrencyAnswerSchema, CurrencyQuestionSchema } from '../proto/gen/internal_pb.js';

/** Daemons that read the store while all is well; a second one for the time that the first one's loss takes to show. */
const READERS = 2;
/** Daemons that one daemon answers. */
const FAN_OUT = 16;
/** Age of a reader's proof at which it reads again. */
const READ_AGE_MS = 800;
/** Age of the others' proofs at which they ask. */
const ASK_AGE_MS = 700;
/** Between two questions: a parent's proof may be little younger than the child's. */
const ASK_PERIOD_MS = 500;
/** Without an answer by then another daemon is asked: many times what a datagram takes. */
const ANSWER_WITHIN_MS = 250;
/** A daemon that gave no useful answer is passed over for so long. */
const PASSED_OVER_MS = 3_000;
/** An answer older than this does not help: its daemon has lost its own way to the store. */
const USEFUL_AGE_MS = 2_200;
/** Age at which a daemon reads the store although it is no reader, and the span over which they begin to. */
const LAST_RESORT_AGE_MS = 2_400;
const LAST_RESORT_SPREAD_MS = 800;
/**
 * Between readings of a store that does not answer; twice as long after each. Readers try often, for
 * their success reaches all within a second; the others' calls would come from all daemons at once.
 */
const READER_RETRIES = { firstMs: 500, longestMs: 1_000 };
const OTHER_RETRIES = { firstMs: 2_000, longestMs: 8_000 };
/** Between two looks at the common order. */
const ORDER_PERIOD_MS = 500;

/** Options of {@link CurrencyProofs}. */
export interface CurrencyProofsOptions {
  readonly self: string;
  readonly logger: Logger;
  /** Off: each daemon reads the store itself. */
  readonly asksPeers: boolean;
  readonly live: () => readonly MemberView[];
  /** The newest configuration in force here; 0 for none. */
  readonly version: () => number;
  readonly sendDatagram: (to: string, body: PeerBody) => void;
  /** Reads the configuration from the store; true if it answered. */
  readonly readStore: () => Promise<boolean>;
  /** A peer has this configuration in force. */
  readonly hearVersion: (from: string, version: number) => void;
}

interface Question {
  readonly to: string;
  readonly sequence: number;
  readonly askedAt: number;
}

/** One daemon's proofs. */
export class CurrencyProofs {
  readonly lease = new ConfigurationLease();
  private order: string[] = [];
  private orderedAt = -Infinity;
  /** The order without those that are passed over. */
  private usable: string[] = [];
  private askedAt = -Infinity;
  private question: Question | undefined;
  private sequence = 0;
  /** Until when daemons are passed over. */
  private readonly passedOver = new Map<string, number>();
  private isReading = false;
  private nextReadAt = -Infinity;
  /** Readings in a row that the store has not answered. */
  private failures = 0;

  constructor(private readonly options: CurrencyProofsOptions) {}

  /** Looks at the clock; call it ten times a second. */
  tick(): void {
    const now = leaseNow();
    this.dropUnanswered(now);
    const order = this.usableOrder(now);
    const position = order.indexOf(this.options.self);
    const ageMs = this.lease.ageMs(now);
    if (this.mustRead(ageMs, position, order.length)) this.read(position, now);
    const mayAsk = now - this.askedAt >= ASK_PERIOD_MS;
    if (ageMs >= ASK_AGE_MS && mayAsk) this.askParent(order, position, now);
  }

  /** The platform had no newer configuration at `askedAt`. */
  confirmed(version: number, askedAt: number): void {
    this.lease.addProof({ version, provenAt: askedAt });
  }

  /** Handles a message about proofs; false if it is another kind. */
  receive(from: string, body: PeerBody): boolean {
    if (body.case === 'currencyQuestion') {
      this.answer(from, body.value.question);
      return true;
    }
    if (body.case !== 'currencyAnswer') return false;
    const { question, configurationVersion, ageMs } = body.value;
    this.hearAnswer(from, question, configurationVersion, ageMs);
    return true;
  }

  private mustRead(ageMs: number, position: number, count: number): boolean {
    if (!this.options.asksPeers || position < READERS) return ageMs >= READ_AGE_MS;
    return ageMs >= LAST_RESORT_AGE_MS + (LAST_RESORT_SPREAD_MS * position) / count;
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

  /** A reader whose reading has failed asks too: somebody else may have reached the store. */
  private askParent(order: readonly string[], position: number, now: number): void {
    if (!this.options.asksPeers || this.question !== undefined) return;
    const isReader = position < READERS;
    if (isReader && this.failures === 0) return;
    const parent = isReader ? order[position + 1] : order[parentOf(position)];
    if (parent === undefined) return;
    this.sequence += 1;
    this.askedAt = now;
    this.question = { to: parent, sequence: this.sequence, askedAt: now };
    const value = create(CurrencyQuestionSchema, { question: this.sequence });
    this.options.sendDatagram(parent, { case: 'currencyQuestion', value });
  }

  private answer(to: string, question: number): void {
    const ageMs = Math.ceil(this.lease.ageMs(leaseNow()));
    if (!Number.isFinite(ageMs)) return;
    const value = create(CurrencyAnswerSchema, {
      question,
      ageMs,
      configurationVersion: this.options.version(),
    });
    this.options.sendDatagram(to, { case: 'currencyAnswer', value });
  }

  /** Only the answer to the question that is open counts: the age is counted from that question. */
  private hearAnswer(from: string, sequence: number, version: number, ageMs: number): void {
    const { question } = this;
    if (question === undefined || question.to !== from || question.sequence !== sequence) return;
    this.question = undefined;
    this.lease.addProof({ version, provenAt: question.askedAt - ageMs });
    this.options.hearVersion(from, version);
    if (ageMs > USEFUL_AGE_MS) this.passOver(from, `its proof was ${ageMs} ms old`, leaseNow());
  }

  private dropUnanswered(now: number): void {
    const { question } = this;
    if (question === undefined || now - question.askedAt < ANSWER_WITHIN_MS) return;
    this.question = undefined;
    this.askedAt = -Infinity;
    this.passOver(question.to, 'no answer', now);
  }

  private passOver(address: string, reason: string, now: number): void {
    const ageMs = this.lease.ageMs(now);
    const proofAgeMs = Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
    this.options.logger.info('proof_source_passed_over', { peer: address, reason, proofAgeMs });
    this.passedOver.set(address, now + PASSED_OVER_MS);
    this.usable = this.usable.filter((other) => other !== address);
  }

  private usableOrder(now: number): string[] {
    if (now - this.orderedAt >= ORDER_PERIOD_MS) {
      this.orderedAt = now;
      this.order = commonOrder(this.options.live());
      for (const [address, until] of this.passedOver) {
        if (until <= now) this.passedOver.delete(address);
      }
      this.usable = this.order.filter((address) => !this.passedOver.has(address));
    }
    return this.usable;
  }
}

/** The same at all daemons that know the same members: the ablest machines first. */
function commonOrder(members: readonly MemberView[]): string[] {
  const able = highCapacityMembers(members).map((member) => member.address);
  const first = new Set(able);
  const rest = members.map((member) => member.address).filter((address) => !first.has(address));
  return [...rankCandidates('currency', able), ...rankCandidates('currency', rest)];
}

/** Position of the daemon that the one at `position` asks. */
function parentOf(position: number): number {
  return position < FAN_OUT ? position % READERS : Math.floor(position / FAN_OUT);
}
