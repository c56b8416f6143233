import { describe, expect, it } from 'vitest';
import { readConfiguration } from '../../platform/configuration.js';

function callerTimeoutOf(route: Record<string, unknown>): number | undefined {
  return readConfiguration({ version: 1, routes: [route] })?.routes[0]?.callerTimeoutMs;
}

describe('readConfiguration', () => {
  it.each([-1, 2 ** 31, 1e300, 'soon'])(
    'replaces the duration %j, which no timer can wait, by a default',
    (bad) => {
      const limits = { headerTimeoutMs: bad, idleTimeoutMs: bad };
      const read = readConfiguration({ version: 1, limits, routes: [{ timeoutMs: bad }] });
      const defaults = readConfiguration({ version: 1, limits: {}, routes: [{}] });
      expect(read).toEqual(defaults);
    },
  );

  it('derives from the goals of a streaming route how long its callers wait', () => {
    const stream = { kind: 'streaming', goalMs: 400, gapGoalMs: 300 };
    expect(callerTimeoutOf(stream)).toBe(2_400);
    expect(callerTimeoutOf({ ...stream, goalMs: 2_500 })).toBe(10_000);
    expect(callerTimeoutOf({ ...stream, gapGoalMs: 100 })).toBe(2_000);
    expect(callerTimeoutOf({ kind: 'idempotent', goalMs: 400 })).toBe(Infinity);
  });
});
