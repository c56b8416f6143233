/** The daemons that the platform's store lists: seeds for membership, and its full size. */
import { leaseNow } from '../common/lease-clock.js';
import { faultText, type Logger } from '../common/logger.js';
import { startTicker, type Ticker } from '../common/process.js';
import { PREVIOUS_ENTRY_VALID_MS, RENEWAL_EXPIRY_MS } from '../core/admission/limit-shares.js';
import type { DutyMember } from '../core/duties.js';
import { MemberEntries } from '../core/member-entries.js';
import type { StorePosition } from '../core/store-position.js';
import type { GatewaySettings } from './gateway-settings.js';
import { readMember } from './member-codec.js';
import type { PeerGroup } from './peer-group.js';
import type { RecordFailure, RecordStore, StoredRecord } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Between two looks at whether a reading is due. */
const LOOK_PERIOD_MS = 500;
/** From a reading that failed to the next; twice as long after each, for a store that is down serves nobody sooner. */
const FIRST_RETRY_MS = 500;
const LONGEST_RETRY_MS = 4_000;
/** From the first reading to the second: daemons that start together have all entered by then. */
const FIRST_PERIOD_MS = 1_500;
/** Each period is twice the former one, up to this: probes find who comes later. */
const LONGEST_PERIOD_MS = 30_000;
/** Between two writings of this daemon's entry, by which others know that it has not ended; many times within its lapse. */
const RENEWAL_PERIOD_MS = 300_000;

/** Keeps this daemon in the list and reads the others. */
export class MemberList {
  /** Daemons in the list. */
  listed: readonly DutyMember[] = [];
  private ticker: Ticker | undefined;
  private isListed = false;
  /** Of the store; 0 before this daemon has entered itself. */
  private enteredInEra = 0;
  /** Whether an entry of this daemon may be in the list, read or not. */
  private mayBeListed = false;
  private reading: Promise<void> | undefined;
  private periodMs = FIRST_PERIOD_MS;
  private retryMs = FIRST_RETRY_MS;
  private readAt = -Infinity;
  private readonly entries = new MemberEntries();
  /** Of this daemon's entry, as it was written last. */
  private revision: StorePosition | undefined;
  private renewals = 0;
  private renewAt = -Infinity;
  /** Whether this process has taken over the entry of a former one. */
  private hasKeptEntry = false;

  /** @param onRenewed - The store has acknowledged this daemon's entry; the time of the question by the lease clock. */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly store: RecordStore,
    private readonly peers: PeerGroup,
    private readonly logger: Logger,
    private readonly onRenewed: (askedAt: number) => void = () => {},
  ) {}

  /** Whether a daemon has ended, as far as the entries tell. */
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
      if (this.reading !== undefined || steadyNow() < this.readAt) return;
      this.reading = this.refresh()
        .catch(onFault)
        .finally(() => (this.reading = undefined));
    };
    step();
    this.ticker = startTicker(LOOK_PERIOD_MS, step, onFault);
  }

  /** Takes this daemon out of the list. */
  async leave(): Promise<void> {
    this.ticker?.stop();
    // An entry that is on its way would stay in the list after this daemon has left it.
    await this.reading;
    if (this.mayBeListed) await this.store.remove('members', this.settings.name);
  }

  private async refresh(): Promise<void> {
    const now = steadyNow();
    if (this.isListed && now >= this.renewAt) await this.renew();
    const isDone = this.isListed ? await this.readLate() : await this.enterAndRead();
    this.readAt = now + this.nextPause(isDone);
  }

  private nextPause(isDone: boolean): number {
    if (!isDone) {
      const pause = this.retryMs;
      this.retryMs = Math.min(LONGEST_RETRY_MS, pause * 2);
      return pause;
    }
    this.retryMs = FIRST_RETRY_MS;
    const pause = this.periodMs;
    this.periodMs = Math.min(LONGEST_PERIOD_MS, pause * 2);
    return pause;
  }

  /** Enters this daemon before it reads: of two that start at once, one sees the other. */
  private async enterAndRead(): Promise<boolean> {
    const { name } = this.settings;
    this.mayBeListed = true;
    this.enteredInEra = this.store.era() ?? 0;
    const askedAt = leaseNow();
    const created = await this.store.write('members', name, this.entry(), undefined);
    if (created.isOk) this.renewed(created.value.revision, askedAt);
    if (created.isErr && created.error.type !== 'conflict') return this.unread(created.error);
    const listedAt = leaseNow();
    const list = await this.store.list('members', 'current');
    if (list.isErr) return this.unread(list.error);
    this.take(list.value);
    this.isListed = created.isOk || (await this.keepEntry(list.value, listedAt));
    return this.isListed;
  }

  /** The list held this daemon's name before: its entry may be of a former address, or of long ago. */
  private async keepEntry(list: readonly StoredRecord[], askedAt: number): Promise<boolean> {
    const known = list.find((record) => record.name === this.settings.name);
    if (readMember(known?.value)?.address !== this.peers.address)
      return this.writeEntry(known?.revision);
    this.renewals = renewalsOf(known?.value);
    this.revision = known?.revision;
    // How long ago it was renewed is not known: it counts until the next reading, which renews it, and only once.
    if (!this.hasKeptEntry) this.onRenewed(askedAt - RENEWAL_EXPIRY_MS + PREVIOUS_ENTRY_VALID_MS);
    this.hasKeptEntry = true;
    return true;
  }

  /** Shows the others that this daemon runs. */
  private async renew(): Promise<void> {
    this.renewals += 1;
    this.isListed = await this.writeEntry(this.revision);
  }

  private async writeEntry(revision: StorePosition | undefined): Promise<boolean> {
    const askedAt = leaseNow();
    const written = await this.store.write('members', this.settings.name, this.entry(), revision);
    if (written.isErr) return this.unread(written.error);
    this.renewed(written.value.revision, askedAt);
    return true;
  }

  private renewed(revision: StorePosition, askedAt: number): void {
    this.revision = revision;
    this.renewAt = steadyNow() + RENEWAL_PERIOD_MS;
    this.onRenewed(askedAt);
  }

  private async readLate(): Promise<boolean> {
    const list = await this.store.list('members', 'late');
    if (list.isErr) return this.unread(list.error);
    // A late list may be older than this daemon's own entry.
    this.take(list.value);
    if (this.hasLostEntry(list.value)) this.isListed = false;
    return this.isListed;
  }

  /** Whether the store has come back from a copy without this daemon's entry: it is written again with the next reading. */
  private hasLostEntry(list: readonly StoredRecord[]): boolean {
    const isRestored = (this.store.era() ?? 0) > this.enteredInEra;
    return isRestored && !list.some(({ name }) => name === this.settings.name);
  }

  private take(list: readonly StoredRecord[]): void {
    const entries = list.flatMap(({ value, revision }) => {
      const member = readMember(value);
      return member === undefined ? [] : [{ ...member, site: '', revision }];
    });
    this.listed = entries;
    this.entries.observe(entries, steadyNow());
    const others = this.listed.filter((member) => member.address !== this.peers.address);
    this.peers.addSeeds(others.map((member) => member.address));
  }

  private unread(failure: RecordFailure): false {
    const reason = failure.type === 'conflict' ? failure.type : failure.reason;
    this.logger.warn('member_list_unread', { listed: this.listed.length, reason });
    return false;
  }

  /** An entry that was never renewed is spelled as by the builds before. */
  private entry(): MemberRecord {
    const { renewals } = this;
    const renewed = renewals === 0 ? {} : { renewals };
    return { address: this.peers.address, zone: this.settings.zone, ...renewed };
  }
}

/** This daemon's entry as it stands in the store. */
interface MemberRecord {
  readonly address: string;
  readonly zone: string;
  /** Rises with each renewal. */
  readonly renewals?: number;
}

function renewalsOf(value: unknown): number {
  const { renewals } = (value ?? {}) as Partial<MemberRecord>;
  return typeof renewals === 'number' && Number.isFinite(renewals) ? renewals : 0;
}
