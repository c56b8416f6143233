/**
 * Decides which daemon sends orders to the backends of a service. A daemon claims the
 * service with a compare-and-swap on one record. Each claim increases the epoch, which
 * fences the orders. Safety depends on the epochs, or on a lease if backends do not check
 * epochs, and on the sequence numbers of the orders. The other rules in this file only
 * prevent daemons from claiming the service from each other repeatedly.
 *
 * A daemon that reaches half of the listed ones claims the service if they know no owner. The list may contain daemons that are gone
 * for good, so that nobody reaches half. A daemon that reaches fewer therefore claims as well, but only once the owner's record, which
 * an owner renews, has not changed for longer than the others would need to claim.
 */
import { faultText, type Logger } from '../common/logger.js';
import { rankCandidates } from '../common/rendezvous.js';
import { highCapacityMembers, reachesHalf, type RoleCandidate } from '../core/roles.js';
import type { Membership } from '../core/membership.js';
import type { MemberView } from '../core/membership-messages.js';
import { TAKEOVER_DELAY_MS, ORDER_LEASE_MS, OwnershipLease } from '../core/ownership-lease.js';
import { positionOf, type StorePosition } from '../core/store-position.js';
import { UnchangedRecord } from '../core/unchanged-record.js';
import { parseOwnerRecord, type OwnerRecord } from './owner-record.js';
import { OwnershipProofs } from './ownership-proofs.js';
import { OwnershipRenewals, OWNER_RENEWAL_PERIOD_MS } from './ownership-renewals.js';
import type { RecordStore } from './ports.js';
import { leaseNow } from '../common/lease-clock.js';
import { steadyNow } from './steady-clock.js';
import type { OwnerInputs } from './unowned-service.js';

/** Interval between two ticks above which the process counts as having been paused, in milliseconds. */
const PAUSED_AFTER_MS = 1_000;
/** Time for which a daemon discovers the others before it claims a service, in milliseconds. */
const DISCOVERY_MS = 700;
/** Interval between reads of the record while it names an owner that is not live, in milliseconds. */
const CLAIM_PERIOD_MS = 300;
/** The same for a daemon that reaches less than half of the listed ones. */
const MINORITY_CLAIM_PERIOD_MS = 1_000;
/**
 * Time in milliseconds for which a record must have been unchanged before a daemon that reaches less than half of the listed ones claims:
 * two renewals may fail, and daemons that reach half claim earlier.
 */
const UNRENEWED_MS = 3 * OWNER_RENEWAL_PERIOD_MS;

/** Minimum time between two starts of a process, in milliseconds. */
const MIN_RESTART_MS = 150;
/** Age in milliseconds below which an owner's last announcement makes it count as live regardless of the membership. */
const RECENT_ANNOUNCEMENT_MS = 1_200;

/**
 * Time for which an owner that yields makes no claim, in milliseconds. Otherwise two daemons that cannot
 * reach each other would claim the service from each other endlessly, and each claim costs a handover.
 */
const CLAIM_PAUSE_MS = 10_000;
/**
 * Time in milliseconds after which an owner without a proof yields, while the platform responds to other daemons:
 * they can do the work that it cannot. Two of its own reads would have got a response in this time.
 */
const YIELD_UNPROVEN_AFTER_MS = ORDER_LEASE_MS + 500;
/** Number of daemons, by rank, that may claim a service. */
const MAX_SUCCESSORS = 4;
/** Additional time for which each further successor waits before it claims, in milliseconds. */
const SUCCESSOR_STEP_MS = 1_000;

/**
 * Time in milliseconds without an announcement after which an owner that is alive according to the membership
 * is taken to have given up the service or to be unable to reach this daemon.
 */
const OWNER_SILENT_MS = 2_500;

/** Interval between two attempts of an owner to find a successor, in milliseconds. */
const SUCCESSOR_SEARCH_GAP_MS = 500;
/** Additional time for which a daemon that reaches too few backends waits before it claims, in milliseconds. */
const UNREACHABLE_CLAIM_DELAY_MS = 10_000;

/** What ownership needs to know about the other daemons. */
export interface OwnershipPeers {
  /** This daemon's peer address. */
  readonly address: string;
  readonly membership: Pick<Membership, 'ownView' | 'all'>;
  /** Daemons that may own services, including this one. */
  live(): readonly MemberView[];
}

/** A resignation that an owner has announced. */
interface Resignation {
  readonly epoch: number;
  /** Steady time at which it was received. */
  readonly at: number;
  /** Whether this daemon is to claim the service. */
  readonly isSuccessor: boolean;
}

/** Options of {@link Ownership}. */
export interface OwnershipOptions {
  readonly service: string;
  readonly peers: OwnershipPeers;
  readonly store: RecordStore;
  readonly logger: Logger;
  /** Whether backends refuse orders with a lower epoch; if not, an owner needs a lease. */
  readonly backendsCheckEpochs: boolean;
  /** Whether this daemon receives messages from another one that the platform responds to. */
  readonly othersReachPlatform: () => boolean;
  /** Daemons that the platform's store lists. */
  readonly listed: () => readonly RoleCandidate[];
  /** Whether this daemon reaches enough of the service's backends to give them orders. */
  readonly reachesBackends: () => boolean;
  /** Finds a daemon that reaches the service's backends; undefined if none was found. */
  readonly findSuccessor: () => Promise<string | undefined>;
  /** Tells the others that this daemon has sent its last order under an epoch, and who is to claim the service. */
  readonly announceResignation: (epoch: number, successor: string) => void;
  /** Called with the epoch when this daemon becomes the owner, and with undefined when it no longer is. */
  readonly onChange: (epoch: number | undefined) => void;
}

/** Claims, keeps and gives up the ownership of one service for this daemon. */
export class Ownership {
  /** The epoch under which this daemon owns the service; undefined if it does not. */
  epoch: number | undefined;
  /** The owner's record as last read or announced. */
  private record: OwnerRecord | undefined;
  private revision: StorePosition | undefined;
  private isClaiming = false;
  private lastTick = steadyNow();
  /** This daemon claims nothing before this steady time. */
  private claimsAllowedAt = steadyNow() + DISCOVERY_MS;
  private lastRead = -Infinity;
  private lastAnnouncementAt = -Infinity;
  /** Highest epoch that was announced, read or claimed. */
  private highestEpoch = 0;
  /** Era of the store at the last tick; undefined before the store's first response. */
  private knownEra: number | undefined;
  /** Steady time at which the last restore of the store from a backup was detected. */
  private restoredAt = -Infinity;
  /** Steady time of the first response of a store that was restored at an unknown time before it. */
  private firstRestoredResponseAt = -Infinity;
  /** Highest epoch of a former owner whose announcement was logged. */
  private formerEpochLogged = 0;
  /** Steady time since which this daemon has known the owner in its record. */
  private ownerKnownSince = -Infinity;
  /** Steady time since which this process has run without a pause. */
  private runningSince = steadyNow();
  /** Steady time since which this owner has had no proof while the platform responds to others. */
  private unprovenSince = Infinity;
  /**
   * The epoch that this daemon gave up because it reached too few others; undefined once a higher one is known. The
   * others wait for the owner in the record, so the service has no owner until this daemon claims it again.
   */
  private resignedEpoch: number | undefined;
  /** The last resignation that another owner has announced. */
  private resignation: Resignation | undefined;
  private lastSearchAt = -Infinity;
  private stopped = false;
  /** Whether this daemon has claimed the service although it reached less than half of the listed ones, and has not reached half since. */
  private ownsInMinority = false;
  private readonly unchanged = new UnchangedRecord();
  private readonly lease = new OwnershipLease();
  private readonly proofs: OwnershipProofs;
  private readonly renewals: OwnershipRenewals;

  constructor(private readonly options: OwnershipOptions) {
    const { service, store, logger } = options;
    this.proofs = new OwnershipProofs({
      service,
      store,
      logger,
      lease: this.lease,
      onOtherOwner: () => this.handleLostRecord(),
    });
    this.renewals = new OwnershipRenewals({
      service,
      store,
      logger,
      onRenewed: (requestedAt) => this.lease.addProof(requestedAt),
      onOtherOwner: () => this.handleLostRecord(),
    });
  }

  /** Whether this daemon owns the service or knows an owner that runs. */
  get knowsOwner(): boolean {
    return this.epoch !== undefined || this.ownerIsLive();
  }

  /** Peer address of the owner, if one is known. */
  get ownerAddress(): string | undefined {
    return this.record?.address;
  }

  /** Whether this daemon owns the service now. Gives up the ownership if the process was paused since the last tick. */
  isOwner(): boolean {
    this.detectPause(steadyNow());
    return this.epoch !== undefined;
  }

  /** Whether an order may be sent now. */
  mayOrder(): boolean {
    return this.orderDelayMs() === 0;
  }

  /** Milliseconds until an order may be sent; infinite if unknown. */
  orderDelayMs(): number {
    if (!this.isOwner()) return Infinity;
    // The steady clock may stop while the machine is suspended, which would extend the lease.
    return this.options.backendsCheckEpochs ? 0 : this.lease.orderDelayMs(leaseNow(), steadyNow());
  }

  /** Checks the clock and the membership, and claims or gives up the service; must be called frequently. */
  tick(): void {
    const now = steadyNow();
    this.detectPause(now);
    this.detectRestore(now);
    this.lastTick = now;
    if (this.epoch !== undefined) {
      this.checkReach();
      this.renewals.tick();
      if (!this.options.backendsCheckEpochs) this.maintainLease(now);
      if (!this.options.reachesBackends()) this.searchSuccessor(now);
      return;
    }
    if (!this.mayClaim(now)) return;
    if (now - this.lastAnnouncementAt < RECENT_ANNOUNCEMENT_MS && !this.ownerHasLeft()) return;
    if (!this.isSuccessor() || this.ownerIsLive()) return;
    this.lastRead = now;
    this.isClaiming = true;
    this.readAndClaim()
      .catch((fault: unknown) => {
        this.options.logger.error('claim_fault', { reason: faultText(fault) });
      })
      .finally(() => (this.isClaiming = false));
  }

  private detectRestore(now: number): void {
    const era = this.options.store.era();
    if (era === undefined) return;
    if (this.knownEra === undefined && era > 0) this.firstRestoredResponseAt = now;
    const previousEra = this.knownEra ?? era;
    this.knownEra = era;
    if (era <= previousEra) return;
    this.restoredAt = now;
    const { service, logger } = this.options;
    logger.warn('ownership_store_restored', { service, era, epoch: this.epoch });
  }

  /** Gives the service up if this daemon no longer reaches half of the listed ones: those that do may claim it at once. */
  private checkReach(): void {
    if (this.reachesEnough()) this.ownsInMinority = false;
    else if (!this.ownsInMinority) this.resignInMinority();
  }

  private resignInMinority(): void {
    const { epoch } = this;
    this.giveUp('sees too few daemons');
    this.resignedEpoch = epoch;
  }

  private mayClaim(now: number): boolean {
    if (this.stopped || this.isClaiming) return false;
    const periodMs = this.reachesEnough() ? CLAIM_PERIOD_MS : MINORITY_CLAIM_PERIOD_MS;
    return now >= this.claimsAllowedAt && now - this.lastRead >= periodMs;
  }

  private maintainLease(now: number): void {
    this.proofs.tick();
    if (this.lease.ageMs(leaseNow()) <= ORDER_LEASE_MS || !this.options.othersReachPlatform()) {
      this.unprovenSince = now;
    } else if (now - this.unprovenSince > YIELD_UNPROVEN_AFTER_MS) {
      this.yieldOwnership('the platform responds to other daemons but not to this one');
    }
  }

  /** Handles another daemon's announcement that it owns the service. */
  applyAnnouncement(address: string, epoch: number): void {
    const known = this.resignedEpoch ?? this.record?.epoch ?? 0;
    this.highestEpoch = Math.max(this.highestEpoch, epoch);
    if (epoch < known) return this.logFormerOwner(address, epoch, known);
    if (this.epoch !== undefined && epoch > this.epoch) this.giveUp('a higher epoch exists');
    if (this.epoch === epoch) return;
    this.lastAnnouncementAt = steadyNow();
    if (epoch === this.record?.epoch && this.record.incarnation !== undefined) return;
    this.setRecord({ address, epoch, incarnation: undefined, claim: '' });
  }

  /** Handles the resignation of another daemon, which has sent its last order under the epoch. */
  applyResignation(address: string, epoch: number, successor: string): void {
    const { service, logger, peers } = this.options;
    const known = this.record;
    const isOwner = known?.address === address && known.epoch === epoch;
    logger.info('ownership_resigned', { service, address, epoch, successor, isKnown: isOwner });
    if (!isOwner) return;
    this.resignation = { epoch, at: steadyNow(), isSuccessor: successor === peers.address };
  }

  /** Gives the service up to a daemon that reaches its backends, if there is one. */
  private searchSuccessor(now: number): void {
    if (now - this.lastSearchAt < SUCCESSOR_SEARCH_GAP_MS) return;
    this.lastSearchAt = now;
    const { epoch } = this;
    const { findSuccessor, reachesBackends, announceResignation, service, logger } = this.options;
    findSuccessor()
      .then((successor) => {
        if (epoch === undefined || this.epoch !== epoch || reachesBackends()) return;
        if (successor === undefined) return;
        // No order follows the end of the ownership, which therefore precedes the announcement.
        this.yieldOwnership('it reaches too few backends');
        announceResignation(epoch, successor);
      })
      .catch((fault: unknown) => {
        logger.error('successor_search_fault', { service, reason: faultText(fault) });
      });
  }

  /** Whether the owner in the record has announced that it has sent its last order. */
  private get hasOwnerResigned(): boolean {
    return this.resignation !== undefined && this.resignation.epoch === this.record?.epoch;
  }

  /** Logs, once per epoch, that a former owner still announces itself as the owner. */
  private logFormerOwner(address: string, epoch: number, known: number): void {
    if (epoch <= this.formerEpochLogged) return;
    this.formerEpochLogged = epoch;
    const { service, logger } = this.options;
    logger.warn('former_owner_heard', { service, address, epoch, known });
  }

  /** Sets the known record. An owner that is new to this daemon gets time to announce itself before it counts as silent. */
  private setRecord(record: OwnerRecord | undefined): void {
    const known = this.record;
    this.highestEpoch = Math.max(this.highestEpoch, record?.epoch ?? 0);
    const isKnown = known?.address === record?.address && known?.epoch === record?.epoch;
    if (!isKnown) this.ownerKnownSince = steadyNow();
    this.record = record;
    if (record === undefined || record.epoch > (this.resignedEpoch ?? 0)) {
      this.resignedEpoch = undefined;
    }
  }

  /** Ends the ownership; any daemon, including this one, may claim the service again. */
  giveUp(reason: string): void {
    if (this.epoch === undefined) return;
    const { service, logger } = this.options;
    logger.info('ownership_ended', { service, epoch: this.epoch, reason });
    this.epoch = undefined;
    this.record = undefined;
    this.ownsInMinority = false;
    this.proofs.end();
    this.renewals.end();
    this.options.onChange(undefined);
  }

  /** Ends the ownership and makes no further claims; a claim whose response arrives later has no effect. */
  stop(reason: string): void {
    this.stopped = true;
    this.giveUp(reason);
  }

  /** Ends the ownership in favour of another daemon, which may be one that this daemon cannot reach. */
  private yieldOwnership(reason: string): void {
    this.giveUp(reason);
    this.claimsAllowedAt = steadyNow() + CLAIM_PAUSE_MS;
  }

  /**
   * Handles a record that names another owner or is missing. Shortly after a restore the backup alone may cause
   * this, while no other daemon acts as the owner, so this daemon does not yield.
   */
  private handleLostRecord(): void {
    const isRestored = steadyNow() - this.restoredAt < TAKEOVER_DELAY_MS;
    if (isRestored) this.giveUp('the store was restored from a backup');
    else this.yieldOwnership('its record names another owner');
  }

  private detectPause(now: number): void {
    const gap = now - this.lastTick;
    if (gap <= PAUSED_AFTER_MS) return;
    this.lastTick = now;
    this.options.logger.warn('standstill', { milliseconds: Math.round(gap) });
    this.claimsAllowedAt = now + DISCOVERY_MS;
    this.runningSince = now;
    this.unchanged.interrupt();
    this.record = undefined;
    this.resignedEpoch = undefined;
    this.giveUp('the process was paused');
  }

  private reachesEnough(): boolean {
    return reachesHalf(this.options.peers.live(), this.options.listed());
  }

  /** What a claim depends on, for the log. */
  inputs(): OwnerInputs {
    const { peers, listed } = this.options;
    const recordUnchangedMs = this.unchanged.unchangedMs();
    return { live: peers.live().length, listed: listed().length, recordUnchangedMs };
  }

  /**
   * Whether this daemon may claim the service. The first in rank may be unable to claim, so the next ones claim
   * after a longer silence of the owner.
   */
  private isSuccessor(): boolean {
    const { peers, service } = this.options;
    const candidates = highCapacityMembers(peers.live()).map((member) => member.address);
    const position = rankCandidates(service, candidates).indexOf(peers.address);
    if (position < 0) return false;
    if (this.resignedEpoch !== undefined) return true;
    if (this.hasOwnerResigned) return this.mayFollowResignation(position);
    if (position >= MAX_SUCCESSORS) return false;
    const delayMs = this.options.reachesBackends() ? 0 : UNREACHABLE_CLAIM_DELAY_MS;
    if (position === 0 && delayMs === 0) return true;
    return this.ownerSilentMs() > OWNER_SILENT_MS + position * SUCCESSOR_STEP_MS + delayMs;
  }

  /** The named successor claims at once; the others follow in their rank if it does not, and if they reach the backends. */
  private mayFollowResignation(position: number): boolean {
    if (this.resignation?.isSuccessor === true) return true;
    const waitedMs = steadyNow() - (this.resignation?.at ?? Infinity);
    return this.options.reachesBackends() && waitedMs > (position + 1) * SUCCESSOR_STEP_MS;
  }

  private ownerIsLive(): boolean {
    const { peers } = this.options;
    const record = this.record;
    if (this.hasOwnerResigned) return false;
    if (record === undefined || record.address === peers.address) return false;
    if (this.isOwnerSilent()) return false;
    const owner = peers.live().find((member) => member.address === record.address);
    if (owner === undefined) return false;
    if (record.incarnation === undefined) return true;
    // A member increases its incarnation by one to refute a suspicion; a new process has a larger one, from its later start time.
    return owner.incarnation - record.incarnation < MIN_RESTART_MS;
  }

  /**
   * A claim from a silent owner is safe: the higher epoch, or the end of its lease, stops the orders of an owner
   * that does not know that it was replaced.
   */
  private isOwnerSilent(): boolean {
    return this.ownerSilentMs() > OWNER_SILENT_MS;
  }

  /** Milliseconds since an owner's last announcement, or since one could first have been received. */
  private ownerSilentMs(): number {
    return steadyNow() - Math.max(this.lastAnnouncementAt, this.ownerKnownSince, this.runningSince);
  }

  /** Whether the owner has announced that it is leaving, or has resigned. */
  private ownerHasLeft(): boolean {
    return this.hasOwnerResigned || this.ownerView()?.state === 'leaving';
  }

  /** Membership state of the owner in the record: of the process that the record names or a later one. */
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
      this.unchanged.interrupt();
      logger.warn('owner_record_unread', { service, reason: read.error.type });
      return;
    }
    this.revision = read.value?.revision;
    this.unchanged.observe(this.revision, steadyNow());
    this.setRecord(parseOwnerRecord(read.value?.value));
    if (this.ownerIsLive() || !this.isSuccessor()) return;
    if (!this.reachesEnough() && this.unchanged.unchangedMs() < UNRENEWED_MS) return;
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
    const isMinority = !this.reachesEnough();
    const written = await store.write('owners', service, record, this.revision);
    const revision = written.isOk
      ? written.value.revision
      : await this.revisionOfClaim(claim, written.error.type);
    const isWritten = revision !== undefined;
    // A claim in flight while the store was restored may have replaced a state that was never read.
    const won = isWritten && store.era() === era;
    logger.info('ownership_claimed', {
      service,
      epoch,
      won,
      isWritten,
      before,
      cause,
      isHandedOver,
      ...this.inputs(),
    });
    if (!won || this.stopped) return;
    this.lease.begin({ askedAt, answeredAt: steadyNow(), isHandedOver });
    this.proofs.begin(claim);
    this.renewals.begin(record, revision);
    this.ownsInMinority = isMinority;
    this.record = record;
    this.highestEpoch = epoch;
    this.epoch = epoch;
    this.resignedEpoch = undefined;
    this.options.onChange(epoch);
  }

  /**
   * The epoch for the next claim: higher than all known epochs and than the store position of the record that it replaces. It is
   * therefore also higher than lost epochs of earlier eras, and than those of later claims whose record a write of a former era replaced.
   */
  private nextEpoch(): number {
    const known = Math.max(this.record?.epoch ?? 0, this.highestEpoch);
    return Math.max(known, this.recordPosition()) + 1;
  }

  /**
   * Store position of the last write of the owner's record; 0 if the store reports no era, because such a store
   * loses no writes.
   */
  private recordPosition(): StorePosition {
    const era = this.options.store.era() ?? 0;
    return era === 0 ? 0 : Math.max(positionOf(era, 0), this.revision ?? 0);
  }

  /** Why the owner in the record is no longer considered the owner; for the log. */
  private causeOfClaim(): string {
    if (this.record === undefined) return 'no owner is known';
    if (this.record.address === this.options.peers.address)
      return 'the recorded owner is this daemon';
    if (this.hasOwnerResigned) return 'the owner has resigned';
    const view = this.ownerView();
    if (view?.state === 'leaving') return 'the owner is leaving';
    if (view === undefined || view.state === 'dead') return 'the owner is not live';
    return this.isOwnerSilent()
      ? 'the owner is alive but silent'
      : 'the owner process has restarted';
  }

  /**
   * Whether all former owners are known to have sent their last orders. The last owner stops its orders before
   * it announces that it is leaving, and this daemon has known it long enough for the leases of earlier owners to
   * have expired. A suspicion, or an apparent restart of the owner's process, does not prove this.
   */
  private formerOwnersHaveStopped(): boolean {
    this.detectRestore(steadyNow());
    // The store may have lost the record of an owner whose lease is still valid.
    const restoredAt = Math.max(this.restoredAt, this.firstRestoredResponseAt);
    if (steadyNow() - restoredAt < TAKEOVER_DELAY_MS) return false;
    if (this.record === undefined) return true;
    return this.ownerHasLeft() && steadyNow() - this.ownerKnownSince >= TAKEOVER_DELAY_MS;
  }

  /** Reads the record to find out whether a claim whose write got no response was stored; undefined if it was not. */
  private async revisionOfClaim(
    claim: string,
    failure: string,
  ): Promise<StorePosition | undefined> {
    if (failure !== 'unknown') return undefined;
    const read = await this.options.store.read('owners', this.options.service);
    if (read.isErr || parseOwnerRecord(read.value?.value)?.claim !== claim) return undefined;
    return read.value?.revision;
  }
}
