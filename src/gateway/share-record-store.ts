/** Reads and writes the share record, which divides the limits among the daemons, in the platform's store. */
import type { Logger } from '../common/logger.js';
import { isSettled, type LimitShares, type ShareRecord } from '../core/admission/limit-shares.js';
import type { RecordFailure, RecordStore } from './ports.js';
import { sharesFromStore } from './share-codec.js';

/** Name of the record; it is the only one of its kind. */
const RECORD_NAME = 'all';

/** Options of {@link ShareRecordStore}. */
export interface ShareRecordStoreOptions {
  readonly shares: LimitShares;
  readonly store: Pick<RecordStore, 'read' | 'write'>;
  readonly logger: Logger;
}

/** The result of a read, or of a write that first reads the record. */
export type ShareReadResult =
  /** `isNew`: the record is newer than the known one. */
  | { readonly type: 'read'; readonly isNew: boolean }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** One daemon's access to the record. */
export class ShareRecordStore {
  constructor(private readonly options: ShareRecordStoreOptions) {}

  /** Reads the record and adds it to this daemon's shares. */
  async read(): Promise<ShareReadResult> {
    const { store, shares, logger } = this.options;
    const result = await store.read('limitShares', RECORD_NAME);
    if (result.isErr) return this.fail('limit_shares_unread', result.error);
    if (result.value === undefined) {
      shares.recordAbsent();
      return { type: 'absent' };
    }
    const record = sharesFromStore(result.value.value);
    if (record === undefined) {
      logger.error('limit_shares_unreadable', { revision: result.value.revision });
      return { type: 'failed' };
    }
    return { type: 'read', isNew: shares.recordStored(record) };
  }

  /**
   * Replaces the record in the store unless the stored one is newer than the one that this daemon knows. The stored record may
   * be older if the store was restored from a backup.
   */
  async replace(expected: ShareRecord | undefined, next: ShareRecord): Promise<ShareReadResult> {
    const { store, shares, logger } = this.options;
    const entry = await store.read('limitShares', RECORD_NAME);
    if (entry.isErr) return this.fail('limit_shares_unread', entry.error);
    const stored = entry.value && sharesFromStore(entry.value.value);
    if (stored !== undefined && stored.number > this.knownNumber) {
      return { type: 'read', isNew: shares.recordStored(stored) };
    }
    const isUnchanged = this.knownNumber === (expected?.number ?? 0);
    const isReadable = entry.value === undefined || stored !== undefined;
    if (!isUnchanged || !isReadable) return { type: 'failed' };
    const written = await store.write('limitShares', RECORD_NAME, next, entry.value?.revision);
    if (written.isErr) return this.fail('limit_shares_unwritten', written.error);
    const members = next.members.length;
    const fields = { number: next.number, members, next: next.next.length };
    logger.info(isSettled(next) ? 'limit_shares_closed' : 'limit_shares_opened', fields);
    return { type: 'read', isNew: shares.recordStored(next) };
  }

  private get knownNumber(): number {
    return this.options.shares.record?.number ?? 0;
  }

  private fail(event: string, failure: RecordFailure): ShareReadResult {
    const reason = failure.type === 'conflict' ? failure.type : failure.reason;
    this.options.logger.warn(event, { reason, known: this.knownNumber });
    return { type: 'failed' };
  }
}
