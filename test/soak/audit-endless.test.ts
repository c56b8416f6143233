import { describe, expect, it } from 'vitest';
import { auditEndless, MACHINE_MEGABYTES } from './audit-endless.js';
import type { SoakEvidence } from './evidence.js';

function rulesFor(sentBytes: number, megabytes: number): string[] {
  const evidence = {
    endlessAnswers: [{ kind: 'chunks', at: 0, sentBytes }],
    mostMemory: [{ name: 'gateway', megabytes }],
  };
  return auditEndless(evidence as unknown as SoakEvidence).map(({ rule }) => rule);
}

describe('the audit of answers without an end', () => {
  it('finds an answer that was read on and on', () => {
    expect(rulesFor(64 * 1024 * 1024, 100)).toEqual(['answer_unbounded']);
  });

  it('finds a gateway that takes more memory than its machine has', () => {
    expect(rulesFor(0, MACHINE_MEGABYTES + 1)).toEqual(['memory_exceeded']);
  });

  it('allows what was on its way when the answer was ended', () => {
    expect(rulesFor(12 * 1024 * 1024, MACHINE_MEGABYTES)).toEqual([]);
  });
});
