/** Counts requests that came to replicas which had named a rate limit, from gateways that knew of it. Pure. */
import type { CallRecord } from './caller.js';
import type { SoakEvidence, Violation } from './evidence.js';
import type { LimitedArrival } from './run-log.js';

/** In which a replica counts. */
const WINDOW_MS = 4_000;
/** From the first answer that names a limit until the limit is held against the gateways. */
const CONTACT_MS = 3_000;
/** A gateway has known of a limit so long after it has passed on an answer that names it. */
const KNOWN_AFTER_MS = 500;
/** More than the limit allows, as a share of it and in requests. */
const EXCESS = 1.5;
const SLACK = 5;

interface Arrival extends LimitedArrival {
  readonly call: CallRecord;
}

/** Replicas that got more than their limit allows. */
export function auditRateLimits(evidence: SoakEvidence): Violation[] {
  if (evidence.limitedArrivals.length === 0) return [];
  const calls = new Map<string, CallRecord>();
  const all = [...evidence.calls, ...evidence.probes.map(({ call }) => call)];
  for (const call of all) calls.set(call.request.attemptId, call);
  const byReplica = new Map<string, Arrival[]>();
  for (const arrival of evidence.limitedArrivals) {
    const call = calls.get(arrival.attemptId);
    if (call === undefined) continue;
    const known = byReplica.get(arrival.replica) ?? [];
    known.push({ ...arrival, call });
    byReplica.set(arrival.replica, known);
  }
  return [...byReplica].flatMap(([replica, arrivals]) => auditReplica(replica, arrivals, evidence));
}

/** Each time without a break in which the replica names a limit is looked at by itself. */
function auditReplica(
  replica: string,
  arrivals: readonly Arrival[],
  evidence: SoakEvidence,
): Violation[] {
  const excesses = limitedSpans(arrivals).flatMap((span) => {
    const since = (span[0]?.at ?? 0) + CONTACT_MS;
    const counted = span.filter((arrival) => isCounted(arrival, span, evidence));
    return counted.flatMap((last) => {
      const from = last.at - WINDOW_MS;
      if (from < since) return [];
      const inWindow = counted.filter(({ at }) => at > from && at <= last.at);
      const allowed = (highestLimit(span, from, last.at) * EXCESS * WINDOW_MS) / 1_000 + SLACK;
      return inWindow.length > allowed ? [{ count: inWindow.length, allowed }] : [];
    });
  });
  const worst = excesses.sort((a, b) => b.count - b.allowed - (a.count - a.allowed))[0];
  if (worst === undefined) return [];
  const detail = `${replica}: ${worst.count} requests in ${WINDOW_MS} ms, allowed ${worst.allowed}`;
  return [{ rule: 'rate_limit_exceeded', detail }];
}

function limitedSpans(arrivals: readonly Arrival[]): Arrival[][] {
  const spans: Arrival[][] = [[]];
  for (const arrival of [...arrivals].sort((a, b) => a.at - b.at)) {
    if (arrival.perSecond === undefined) spans.push([]);
    else spans.at(-1)?.push(arrival);
  }
  return spans.filter((span) => span.length > 0);
}

/** The gateway had passed on an answer that names the limit, and nothing was done to it since. */
function isCounted(
  { at, call }: Arrival,
  span: readonly Arrival[],
  { gateways }: SoakEvidence,
): boolean {
  const knows = span.some((earlier) => {
    const { gateway, status, endedAt } = earlier.call;
    return gateway === call.gateway && status !== undefined && endedAt <= at - KNOWN_AFTER_MS;
  });
  return knows && !gateways.wasDisturbed(call.gateway, { from: at - CONTACT_MS, until: at });
}

/** The highest limit that was named in a time, or last before it: changes on their way are borne. */
function highestLimit(span: readonly Arrival[], from: number, until: number): number {
  const before = span.filter(({ at }) => at <= from - KNOWN_AFTER_MS).at(-1);
  const named = span.filter(({ at }) => at > from - KNOWN_AFTER_MS && at <= until);
  return Math.max(...[before, ...named].map((arrival) => arrival?.perSecond ?? 0));
}
