import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrashRecords, type CrashRecord } from '../../src/core/crash-records.js';

const [A = '', B = '', C = '', PART = ''] = ['a', 'b', 'c', 'd'].map((letter) => letter.repeat(32));

function withCrashes(crashes: readonly (readonly [string, string])[]): CrashRecords {
  const records = new CrashRecords();
  for (const [digest, start] of crashes) records.recordCrash(digest, start, 0);
  return records;
}

describe('CrashRecords', () => {
  it('condemns a request after crashes of three backend starts, each counted once', () => {
    const records = withCrashes([
      [A, '1'],
      [A, '2'],
      [A, '2'],
    ]);
    expect(records.verdict(A)).toBe('suspect');
    records.recordCrash(A, '3', 1);
    expect(records.verdict(A)).toBe('condemned');
    expect(records.condemnedDigests()).toEqual([A]);
    expect(records.verdict(B)).toBe('sound');
  });

  it('clears a request that ran beside another in three crashes once the other has one crash more', () => {
    const records = withCrashes(
      ['1', '2', '3'].flatMap((start) => [[A, start] as const, [B, start] as const]),
    );
    expect(records.verdict(B)).toBe('condemned');
    records.recordCrash(A, '4', 0);
    expect(records.verdict(A)).toBe('condemned');
    expect(records.verdict(B)).toBe('sound');
    expect(records.attributedCrashes(B)).toBe(0);
  });

  it('does not condemn a request that ran beside the condemned one in two crashes', () => {
    const records = withCrashes([
      [A, '1'],
      [B, '2'],
      [A, '2'],
      [B, '3'],
      [A, '3'],
    ]);
    expect(records.verdict(A)).toBe('condemned');
    expect(records.verdict(B)).toBe('sound');
  });

  it('attributes no earlier crashes to a request that was answered later', () => {
    const records = withCrashes([
      [A, '1'],
      [A, '2'],
    ]);
    const answered = records.recordAnswer(A, 1);
    expect(records.verdict(A)).toBe('sound');
    records.recordCrash(A, '3', 2);
    expect(records.verdict(A)).toBe('sound');
    const other = withCrashes([
      [A, '1'],
      [A, '2'],
      [A, '4'],
    ]);
    other.mergeAll([answered!], 3);
    expect(other.attributedCrashes(A)).toBe(1);
    expect(records.recordAnswer(C, 3)).toBeUndefined();
  });

  it('deletes a record ten minutes after the last crash or repeat, not earlier', () => {
    const records = withCrashes([
      [A, '1'],
      [B, '1'],
    ]);
    records.recordRepeat(A, 500_000);
    records.deleteExpired(599_999);
    expect(records.all(0)).toHaveLength(2);
    records.deleteExpired(600_000);
    expect(records.all(0).map(({ digest }) => digest)).toEqual([A]);
    const late: CrashRecord = { digest: C, depth: 0, starts: ['1'], excused: [], ageMs: 600_000 };
    expect(records.mergeAll([late], 600_000)).toEqual([]);
  });

  it('limits the number of records and keeps those with the most crashes', () => {
    const records = withCrashes([
      [A, '1'],
      [A, '2'],
      [A, '3'],
    ]);
    for (let index = 0; index < 5_000; index++) {
      records.recordCrash(index.toString(16).padStart(32, '0'), `start ${index}`, index);
    }
    expect(records.all(0).length).toBeLessThanOrEqual(2_048);
    expect(records.verdict(A)).toBe('condemned');
  });

  it('reaches the same state regardless of the order and repetition of merged records', () => {
    const record = fc.record({
      digest: fc.constantFrom(A, B, C),
      depth: fc.nat(2),
      starts: fc.array(fc.constantFrom('1', '2', '3', '4'), { maxLength: 3 }),
      excused: fc.array(fc.constantFrom('1', '2', '3', '4'), { maxLength: 2 }),
      ageMs: fc.nat(1_000),
    });
    fc.assert(
      fc.property(fc.array(record, { maxLength: 8 }), fc.func(fc.nat()), (received, order) => {
        const one = new CrashRecords();
        for (const entry of received) one.mergeAll([entry], 0);
        const other = new CrashRecords();
        const shuffled = [...received, ...received].sort((x, y) => order(x) - order(y));
        other.mergeAll(shuffled, 0);
        expect(other.stateDigest()).toBe(one.stateDigest());
        for (const digest of [A, B, C]) expect(other.verdict(digest)).toBe(one.verdict(digest));
      }),
    );
  });

  it('evaluates thousands of records ten times within 200 ms', () => {
    const records = new CrashRecords();
    for (let index = 0; index < 2_048; index++) {
      const digest = index.toString(16).padStart(32, '0');
      for (const start of [0, 1, 2]) records.recordCrash(digest, `${(index + start) % 700}`, 0);
    }
    const startedAt = performance.now();
    for (let evaluation = 0; evaluation < 10; evaluation++) records.condemnedDigests();
    expect(performance.now() - startedAt).toBeLessThan(200);
    expect(records.condemnedDigests()).toHaveLength(2_048);
  });

  it('ignores records without crashes, so that they use no memory', () => {
    const records = new CrashRecords();
    for (let index = 0; index < 3_000; index++) {
      records.mergeAll([{ digest: `${index}`, depth: 0, starts: [], excused: [], ageMs: 0 }], 0);
    }
    expect(records.isEmpty).toBe(true);
    expect(records.stateDigest()).toBe(0);
  });

  it('blames a shared part once several requests with it have crashed backends', () => {
    const records = withCrashes([
      [A, '1'],
      [A, '2'],
    ]);
    for (const start of ['1', '2']) records.recordCrash(PART, start, 0, 2);
    expect(records.verdict(PART)).not.toBe('condemned');
    records.recordCrash(B, '3', 0);
    records.recordCrash(PART, '3', 0, 2);
    expect(records.condemnedDigests()).toEqual([PART]);
  });

  it('blames a repeated request and not the parts of its prompt', () => {
    const records = new CrashRecords();
    for (const start of ['1', '2', '3']) {
      records.recordCrash(A, start, 0);
      records.recordCrash(PART, start, 0, 1);
    }
    expect(records.condemnedDigests()).toEqual([A]);
  });

  it('blames the later of two parts that were in the same requests', () => {
    const records = new CrashRecords();
    for (const [index, start] of ['1', '2', '3'].entries()) {
      records.recordCrash(`${index}`, start, 0);
      records.recordCrash(PART, start, 0, 2);
      records.recordCrash(C, start, 0, 1);
    }
    expect(records.condemnedDigests()).toEqual([PART]);
  });

  it('forgets a part sooner than a request, although it is repeated', () => {
    const records = new CrashRecords();
    for (const start of ['1', '2', '3']) records.recordCrash(PART, start, 0, 1);
    records.recordRepeat(PART, 100_000);
    records.deleteExpired(180_000);
    expect(records.isEmpty).toBe(true);
    const late: CrashRecord = {
      digest: PART,
      depth: 1,
      starts: ['1'],
      excused: [],
      ageMs: 180_000,
    };
    expect(records.mergeAll([late], 180_000)).toEqual([]);
  });
});
