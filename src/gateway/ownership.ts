/**
 * Which daemon gives orders to the backends of a service. The claim is one
 * record, replaced only at the revision that was read, with an epoch that rises
 * and fences the orders. Safety rests on the epochs, or on a lease where
 * backends do not check these, and on the sequences of the orders; the other rules
 * here only keep owners from taking turns.
 */
import { faultText, type Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import { highCapacityMembers, reachesHalf, type DutyMember } from '../core/duties.js';
import type { Membership } from '../core/membership.js';
import type { MemberView } from '../core/membership-messages.js';
import { TAKEOVER_DELAY_MS, ORDER_LEASE_MS, OwnershipLease } from '../core/ownership-lease.js';
import { positionOf, type StorePosition } from '../core/store-position.js';
import { ownerRecord, type OwnerRecord } from './owner-record.js';
import { OwnershipProofs } from './ownership-proofs.js';
import type { RecordStore } from './ports.js';
import { leaseNow } from '../common/lease-clock.js';
import { steadyNow } from './steady-clock.js';

/** A gap between two looks at the clock that means that the process stood still. */
const STANDSTILL_MS = 1_000;
/** A daemon looks around so long before it claims anything. */
const SETTLE_MS = 700;
/** Between two readings of the record while it names an owner that is not live. */
const CLAIM_PERIOD_MS = 300;

/** A process that starts again does so at least so long after its former start. */
const RESTART_MS = 150;
/** An owner that was heard so lately lives, whatever the membership says. */
const HEARD_LATELY_MS = 1_200;

/**
 * An owner that others are to follow leaves the service to them for so long. Without that two daemons
 * that do not hear each other would claim it from each other without end, and each claim costs a
 * hand-over.
 */
const YIELD_MS = 10_000;
/**
 * An owner without a proof gives up once the platform has answered others for so long: they can do what
 * it cannot. Two of its own readings would have been answered by then.
 */
const UNPROVEN_MS = ORDER_LEASE_MS + 500;
/** Daemons, by rank, that claim a service, and how much later each does than the one before it. */
const MOST_SUCCESSORS = 4;
const SUCCESSOR_STEP_MS = 1_000;

/**
 * An owner that lives, by the membership, but was not heard for so long has given
 * the service up, or is cut off from this daemon.
 */
const OWNER_SILENT_MS = 2_500;

/** What ownership needs to know of the other daemons. */
export interface OwnershipPeers {
  /** This daemon's peer address. */
  readonly address: string;
  readonly membership: Pick<Membership, 'ownView' | 'all'>;
  /** Daemons that may be given duties, this one among them. */
  live(): readonly MemberView[];
}

/** Options of {@link Ownership}. */
export interface OwnershipOptions {
  readonly service: string;
  readonly peers: OwnershipPeers;
  readonly store: RecordStore;
  readonly logger: Logger;
  /** Backends refuse orders of a lower epoch; else an owner needs a lease. */
  readonly backendsCheckEpochs: boolean;
  /** Whether a daemon is heard that the platform answers. */
  readonly platformAnswersOthers: () => boolean;
  /** Daemons that the platform's store lists. */
  readonly listed: () => readonly DutyMember[];
  /** This daemon owns the service from now on, or no longer. */
  readonly onChange: (epoch: number | undefined) => void;
}

/** This daemon's part in the ownership of one service. */
export class Ownership {
  /** The epoch under which this daemon owns the service. */
  epoch: number | undefined;
  /** The owner's record as last read or heard of. */
  private record: OwnerRecord | undefined;
  private revision: StorePosition | undefined;
  private busy = false;
  private lastTick = steadyNow();
  /** This daemon claims nothing before this steady time. */
  private claimsFrom = steadyNow() + SETTLE_MS;
  private lastRead = -Infinity;
  private lastHeard = -Infinity;
  /** Of all that were heard of, read or claimed. */
  private highestEpoch = 0;
  /** Of the store, as it was last looked at; undefined before that. */
  private knownEra: number | undefined;
  /** When the store was first seen to have come back from a copy. */
  private restoredAt = -Infinity;
  /** Highest epoch of a former owner that was heard. */
  private formerEpochHeard = 0;
  /** Since when this daemon has known its record's owner. */
  private knownSince = -Infinity;
  /** Since when this process has looked around without standing still. */
  private awakeSince = steadyNow();
  /** Since when this owner has no proof while the platform answers others. */
  private passedOverSince = Infinity;
  /**
   * The epoch that this daemon has given up because it saw too few others, as long as no higher one is known. The
   * others wait for the owner of the record, so nobody owns the service until it claims again.
   */
  private epochOutOfSight: number | undefined;
  private stopped = false;
  private readonly lease = new OwnershipLease();
  private readonly proofs: OwnershipProofs;

  constructor(private readonly options: OwnershipOptions) {
    const { service, store, logger } = options;
    this.proofs = new OwnershipProofs({
      service,
      store,
      logger,
      lease: this.lease,
      onOtherOwner: () => this.recordLost(),
    });
  }

  /** Peer address of the owner, if one is known. */
  get ownerAddress(): string | undefined {
    return this.record?.address;
  }

  /** Whether this daemon owns the service now: the process must not have stood still since its last look. */
  isOwner(): boolean {
    this.noticeStandstill(steadyNow());
    return this.epoch !== undefined;
  }

  /** Whether an order may be sent now. */
  mayOrder(): boolean {
    return this.orderDelayMs() === 0;
  }

  /** Milliseconds until an order may be sent; infinite if that cannot be told. */
  orderDelayMs(): number {
    if (!this.isOwner()) return Infinity;
    // By the steady clock a lease would outlast its end on a machine that was suspended.
    return this.options.backendsCheckEpochs ? 0 : this.lease.orderDelayMs(leaseNow(), steadyNow());
  }

  /** Looks at clock and members; call it often. */
  tick(): void {
    const now = steadyNow();
    this.noticeStandstill(now);
    this.noticeRestore(now);
    this.lastTick = now;
    if (this.epoch !== undefined) {
      if (!this.seesEnough()) this.loseSight();
      if (!this.options.backendsCheckEpochs) this.tendLease(now);
      return;
    }
    if (!this.mayClaim(now)) return;
    if (now - this.lastHeard < HEARD_LATELY_MS && !this.ownerHasLeft()) return;
    if (!this.isSuccessor() || this.ownerIsLive()) return;
    this.lastRead = now;
    this.busy = true;
    this.readAndClaim()
      .catch((fault: unknown) => {
        this.options.logger.error('claim_fault', { reason: faultText(fault) });
      })
      .finally(() => (this.busy = false));
  }

  private noticeRestore(now: number): void {
    const era = this.options.store.era();
    if (era === undefined) return;
    const former = this.knownEra ?? era;
    this.knownEra = era;
    if (era <= former) return;
    this.restoredAt = now;
    const { service, logger } = this.options;
    logger.warn('ownership_store_restored', { service, era, epoch: this.epoch });
  }

  private loseSight(): void {
    const { epoch } = this;
    this.giveUp('sees too few daemons');
    this.epochOutOfSight = epoch;
  }

  private mayClaim(now: number): boolean {
    if (this.stopped || this.busy) return false;
    return now >= this.claimsFrom && now - this.lastRead >= CLAIM_PERIOD_MS;
  }

  private tendLease(now: number): void {
    this.proofs.tick();
    if (this.lease.ageMs(leaseNow()) <= ORDER_LEASE_MS || !this.options.platformAnswersOthers()) {
      this.passedOverSince = now;
    } else if (now - this.passedOverSince > UNPROVEN_MS) {
      this.yieldTo('the platform answers others, and not this daemon');
    }
  }

  /** Another daemon says that it owns the service. */
  hearOwner(address: string, epoch: number): void {
    const known = this.epochOutOfSight ?? this.record?.epoch ?? 0;
    this.highestEpoch = Math.max(this.highestEpoch, epoch);
    if (epoch < known) return this.noteFormerOwner(address, epoch, known);
    if (this.epoch !== undefined && epoch > this.epoch) this.giveUp('a higher epoch exists');
    if (this.epoch === epoch) return;
    this.lastHeard = steadyNow();
    if (epoch === this.record?.epoch && this.record.incarnation !== undefined) return;
    this.learn({ address, epoch, incarnation: undefined, claim: '' });
  }

  /** A former owner still speaks as one: on-call sees who heard it, once for each epoch. */
  private noteFormerOwner(address: string, epoch: number, known: number): void {
    if (epoch <= this.formerEpochHeard) return;
    this.formerEpochHeard = epoch;
    const { service, logger } = this.options;
    logger.warn('former_owner_heard', { service, address, epoch, known });
  }

  /** Takes a record; an owner that is new to this daemon gets time to be heard. */
  private learn(record: OwnerRecord | undefined): void {
    const known = this.record;
    this.highestEpoch = Math.max(this.highestEpoch, record?.epoch ?? 0);
    const isKnown = known?.address === record?.address && known?.epoch === record?.epoch;
    if (!isKnown) this.knownSince = steadyNow();
    this.record = record;
    if (record === undefined || record.epoch > (this.epochOutOfSight ?? 0)) {
      this.epochOutOfSight = undefined;
    }
  }

  /** Ends the ownership; another daemon may claim. */
  giveUp(reason: string): void {
    if (this.epoch === undefined) return;
    const { service, logger } = this.options;
    logger.info('ownership_ended', { service, epoch: this.epoch, reason });
    this.epoch = undefined;
    this.record = undefined;
    this.proofs.end();
    this.options.onChange(undefined);
  }

  /** Ends the ownership, and claims nothing any more: also a claim that is answered later is not taken up. */
  stop(reason: string): void {
    this.stopped = true;
    this.giveUp(reason);
  }

  /** Ends the ownership in favour of another daemon, perhaps one that this daemon does not hear. */
  private yieldTo(reason: string): void {
    this.giveUp(reason);
    this.claimsFrom = steadyNow() + YIELD_MS;
  }

  /** Its record names another owner, or is gone: the copy may say so alone, and no other daemon goes by it. */
  private recordLost(): void {
    const isRestored = steadyNow() - this.restoredAt < TAKEOVER_DELAY_MS;
    if (isRestored) this.giveUp('the store came back from a copy');
    else this.yieldTo('its record names another owner');
  }

  private noticeStandstill(now: number): void {
    const gap = now - this.lastTick;
    if (gap <= STANDSTILL_MS) return;
    this.lastTick = now;
    this.options.logger.warn('standstill', { milliseconds: Math.round(gap) });
    this.claimsFrom = now + SETTLE_MS;
    this.awakeSince = now;
    this.record = undefined;
    this.epochOutOfSight = undefined;
    this.giveUp('the process stood still');
  }

  private seesEnough(): boolean {
    return reachesHalf(this.options.peers.live(), this.options.listed());
  }

  /** The first in rank may be one that cannot claim: the next ones claim after a longer silence. */
  private isSuccessor(): boolean {
    const { peers, service } = this.options;
    const candidates = highCapacityMembers(peers.live()).map((member) => member.address);
    const position = rankCandidates(service, candidates).indexOf(peers.address);
    if (!this.seesEnough() || position < 0) return false;
    if (this.epochOutOfSight !== undefined) return true;
    if (position >= MOST_SUCCESSORS) return false;
    return position === 0 || this.silentMs() > OWNER_SILENT_MS + position * SUCCESSOR_STEP_MS;
  }

  private ownerIsLive(): boolean {
    const { peers } = this.options;
    const record = this.record;
    if (record === undefined || record.address === peers.address) return false;
    if (this.isSilent()) return false;
    const owner = peers.live().find((member) => member.address === record.address);
    if (owner === undefined) return false;
    if (record.incarnation === undefined) return true;
    // A member raises its incarnation by one to refute a suspicion; a new process starts later.
    return owner.incarnation - record.incarnation < RESTART_MS;
  }

  /** Safe: the claim raises the epoch, which ends the orders of an owner that still believes itself one, or its lease does. */
  private isSilent(): boolean {
    return this.silentMs() > OWNER_SILENT_MS;
  }

  /** Milliseconds since an owner was heard, or could have been. */
  private silentMs(): number {
    return steadyNow() - Math.max(this.lastHeard, this.knownSince, this.awakeSince);
  }

  /** Whether the owner has said itself that it leaves. */
  private ownerHasLeft(): boolean {
    return this.ownerView()?.state === 'leaving';
  }

  /** The record's owner as membership sees it: the process that the record names, or a later one. */
  private ownerView(): MemberView | undefined {
    const { record } = this;
    const view = this.options.peers.membership
      .all()
      .find(({ address }) => address === record?.address);
    const isEarlier = view !== undefined && view.incarnation < (record?.incarnation ?? 0);
    return isEarlier ? undefined : view;
  }

  private async readAndClaim(): Promise<void> {
    const { store, service, logger } = this.options;
    const read = await store.read('owners', service);
    if (read.isErr) {
      logger.warn('owner_record_unread', { service, reason: read.error.type });
      return;
    }
    this.revision = read.value?.revision;
    this.learn(ownerRecord(read.value?.value));
    if (this.ownerIsLive() || !this.isSuccessor()) return;
    await this.claim();
  }

  private async claim(): Promise<void> {
    const { peers, store, service, logger } = this.options;
    const { address, incarnation } = peers.membership.ownView;
    const epoch = this.nextEpoch();
    const claim = `${address} ${incarnation} ${epoch}`;
    const record: OwnerRecord = { address, incarnation, epoch, claim };
    const before = this.record?.address ?? '';
    const cause = this.causeOfClaim();
    const isHandedOver = this.formerOwnersHaveStopped();
    const askedAt = leaseNow();
    const era = store.era();
    const written = await store.write('owners', service, record, this.revision);
    const isWritten = written.isOk || (await this.isOurs(claim, written.error.type));
    // A claim that was under way while the store came back may stand on a state that was not read.
    const won = isWritten && store.era() === era;
    logger.info('ownership_claimed', {
      service,
      epoch,
      won,
      isWritten,
      before,
      cause,
      isHandedOver,
    });
    if (!won || this.stopped) return;
    this.lease.begin({ askedAt, answeredAt: steadyNow(), isHandedOver });
    this.proofs.begin(claim);
    this.record = record;
    this.highestEpoch = epoch;
    this.epoch = epoch;
    this.epochOutOfSight = undefined;
    this.options.onChange(epoch);
  }

  /**
   * Above all epochs that are known, and above the place of the record that it replaces: also above those of earlier eras that are
   * lost, and of later claims whose record was replaced by a write of a former era.
   */
  private nextEpoch(): number {
    const known = Math.max(this.record?.epoch ?? 0, this.highestEpoch);
    return Math.max(known, this.recordPosition()) + 1;
  }

  /** Place of the last write of the owner's record; 0 where the store names no era, for it forgets nothing. */
  private recordPosition(): StorePosition {
    const era = this.options.store.era() ?? 0;
    return era === 0 ? 0 : Math.max(positionOf(era, 0), this.revision ?? 0);
  }

  /** Why the owner of the record is taken for one no longer. */
  private causeOfClaim(): string {
    if (this.record === undefined) return 'there was no owner';
    if (this.record.address === this.options.peers.address) return 'it was this daemon';
    const view = this.ownerView();
    if (view?.state === 'leaving') return 'it leaves';
    if (view === undefined || view.state === 'dead') return 'it is not live';
    return this.isSilent() ? 'it lives but is silent' : 'its process has started again';
  }

  /**
   * Whether all former owners are known to have given their last orders: the last one stops them before
   * it says that it leaves, and it was known here for so long that those before it have no lease. A
   * suspicion, or a process that seems to have started again, is no such knowledge.
   */
  private formerOwnersHaveStopped(): boolean {
    // The store may have lost the record of an owner whose lease goes on.
    if (steadyNow() - this.restoredAt < TAKEOVER_DELAY_MS) return false;
    if (this.record === undefined) return true;
    return this.ownerHasLeft() && steadyNow() - this.knownSince >= TAKEOVER_DELAY_MS;
  }

  /** After a lost answer the record itself tells whether the claim was written. */
  private async isOurs(claim: string, failure: string): Promise<boolean> {
    if (failure !== 'unknown') return false;
    const read = await this.options.store.read('owners', this.options.service);
    return read.isOk && ownerRecord(read.value?.value)?.claim === claim;
  }
}
