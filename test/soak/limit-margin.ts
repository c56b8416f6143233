/** Computes how close the runs of a soak came to the limit of the limited tenant. Pure. */
import type { CallRecord } from './caller.js';
import type { RunRecord } from './run-log.js';
import {
  LIMIT_WINDOW_MS,
  LIMITED_TENANT,
  UNITS_PER_REQUEST,
  maxUnitsPerWindow,
} from './soak-tenants.js';

/** The window with the most units of the limited tenant. */
export interface LimitMargin {
  readonly mostUnits: number;
  readonly allowedUnits: number;
  /** Time of the window's last run, ISO 8601; undefined without any run. */
  readonly until: string | undefined;
  /** Units of that window by the gateway that received the request. */
  readonly unitsByGateway: Readonly<Record<string, number>>;
}

/** Finds the fullest window; each request counts once, at its first run. */
export function limitMargin(runs: readonly RunRecord[], calls: readonly CallRecord[]): LimitMargin {
  const fullest = fullestWindow(runs);
  const gatewayOf = new Map(calls.map((call) => [call.request.attemptId, call.gateway]));
  const unitsByGateway: Record<string, number> = {};
  for (const { attemptId } of fullest) {
    const gateway = gatewayOf.get(attemptId) ?? 'unknown';
    unitsByGateway[gateway] = (unitsByGateway[gateway] ?? 0) + UNITS_PER_REQUEST;
  }
  const last = fullest.at(-1);
  return {
    mostUnits: fullest.length * UNITS_PER_REQUEST,
    allowedUnits: maxUnitsPerWindow(),
    until: last && new Date(last.at).toISOString(),
    unitsByGateway,
  };
}

/** First runs of requests of the limited tenant in the window with the most of them, ordered by time. */
export function fullestWindow(runs: readonly RunRecord[]): readonly RunRecord[] {
  const counted = new Map<string, RunRecord>();
  for (const run of runs) {
    if (run.tenant === LIMITED_TENANT && !counted.has(run.attemptId)) {
      counted.set(run.attemptId, run);
    }
  }
  const ordered = [...counted.values()].sort((a, b) => a.at - b.at);
  let first = 0;
  let fullest: readonly RunRecord[] = [];
  for (const [index, { at }] of ordered.entries()) {
    while ((ordered[first]?.at ?? at) <= at - LIMIT_WINDOW_MS) first += 1;
    if (index - first + 1 > fullest.length) fullest = ordered.slice(first, index + 1);
  }
  return fullest;
}
