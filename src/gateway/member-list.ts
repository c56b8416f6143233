/** The list of daemons in the platform's store. It supplies the seeds for membership and the full number of daemons. */
import { leaseNow } from '../common/lease-clock.js';
import { faultText, type Logger } from '../common/logger.js';
import { startTicker, type Ticker } from '../common/process.js';
import { firstCandidate } from '../common/rendezvous.js';
import { PREVIOUS_ENTRY_VALID_MS, RENEWAL_EXPIRY_MS } from '../core/admission/limit-shares.js';
import type { RoleCandidate } from '../core/roles.js';
import { MemberEntries } from '../core/member-entries.js';
import type { StorePosition } from '../core/store-position.js';
import type { GatewaySettings } from './gateway-settings.js';
import { decodeMemberEntry } from './member-codec.js';
import type { PeerGroup } from './peer-group.js';
import type { RecordFailure, RecordStore, StoredRecord } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Period at which the list checks whether a read is due. */
const CHECK_PERIOD_MS = 500;
/** Exponential backoff after failed reads: frequent retries do not bring back a store that is down. */
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 4_000;
/** Time from the first read to the second. Daemons that start together have all written their entries by then. */
const FIRST_PERIOD_MS = 1_500;
/** Maximum period between reads; it doubles up to this value. Daemons that start later are found by membership probes. */
const MAX_PERIOD_MS = 30_000;
/** Longest time by which a list may be older than its read, in milliseconds. A list may lack an entry that was written later. */
const MAX_LIST_AGE_MS = 10_000;
/** Number of entries of ended daemons that are removed after one read. */
const MAX_REMOVED = 4;
/** Name by which daemons rank themselves: the first one removes the entries of daemons that have ended. */
const RANK_NAME = 'member-list';
/** Period at which this daemon renews its entry, to show that it has not ended: many times within the entry's expiry. */
const RENEWAL_PERIOD_MS = 300_000;

/** Maintains this daemon's entry in the list and reads the entries of the others. */
export class MemberList {
  /** Daemons in the list as last read. */
  listed: readonly RoleCandidate[] = [];
  private ticker: Ticker | undefined;
  private isListed = false;
  /** Era of the store in which this daemon wrote its entry; 0 before that. */
  private entryEra = 0;
  /** Whether the list may hold an entry of this daemon, even if no read has shown it yet. */
  private mayBeListed = false;
  private reading: Promise<void> | undefined;
  private periodMs = FIRST_PERIOD_MS;
  private retryMs = FIRST_RETRY_MS;
  private nextReadAt = -Infinity;
  private readonly entries = new MemberEntries();
  /** Revision of this daemon's entry when it was last written. */
  private revision: StorePosition | undefined;
  private renewals = 0;
  private renewAt = -Infinity;
  /** Steady time at which the store acknowledged the last write of this daemon's entry, or its entry was found in a list. */
  private writtenAt = -Infinity;
  /** Whether this process has taken over the entry of an earlier process. */
  private hasTakenOverEntry = false;

  /** @param onRenewed - Called with the lease time of the request when the store has acknowledged this daemon's entry. */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly store: RecordStore,
    private readonly peers: PeerGroup,
    private readonly logger: Logger,
    private readonly onRenewed: (requestedAt: number) => void = () => {},
  ) {}

  /** Whether the entries show that a daemon has ended. */
  hasEnded(address: string): boolean {
    return this.entries.hasEnded(address, steadyNow());
  }

  start(): void {
    const { seeds, peerPort } = this.settings;
    this.peers.addSeeds(seeds.map((host) => `${host}:${peerPort}`));
    const onFault = (fault: unknown): void => {
      this.logger.error('member_list_fault', { reason: faultText(fault) });
    };
    const step = (): void => {
      if (this.reading !== undefined || steadyNow() < this.nextReadAt) return;
      this.reading = this.refresh()
        .catch(onFault)
        .finally(() => (this.reading = undefined));
    };
    step();
    this.ticker = startTicker(CHECK_PERIOD_MS, step, onFault);
  }

  /** Removes this daemon from the list. */
  async leave(): Promise<void> {
    this.ticker?.stop();
    // A write that is still in flight would leave an entry in the list after the removal.
    await this.reading;
    if (!this.mayBeListed) return;
    const { name } = this.settings;
    const revision = this.revision ?? (await this.readRevision());
    if (revision !== undefined) await this.store.remove('members', name, revision);
  }

  /** Reads the revision of this daemon's entry, if there is one with its address. */
  private async readRevision(): Promise<StorePosition | undefined> {
    const entry = await this.store.read('members', this.settings.name);
    const stored = entry.unwrapOr(undefined);
    const isOwn = decodeMemberEntry(stored?.value)?.address === this.peers.address;
    return isOwn ? stored?.revision : undefined;
  }

  private async refresh(): Promise<void> {
    const now = steadyNow();
    if (this.isListed && now >= this.renewAt) await this.renew();
    const isDone = this.isListed ? await this.readLate() : await this.enterAndRead();
    this.nextReadAt = now + this.nextDelayMs(isDone);
  }

  private nextDelayMs(isDone: boolean): number {
    if (!isDone) {
      const delayMs = this.retryMs;
      this.retryMs = Math.min(MAX_RETRY_MS, delayMs * 2);
      return delayMs;
    }
    this.retryMs = FIRST_RETRY_MS;
    const delayMs = this.periodMs;
    this.periodMs = Math.min(MAX_PERIOD_MS, delayMs * 2);
    return delayMs;
  }

  /** Writes this daemon's entry before it reads the list, so that of two daemons that start at once one sees the other. */
  private async enterAndRead(): Promise<boolean> {
    const { name } = this.settings;
    this.mayBeListed = true;
    this.entryEra = this.store.era() ?? 0;
    const requestedAt = leaseNow();
    const created = await this.store.write('members', name, this.entry(), undefined);
    if (created.isOk) this.renewed(created.value.revision, requestedAt);
    if (created.isErr && created.error.type !== 'conflict') return this.logFailure(created.error);
    const listRequestedAt = leaseNow();
    const list = await this.store.list('members', 'current');
    if (list.isErr) return this.logFailure(list.error);
    this.applyList(list.value);
    this.isListed = created.isOk || (await this.takeOverEntry(list.value, listRequestedAt));
    return this.isListed;
  }

  /** Handles an existing entry under this daemon's name, which may hold an earlier address or be old. */
  private async takeOverEntry(
    list: readonly StoredRecord[],
    requestedAt: number,
  ): Promise<boolean> {
    const known = list.find((record) => record.name === this.settings.name);
    if (decodeMemberEntry(known?.value)?.address !== this.peers.address)
      return this.writeEntry(known?.revision);
    this.renewals = renewalsOf(known?.value);
    this.revision = known?.revision;
    this.writtenAt = steadyNow();
    // The time of the last renewal is unknown. The entry counts until the next read, which renews it, and only once.
    if (!this.hasTakenOverEntry)
      this.onRenewed(requestedAt - RENEWAL_EXPIRY_MS + PREVIOUS_ENTRY_VALID_MS);
    this.hasTakenOverEntry = true;
    return true;
  }

  /** Renews the entry, which shows the others that this daemon runs. */
  private async renew(): Promise<void> {
    this.renewals += 1;
    this.isListed = await this.writeEntry(this.revision);
  }

  private async writeEntry(revision: StorePosition | undefined): Promise<boolean> {
    const requestedAt = leaseNow();
    const written = await this.store.write('members', this.settings.name, this.entry(), revision);
    if (written.isErr) {
      this.revision = undefined;
      return this.logFailure(written.error);
    }
    this.renewed(written.value.revision, requestedAt);
    return true;
  }

  private renewed(revision: StorePosition, requestedAt: number): void {
    this.revision = revision;
    this.writtenAt = steadyNow();
    this.renewAt = this.writtenAt + RENEWAL_PERIOD_MS;
    this.onRenewed(requestedAt);
  }

  private async readLate(): Promise<boolean> {
    const list = await this.store.list('members', 'late');
    if (list.isErr) return this.logFailure(list.error);
    // A late list may be older than this daemon's own entry.
    this.applyList(list.value);
    if (this.hasLostEntry(list.value)) this.isListed = false;
    await this.removeEnded(list.value);
    return this.isListed;
  }

  /**
   * Whether the list lacks this daemon's entry, which the next read then writes again: the store was restored from a copy without it, or
   * another daemon has removed it, because the store had not received its renewals.
   */
  private hasLostEntry(list: readonly StoredRecord[]): boolean {
    const isRestored = (this.store.era() ?? 0) > this.entryEra;
    const mayBeLater = steadyNow() - this.writtenAt <= MAX_LIST_AGE_MS && !isRestored;
    return !mayBeLater && !list.some(({ name }) => name === this.settings.name);
  }

  /**
   * Removes entries of daemons that have ended without removing them, unless they have changed since they were read. A daemon that runs
   * nevertheless writes its entry again; its share of the limits has expired by its own clock.
   */
  private async removeEnded(list: readonly StoredRecord[]): Promise<void> {
    if (firstCandidate(RANK_NAME, this.liveAddresses()) !== this.peers.address) return;
    const reachable = new Set([this.peers.address, ...this.peers.reachableOthers()]);
    const ended = list.filter(({ value }) => {
      const address = decodeMemberEntry(value)?.address;
      return address !== undefined && !reachable.has(address) && this.hasEnded(address);
    });
    for (const { name, value, revision } of ended.slice(0, MAX_REMOVED)) {
      const address = decodeMemberEntry(value)?.address;
      this.logger.info('member_entry_removed', { name, address, revision });
      await this.store.remove('members', name, revision);
    }
  }

  private liveAddresses(): string[] {
    return this.peers.live().map(({ address }) => address);
  }

  private applyList(list: readonly StoredRecord[]): void {
    const entries = list.flatMap(({ value, revision }) => {
      const member = decodeMemberEntry(value);
      return member === undefined ? [] : [{ ...member, site: '', revision }];
    });
    this.listed = entries;
    this.entries.observe(entries, steadyNow());
    const others = this.listed.filter((member) => member.address !== this.peers.address);
    this.peers.setListed(others.map((member) => member.address));
  }

  private logFailure(failure: RecordFailure): false {
    const reason = failure.type === 'conflict' ? failure.type : failure.reason;
    this.logger.warn('member_list_unread', { listed: this.listed.length, reason });
    return false;
  }

  /** An entry that was never renewed has the format of earlier versions, without a renewal count. */
  private entry(): MemberRecord {
    const { renewals } = this;
    const renewed = renewals === 0 ? {} : { renewals };
    return { address: this.peers.address, zone: this.settings.zone, ...renewed };
  }
}

/** This daemon's entry in the format of the store. */
interface MemberRecord {
  readonly address: string;
  readonly zone: string;
  /** Incremented with each renewal. */
  readonly renewals?: number;
}

function renewalsOf(value: unknown): number {
  const { renewals } = (value ?? {}) as Partial<MemberRecord>;
  return typeof renewals === 'number' && Number.isFinite(renewals) ? renewals : 0;
}
