/**
 * Reports from the gateways' logs why requests were not served immediately: outcomes
 * by route, refusals by cause, load times by location of the copy, and the errors of
 * the load forecasts that were sent to refused callers. Performs no I/O.
 */
import { numberField, type LogEvent } from './log-line.js';

/** Percentiles of load times, response times or forecast errors, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
}

/** Why a request was refused. */
export type RefusalCause =
  /** The owner had sent no forecast of the model's load time. */
  | 'no forecast'
  /** Its model was being loaded. */
  | 'load under way'
  /** A backend had a local copy of its model, but was busy with other orders. */
  | 'copy at hand, backend busy'
  /** Its model was only in the weight store. */
  | 'only in the weight store'
  /** Its model was not loaded in the period covered by the logs. */
  | 'never loaded'
  /** Its tenant exceeded its rate limit. */
  | "over its tenant's limit"
  /** Its API key was unknown, or was revoked while the request waited. */
  | 'key not known'
  /** The daemon's configuration was not confirmed as current, or no daemon that counts the limit replied. */
  | 'configuration or limit not known'
  /** Any other cause. */
  | 'other';

/** Causes that follow from the error kind alone. */
const CAUSES_BY_KIND: ReadonlyMap<string, RefusalCause> = new Map([
  ['rate_limited', "over its tenant's limit"],
  ['unauthorized', 'key not known'],
  ['not_ready', 'configuration or limit not known'],
]);

/** Whether a served stream met its route's latency objectives, as measured by one daemon. */
export type StreamTiming = 'in time' | 'first part late' | 'paused';

/** Statistics from the logs. */
export interface LossReport {
  /** Number of ended requests by route and outcome. */
  readonly ends: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Number of refusals by route and cause; causes of refused retries end in " (came back)". */
  readonly refusals: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Time to the first part of served requests, by route. */
  readonly firstPart: ReadonlyMap<string, Percentiles>;
  /** Number of served streams by route and timing. */
  readonly streams: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Load times by the location of the copy. */
  readonly loads: ReadonlyMap<string, Percentiles>;
  /** Actual minus forecast load completion for first attempts, by the location of the copy. */
  readonly forecastErrors: ReadonlyMap<string, Percentiles>;
}

/** A successful load. */
interface FinishedLoad {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly copy: string;
}

/** Computes the report; the events may come from several daemons in any order. */
export function lossReport(events: readonly LogEvent[]): LossReport {
  const ordered = [...events].sort((a, b) => a.at - b.at);
  const loads = finishedLoads(ordered);
  const ends = new Map<string, Map<string, number>>();
  const refusals = new Map<string, Map<string, number>>();
  const firstPart = new Map<string, number[]>();
  const streams = new Map<string, Map<string, number>>();
  const errors = new Map<string, number[]>();
  for (const event of ordered) {
    const route = event.fields.get('route') ?? '';
    if (event.event === 'request_ended') {
      count(ends, route, event.fields.get('end') ?? '');
      const milliseconds = numberField(event, 'firstPartMs');
      const isServed = event.fields.get('end') === 'served';
      if (isServed && milliseconds !== undefined) addValue(firstPart, route, milliseconds);
      const timing = isServed ? streamTiming(event) : undefined;
      if (timing !== undefined) count(streams, route, timing);
    }
    if (event.event !== 'refused' && event.event !== 'not_admitted') continue;
    const next = nextLoad(event, loads);
    const retryMark = event.fields.get('hasComeBack') === '1' ? ' (came back)' : '';
    count(refusals, route, refusalCause(event, next) + retryMark);
    const forecastMs = numberField(event, 'readyInMs');
    if (forecastMs === undefined || next === undefined || retryMark !== '') continue;
    addValue(errors, next.copy, next.endedAt - event.at - forecastMs);
  }
  const times = new Map<string, number[]>();
  for (const load of loads.values()) {
    for (const { copy, startedAt, endedAt } of load) addValue(times, copy, endedAt - startedAt);
  }
  return {
    ends,
    refusals,
    firstPart: percentilesByKey(firstPart),
    streams,
    loads: percentilesByKey(times),
    forecastErrors: percentilesByKey(errors),
  };
}

/** Timing of a stream; undefined for a response that is not a stream. */
function streamTiming(ended: LogEvent): StreamTiming | undefined {
  const pauseMs = numberField(ended, 'longestPauseMs');
  if (pauseMs === undefined) return undefined;
  const firstPartMs = numberField(ended, 'firstPartMs') ?? 0;
  if (firstPartMs > (numberField(ended, 'goalMs') ?? Infinity)) return 'first part late';
  return pauseMs > (numberField(ended, 'pauseGoalMs') ?? Infinity) ? 'paused' : 'in time';
}

/** Successful loads by model, in the order of completion. */
function finishedLoads(events: readonly LogEvent[]): Map<string, FinishedLoad[]> {
  const loads = new Map<string, FinishedLoad[]>();
  for (const event of events) {
    const isLoaded = event.fields.get('outcome') === 'loaded';
    if (event.event !== 'load_finished' || !isLoaded) continue;
    const model = event.fields.get('model') ?? '';
    const startedAt = event.at - (numberField(event, 'milliseconds') ?? 0);
    const load = { startedAt, endedAt: event.at, copy: event.fields.get('copy') ?? '' };
    loads.set(model, [...(loads.get(model) ?? []), load]);
  }
  return loads;
}

/** The first load of the refused request's model that completed after the refusal; it serves the retries. */
function nextLoad(
  refusal: LogEvent,
  loads: ReadonlyMap<string, readonly FinishedLoad[]>,
): FinishedLoad | undefined {
  const modelLoads = loads.get(refusal.fields.get('model') ?? '') ?? [];
  return modelLoads.find((load) => load.endedAt >= refusal.at);
}

function refusalCause(refusal: LogEvent, next: FinishedLoad | undefined): RefusalCause {
  const kind = refusal.fields.get('kind') ?? '';
  if (kind !== 'no_capacity') return CAUSES_BY_KIND.get(kind) ?? 'other';
  if (next === undefined) return 'never loaded';
  if (next.startedAt <= refusal.at) return 'load under way';
  if (refusal.fields.get('readyInMs') === undefined) return 'no forecast';
  return next.copy === 'store' ? 'only in the weight store' : 'copy at hand, backend busy';
}

function count(counts: Map<string, Map<string, number>>, group: string, key: string): void {
  const groupCounts = counts.get(group) ?? new Map<string, number>();
  counts.set(group, groupCounts.set(key, (groupCounts.get(key) ?? 0) + 1));
}

function addValue(values: Map<string, number[]>, key: string, value: number): void {
  const known = values.get(key);
  if (known === undefined) values.set(key, [value]);
  else known.push(value);
}

function percentilesByKey(
  values: ReadonlyMap<string, readonly number[]>,
): Map<string, Percentiles> {
  return new Map([...values].map(([key, list]) => [key, percentilesOf(list)]));
}

function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (quantile: number): number => {
    return Math.round(
      sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0,
    );
  };
  return { count: sorted.length, p50: at(0.5), p95: at(0.95) };
}
