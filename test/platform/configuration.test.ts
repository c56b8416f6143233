import { describe, expect, it } from 'vitest';
import { readConfiguration } from '../../platform/configuration.js';

function patienceOf(route: Record<string, unknown>): number | undefined {
  return readConfiguration({ version: 1, routes: [route] })?.routes[0]?.callerTimeoutMs;
}

describe('readConfiguration', () => {
  it('knows how long callers wait for a stream', () => {
    const stream = { kind: 'streaming', goalMs: 400, gapGoalMs: 300 };
    expect(patienceOf(stream)).toBe(2_400);
    expect(patienceOf({ ...stream, goalMs: 2_500 })).toBe(10_000);
    expect(patienceOf({ ...stream, gapGoalMs: 100 })).toBe(2_000);
    expect(patienceOf({ kind: 'idempotent', goalMs: 400 })).toBe(Infinity);
  });
});
