/** Counts requests to replicas that announced a rate limit, from gateways that had received the announcement. Pure. */
import type { CallRecord } from './caller.js';
import type { SoakEvidence, Violation } from './evidence.js';
import type { LimitedArrival } from './run-log.js';

/** Window over which the requests to a replica are counted. */
const WINDOW_MS = 4_000;
/** Time from the first response that announces a limit until the gateways must respect it. */
const PROPAGATION_MS = 3_000;
/** A gateway knows a limit this long after it has forwarded a response that announces it. */
const KNOWN_AFTER_MS = 500;
/** Tolerance above the limit: EXCESS is a factor of the limit, SLACK a number of requests. */
const EXCESS = 1.5;
const SLACK = 5;

interface Arrival extends LimitedArrival {
  readonly call: CallRecord;
}

/** Returns the replicas that received more requests than their limit allows. */
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

/** Checks each uninterrupted span in which the replica announces a limit separately. */
function auditReplica(
  replica: string,
  arrivals: readonly Arrival[],
  evidence: SoakEvidence,
): Violation[] {
  const excesses = limitedSpans(arrivals).flatMap((span) => {
    const since = (span[0]?.at ?? 0) + PROPAGATION_MS;
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

/** Whether the gateway had forwarded a response that announces the limit and was not disturbed lately. */
function isCounted(
  { at, call }: Arrival,
  span: readonly Arrival[],
  { gateways }: SoakEvidence,
): boolean {
  const knows = span.some((earlier) => {
    const { gateway, status, endedAt } = earlier.call;
    return gateway === call.gateway && status !== undefined && endedAt <= at - KNOWN_AFTER_MS;
  });
  return knows && !gateways.wasDisturbed(call.gateway, { from: at - PROPAGATION_MS, until: at });
}

/** Highest limit announced in the window or last before it: tolerates changes that are still propagating. */
function highestLimit(span: readonly Arrival[], from: number, until: number): number {
  const before = span.filter(({ at }) => at <= from - KNOWN_AFTER_MS).at(-1);
  const named = span.filter(({ at }) => at > from - KNOWN_AFTER_MS && at <= until);
  return Math.max(...[before, ...named].map((arrival) => arrival?.perSecond ?? 0));
}
