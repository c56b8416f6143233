import { describe, expect, it } from 'vitest';
import { DeltaLog, MAX_DELTA_LOG_BYTES, type LoggedDelta } from '../../src/core/delta-log.js';

const MEGABYTE = 1024 * 1024;

function deltaTo(revision: number, bytes: number): LoggedDelta {
  const entry = { key: 'tenant/till', revision, value: new Uint8Array(bytes) };
  return { base: revision - 1, revision, entries: [entry] };
}

describe('the log of the changes of a feed', () => {
  it('returns the changes after a revision, and none if it lacks some', () => {
    const log = new DeltaLog();
    for (let revision = 1; revision <= 300; revision++) log.add(deltaTo(revision, 10));
    expect(log.since(298)?.map(({ revision }) => revision)).toEqual([299, 300]);
    expect(log.since(44)).toHaveLength(256);
    expect(log.since(43)).toBeUndefined();
    log.clear();
    expect(log.since(298)).toBeUndefined();
    expect(log.bytes).toBe(0);
  });

  it('does not exhaust the heap when a large object changes again and again', () => {
    const log = new DeltaLog();
    for (let revision = 1; revision <= 100; revision++) {
      log.add(deltaTo(revision, MEGABYTE));
      expect(log.bytes).toBeLessThanOrEqual(MAX_DELTA_LOG_BYTES);
    }
    expect(log.since(99)).toHaveLength(1);
    expect(log.since(50)).toBeUndefined();
  });

  it('does not keep a change that is larger than its bound', () => {
    const log = new DeltaLog();
    log.add(deltaTo(1, 2 * MAX_DELTA_LOG_BYTES));
    expect(log.bytes).toBe(0);
    expect(log.since(0)).toBeUndefined();
  });
});
