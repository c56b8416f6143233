/** A simulated record store of the gateway on a virtual clock: calls take a fixed time, and a write replaces only the revision that it names. */
import { Result } from 'true-myth';
import type { RecordFailure, StoredRecord } from '../../src/gateway/ports.js';

/** Milliseconds from request to reply; the store handles the call halfway. */
const CALL_MS = 8;

/** The record store that all daemons share. */
export class SimulatedRecordStore {
  private readonly records = new Map<string, StoredRecord>();
  private revision = 0;
  /** Whether the store is unavailable: all calls fail. */
  isUnavailable = false;

  /** Reads a record; undefined if there is none. */
  read(kind: string, name: string): Promise<Result<StoredRecord | undefined, RecordFailure>> {
    return this.call(() => Result.ok(this.records.get(`${kind}/${name}`)));
  }

  /** Creates the record if `revision` is undefined, else replaces that revision. Fails with a conflict on any other revision. */
  write(
    kind: string,
    name: string,
    value: unknown,
    revision: number | undefined,
  ): Promise<Result<StoredRecord, RecordFailure>> {
    return this.call<StoredRecord>(() => {
      const key = `${kind}/${name}`;
      if (this.records.get(key)?.revision !== revision) return Result.err({ type: 'conflict' });
      this.revision += 1;
      const record = { name, value, revision: this.revision };
      this.records.set(key, record);
      return Result.ok(record);
    });
  }

  private call<Value>(
    operation: () => Result<Value, RecordFailure>,
  ): Promise<Result<Value, RecordFailure>> {
    return new Promise((resolve) => {
      setTimeout(() => {
        const failure = Result.err<Value, RecordFailure>({ type: 'unavailable', reason: 'away' });
        const result = this.isUnavailable ? failure : operation();
        setTimeout(() => resolve(result), CALL_MS / 2);
      }, CALL_MS / 2);
    });
  }
}
