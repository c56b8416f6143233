/** Records of the gateway on a virtual clock: each call takes a fixed time, and a write replaces exactly the revision that it names. */
import { Result } from 'true-myth';
import type { RecordFailure, StoredRecord } from '../../src/gateway/ports.js';

/** Milliseconds from a question to the answer; the call is done half of it later. */
const CALL_MS = 8;

/** One store for all daemons. */
export class SimulatedRecordStore {
  private readonly records = new Map<string, StoredRecord>();
  private revision = 0;
  /** Whether no call is answered but with a failure. */
  isAway = false;

  /** Undefined if there is none. */
  read(kind: string, name: string): Promise<Result<StoredRecord | undefined, RecordFailure>> {
    return this.call(() => Result.ok(this.records.get(`${kind}/${name}`)));
  }

  /** Creates the record, or replaces exactly the given revision. */
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
    done: () => Result<Value, RecordFailure>,
  ): Promise<Result<Value, RecordFailure>> {
    return new Promise((resolve) => {
      setTimeout(() => {
        const away = Result.err<Value, RecordFailure>({ type: 'unavailable', reason: 'away' });
        const result = this.isAway ? away : done();
        setTimeout(() => resolve(result), CALL_MS / 2);
      }, CALL_MS / 2);
    });
  }
}
