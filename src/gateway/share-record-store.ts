/** The record of how limits are divided, in the platform's store. */
import type { Logger } from '../common/logger.js';
import { isSettled, type LimitShares, type ShareRecord } from '../core/admission/limit-shares.js';
import type { RecordFailure, RecordStore } from './ports.js';
import { sharesFromStore } from './share-codec.js';

/** Name of the one record of its kind. */
const RECORD_NAME = 'all';

/** Options of {@link ShareRecordStore}. */
export interface ShareRecordStoreOptions {
  readonly shares: LimitShares;
  readonly store: Pick<RecordStore, 'read' | 'write'>;
  readonly logger: Logger;
}

/** What a reading has found. */
export type ShareReading =
  /** `isNew`: it is newer than what was known. */
  | { readonly type: 'read'; readonly isNew: boolean }
  | { readonly type: 'absent' }
  | { readonly type: 'failed' };

/** One daemon's calls. */
export class ShareRecordStore {
  constructor(private readonly options: ShareRecordStoreOptions) {}

  /** Reads the record for this daemon. */
  async read(): Promise<ShareReading> {
    const { store, shares, logger } = this.options;
    const answer = await store.read('limitShares', RECORD_NAME);
    if (answer.isErr) return this.failed('limit_shares_unread', answer.error);
    if (answer.value === undefined) {
      shares.recordAbsent();
      return { type: 'absent' };
    }
    const record = sharesFromStore(answer.value.value);
    if (record === undefined) {
      logger.error('limit_shares_unreadable', { revision: answer.value.revision });
      return { type: 'failed' };
    }
    return { type: 'read', isNew: shares.recordStored(record) };
  }

  /**
   * Replaces the record that the store holds, unless it is newer than the one that this daemon knows. A store that has come
   * back from a copy may hold an older one.
   */
  async replace(former: ShareRecord | undefined, next: ShareRecord): Promise<ShareReading> {
    const { store, shares, logger } = this.options;
    const held = await store.read('limitShares', RECORD_NAME);
    if (held.isErr) return this.failed('limit_shares_unread', held.error);
    const stored = held.value && sharesFromStore(held.value.value);
    if (stored !== undefined && stored.number > this.knownNumber) {
      return { type: 'read', isNew: shares.recordStored(stored) };
    }
    const isUnchanged = this.knownNumber === (former?.number ?? 0);
    const isReadable = held.value === undefined || stored !== undefined;
    if (!isUnchanged || !isReadable) return { type: 'failed' };
    const written = await store.write('limitShares', RECORD_NAME, next, held.value?.revision);
    if (written.isErr) return this.failed('limit_shares_unwritten', written.error);
    const members = next.members.length;
    const fields = { number: next.number, members, next: next.next.length };
    logger.info(isSettled(next) ? 'limit_shares_closed' : 'limit_shares_opened', fields);
    return { type: 'read', isNew: shares.recordStored(next) };
  }

  private get knownNumber(): number {
    return this.options.shares.record?.number ?? 0;
  }

  private failed(event: string, failure: RecordFailure): ShareReading {
    const reason = failure.type === 'conflict' ? failure.type : failure.reason;
    this.options.logger.warn(event, { reason, known: this.knownNumber });
    return { type: 'failed' };
  }
}
