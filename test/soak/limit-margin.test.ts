import { describe, expect, it } from 'vitest';
import type { CallRecord } from './caller.js';
import { limitMargin } from './limit-margin.js';
import {
  LIMIT_WINDOW_MS,
  LIMITED_TENANT,
  UNITS_PER_REQUEST,
  maxUnitsPerWindow,
} from './soak-tenants.js';

const runAt = (attemptId: string, at: number) => ({
  attemptId,
  replica: 'r',
  tenant: LIMITED_TENANT,
  at,
});
const callAt = (attemptId: string, gateway: string) =>
  ({ request: { attemptId }, gateway }) as CallRecord;

describe('the margin to the limit', () => {
  it('reports the units of the fullest window by the gateway that received the requests', () => {
    const runs = [runAt('a', 0), runAt('b', LIMIT_WINDOW_MS), runAt('c', LIMIT_WINDOW_MS + 1)];
    const calls = [callAt('a', 'g0'), callAt('b', 'g0'), callAt('c', 'g1')];
    expect(limitMargin(runs, calls)).toEqual({
      mostUnits: 2 * UNITS_PER_REQUEST,
      allowedUnits: maxUnitsPerWindow(),
      until: new Date(LIMIT_WINDOW_MS + 1).toISOString(),
      unitsByGateway: { g0: UNITS_PER_REQUEST, g1: UNITS_PER_REQUEST },
    });
  });

  it('counts a request once, at its first run', () => {
    const runs = [runAt('a', 0), runAt('a', 1), runAt('b', 2)];
    expect(limitMargin(runs, []).mostUnits).toBe(2 * UNITS_PER_REQUEST);
  });
});
