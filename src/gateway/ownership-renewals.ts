/**
 * Renews an owner's record in the platform's store, so that daemons that do not reach the owner can tell from the store that it runs.
 * Each renewal replaces the revision that this owner wrote last, so it never replaces the claim of another daemon.
 */
import type { Logger } from '../common/logger.js';
import { leaseNow } from '../common/lease-clock.js';
import type { StorePosition } from '../core/store-position.js';
import { parseOwnerRecord, type OwnerRecord } from './owner-record.js';
import type { RecordStore } from './ports.js';
import { steadyNow } from './steady-clock.js';

/** Interval between two renewals, in milliseconds. */
export const OWNER_RENEWAL_PERIOD_MS = 2_000;

/** Options of {@link OwnershipRenewals}. */
export interface OwnershipRenewalsOptions {
  readonly service: string;
  readonly store: RecordStore;
  readonly logger: Logger;
  /** Called with the lease time of the request when the store has replaced the record of this owner by its renewal. */
  readonly onRenewed: (requestedAt: number) => void;
  /** Called when the record names another owner or is missing. */
  readonly onOtherOwner: () => void;
}

/** Renews the record of one claim at a time. */
export class OwnershipRenewals {
  private record: OwnerRecord | undefined;
  /** Revision of the record as this owner wrote or read it last; undefined if it must be read first. */
  private revision: StorePosition | undefined;
  private renewals = 0;
  private dueAt = Infinity;
  private isCalling = false;

  constructor(private readonly options: OwnershipRenewalsOptions) {}

  /** Starts to renew the record of a claim; responses for an earlier claim are ignored. */
  begin(record: OwnerRecord, revision: StorePosition): void {
    this.record = record;
    this.revision = revision;
    this.renewals = 0;
    this.dueAt = steadyNow() + OWNER_RENEWAL_PERIOD_MS;
  }

  end(): void {
    this.record = undefined;
  }

  /** Starts a renewal when one is due; must be called frequently. */
  tick(): void {
    const { record } = this;
    const now = steadyNow();
    if (record === undefined || this.isCalling || now < this.dueAt) return;
    this.dueAt = now + OWNER_RENEWAL_PERIOD_MS;
    this.isCalling = true;
    const call = this.revision === undefined ? this.read(record) : this.renew(record);
    void call.finally(() => (this.isCalling = false));
  }

  private async renew(record: OwnerRecord): Promise<void> {
    const { service, store, logger, onRenewed } = this.options;
    this.renewals += 1;
    const value = { ...record, renewals: this.renewals };
    const requestedAt = leaseNow();
    const era = store.era();
    const written = await store.write('owners', service, value, this.revision);
    if (record !== this.record) return;
    // A write in flight while the store was restored may have replaced a state that was never read.
    if (written.isOk && store.era() === era) {
      this.revision = written.value.revision;
      return onRenewed(requestedAt);
    }
    const failure = written.isErr ? written.error.type : 'restored';
    logger.info('ownership_not_renewed', { service, epoch: record.epoch, failure });
    if (failure === 'unavailable') return;
    this.revision = undefined;
    this.dueAt = -Infinity;
  }

  private async read(record: OwnerRecord): Promise<void> {
    const { service, store, onOtherOwner } = this.options;
    const read = await store.read('owners', service);
    if (record !== this.record || read.isErr) return;
    if (parseOwnerRecord(read.value?.value)?.claim !== record.claim) return onOtherOwner();
    this.revision = read.value?.revision;
    this.dueAt = -Infinity;
  }
}
