import { describe, expect, it } from 'vitest';
import { UnchangedRecord } from '../../src/core/unchanged-record.js';

describe('the time for which a record is unchanged', () => {
  it('counts from the first read to the last one of the same revision', () => {
    const record = new UnchangedRecord();
    expect(record.unchangedMs()).toBe(0);
    for (const at of [1_000, 2_000, 3_500]) record.observe(7, at);
    expect(record.unchangedMs()).toBe(2_500);
    record.observe(8, 4_000);
    expect(record.unchangedMs()).toBe(0);
  });

  it('counts for a record that does not exist', () => {
    const record = new UnchangedRecord();
    for (const at of [1_000, 2_000]) record.observe(undefined, at);
    expect(record.unchangedMs()).toBe(1_000);
  });

  it('starts again after a read that has failed, and after a gap between reads', () => {
    const record = new UnchangedRecord();
    for (const at of [1_000, 2_000]) record.observe(7, at);
    record.interrupt();
    expect(record.unchangedMs()).toBe(0);
    for (const at of [2_500, 3_000]) record.observe(7, at);
    expect(record.unchangedMs()).toBe(500);
    record.observe(7, 6_000);
    expect(record.unchangedMs()).toBe(0);
  });
});
