import { describe, expect, it } from 'vitest';
import { auditLosses } from './audit-losses.js';
import type { SoakEvidence } from './evidence.js';

const FAULT_FREE_SINCE = 1_000;

/** Calls for models by name: how often each was asked for, and how often it was served. */
type Asked = Readonly<Record<string, readonly [asked: number, served: number]>>;

function rulesFor(
  asked: Asked,
  { lost = ['a', 'b'], owner = 'd' }: { lost?: string[]; owner?: string | undefined } = {},
  sentAt = FAULT_FREE_SINCE,
): string[] {
  const calls = Object.entries(asked).flatMap(([model, [count, served]]) =>
    Array.from({ length: count }, (_, index) => ({
      request: { model },
      sentAt,
      status: index < served ? 200 : 503,
      isComplete: true,
    })),
  );
  const evidence = { calls, faultFreeSince: FAULT_FREE_SINCE, lostGateways: lost, owner };
  return auditLosses(evidence as unknown as SoakEvidence).map(({ rule }) => rule);
}

describe('the audit of lost gateways', () => {
  it('finds models that are never served', () => {
    expect(rulesFor({ m1: [4, 0], m2: [4, 0], m3: [9, 1] })).toEqual(['models_starved']);
  });

  it('tolerates one, those that are hardly asked for, and what was before', () => {
    expect(rulesFor({ m1: [4, 0], m2: [3, 0], m3: [9, 1] })).toEqual([]);
    expect(rulesFor({ m1: [4, 0], m2: [4, 0] }, {}, FAULT_FREE_SINCE - 1)).toEqual([]);
  });

  it('finds a service without an owner, or whose owner is lost', () => {
    expect(rulesFor({}, { owner: 'a' })).toEqual(['service_unowned']);
    expect(
      auditLosses({ calls: [], faultFreeSince: 0, lostGateways: ['a'], owner: undefined } as never),
    ).toHaveLength(1);
  });

  it('judges nothing unless gateways were lost', () => {
    expect(rulesFor({ m1: [4, 0], m2: [4, 0] }, { lost: [], owner: 'a' })).toEqual([]);
  });
});
