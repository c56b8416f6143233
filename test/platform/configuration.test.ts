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

  it.each([-1, -1e308, 0.5])(
    'replaces the size limit %d, under which no request could be served, by a default',
    (bad) => {
      const limits = { maxHeaderBytes: bad, maxBodyBytes: bad };
      const read = readConfiguration({ version: 1, limits });
      expect(read?.limits).toEqual(readConfiguration({ version: 1 })?.limits);
    },
  );

  it('keeps the size limit 0 of bodies, but not of heads', () => {
    const defaults = readConfiguration({ version: 1 })?.limits;
    const limits = { maxHeaderBytes: 0, maxBodyBytes: 0 };
    const read = readConfiguration({ version: 1, limits });
    expect(read?.limits).toEqual({ ...defaults, bodyBytes: 0 });
  });

  it('derives from the goals of a streaming route how long its callers wait', () => {
    const stream = { kind: 'streaming', goalMs: 400, gapGoalMs: 300 };
    expect(callerTimeoutOf(stream)).toBe(2_400);
    expect(callerTimeoutOf({ ...stream, goalMs: 2_500 })).toBe(10_000);
    expect(callerTimeoutOf({ ...stream, gapGoalMs: 100 })).toBe(2_000);
    expect(callerTimeoutOf({ kind: 'idempotent', goalMs: 400 })).toBe(Infinity);
  });
});
