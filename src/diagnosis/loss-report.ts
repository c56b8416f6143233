/**
 * Why requests were not served at once, worked out from the gateways' logs: ends
 * by route, refusals by cause, loads by place of the copy, and how far the times
 * at which callers were told to come back were off. Pure.
 */
import { numberField, type LogEvent } from './log-line.js';

/** A loading time, or an error, over many events, in milliseconds. */
export interface Spread {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
}

/** Why a request was refused. */
export type RefusalCause =
  /** No owner had said when its model would be loaded. */
  | 'no forecast'
  /** Its model was being loaded. */
  | 'load under way'
  /** Its model had a copy at hand, whose backend was busy with other orders. */
  | 'copy at hand, backend busy'
  /** Its model was only in the weight store. */
  | 'only in the weight store'
  /** Its model was not loaded in the time looked at. */
  | 'never loaded'
  /** Its tenant had asked for more than its limit. */
  | "over its tenant's limit"
  /** Its key was not known, or was taken away while it waited. */
  | 'key not known'
  /** The daemon's configuration was not proved current, or nobody who counts a limit answered. */
  | 'configuration or limit not known'
  /** A reason other than these. */
  | 'other';

/** Causes that the kind of the refusal tells alone. */
const CAUSES_BY_KIND: ReadonlyMap<string, RefusalCause> = new Map([
  ['rate_limited', "over its tenant's limit"],
  ['unauthorized', 'key not known'],
  ['not_ready', 'configuration or limit not known'],
]);

/** How a served stream kept its route's objectives, as far as one daemon sees it. */
export type StreamTiming = 'in time' | 'first part late' | 'paused';

/** All that the logs tell. */
export interface LossReport {
  /** Ended requests by route, then by end. */
  readonly ends: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Refusals by route, then by cause; a refusal of a caller that came back is marked so. */
  readonly refusals: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Time to the first part of served requests, by route. */
  readonly firstPart: ReadonlyMap<string, Spread>;
  /** Served streams by route, then by timing. */
  readonly streams: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Times of loads, by the place of the copy. */
  readonly loads: ReadonlyMap<string, Spread>;
  /** Time at which a model was loaded, less the time that its first callers were told, by place. */
  readonly forecastErrors: ReadonlyMap<string, Spread>;
}

/** A load that ended well. */
interface FinishedLoad {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly copy: string;
}

/** Works the report out; the events may come from many daemons, in any order. */
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
      if (isServed && milliseconds !== undefined) add(firstPart, route, milliseconds);
      const timing = isServed ? streamTiming(event) : undefined;
      if (timing !== undefined) count(streams, route, timing);
    }
    if (event.event !== 'refused' && event.event !== 'not_admitted') continue;
    const next = nextLoad(event, loads);
    const hasComeBack = event.fields.get('hasComeBack') === '1' ? ' (came back)' : '';
    count(refusals, route, causeOf(event, next) + hasComeBack);
    const told = numberField(event, 'readyInMs');
    if (told === undefined || next === undefined || hasComeBack !== '') continue;
    add(errors, next.copy, next.endedAt - event.at - told);
  }
  const times = new Map<string, number[]>();
  for (const load of loads.values()) {
    for (const { copy, startedAt, endedAt } of load) add(times, copy, endedAt - startedAt);
  }
  return {
    ends,
    refusals,
    firstPart: spreads(firstPart),
    streams,
    loads: spreads(times),
    forecastErrors: spreads(errors),
  };
}

/** Undefined for an answer that is no stream. */
function streamTiming(ended: LogEvent): StreamTiming | undefined {
  const pauseMs = numberField(ended, 'longestPauseMs');
  if (pauseMs === undefined) return undefined;
  const firstPartMs = numberField(ended, 'firstPartMs') ?? 0;
  if (firstPartMs > (numberField(ended, 'goalMs') ?? Infinity)) return 'first part late';
  return pauseMs > (numberField(ended, 'pauseGoalMs') ?? Infinity) ? 'paused' : 'in time';
}

/** By model, in the order of their ends. */
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

/** The load that served those who came back. */
function nextLoad(
  refusal: LogEvent,
  loads: ReadonlyMap<string, readonly FinishedLoad[]>,
): FinishedLoad | undefined {
  const ofModel = loads.get(refusal.fields.get('model') ?? '') ?? [];
  return ofModel.find((load) => load.endedAt >= refusal.at);
}

function causeOf(refusal: LogEvent, next: FinishedLoad | undefined): RefusalCause {
  const kind = refusal.fields.get('kind') ?? '';
  if (kind !== 'no_capacity') return CAUSES_BY_KIND.get(kind) ?? 'other';
  if (next === undefined) return 'never loaded';
  if (next.startedAt <= refusal.at) return 'load under way';
  if (refusal.fields.get('readyInMs') === undefined) return 'no forecast';
  return next.copy === 'store' ? 'only in the weight store' : 'copy at hand, backend busy';
}

function count(counts: Map<string, Map<string, number>>, group: string, key: string): void {
  const ofGroup = counts.get(group) ?? new Map<string, number>();
  counts.set(group, ofGroup.set(key, (ofGroup.get(key) ?? 0) + 1));
}

function add(values: Map<string, number[]>, key: string, value: number): void {
  const known = values.get(key);
  if (known === undefined) values.set(key, [value]);
  else known.push(value);
}

function spreads(values: ReadonlyMap<string, readonly number[]>): Map<string, Spread> {
  return new Map([...values].map(([key, list]) => [key, spreadOf(list)]));
}

function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number): number => {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
  };
  return { count: sorted.length, p50: at(0.5), p95: at(0.95) };
}
