/** Finds spans in which most new connections went to one gateway and callers were served less often than before. Pure. */
import type { CallRecord } from './caller.js';
import { overlapsAny, type SoakEvidence, type TimeSpan, type Violation } from './evidence.js';

/** Time from the start of a funnel from which calls are judged. */
const CONTACT_MS = 3_000;
/** Time before a funnel with which it is compared. */
const BEFORE_MS = 6_000;
/** Part of the earlier served share that must be reached. */
const MIN_RATIO = 0.75;
/** Smallest number of calls on each side for a comparison. */
const MIN_CALLS = 20;
/** Statuses that depend on keys and limits, not on the load of a gateway. */
const LIMIT_STATUSES: ReadonlySet<number | undefined> = new Set([401, 429]);

/** How callers were served before a funnel and in it; undefined if other faults or too few calls prevent a comparison. */
interface FunnelComparison {
  readonly gateway: string;
  readonly before: readonly CallRecord[];
  readonly during: readonly CallRecord[];
}

/** Returns the funnels in which callers were harmed. Spans with other faults of gateways, replicas or the store do not count. */
export function auditFunnels(evidence: SoakEvidence): Violation[] {
  return comparisons(evidence).flatMap(({ gateway, before, during }) => {
    if (servedShare(during) >= MIN_RATIO * servedShare(before)) return [];
    const counts = `${served(during)} of ${during.length} served, before ${served(before)} of ${before.length}`;
    return [{ rule: 'funnel_unserved', detail: `most new connections at ${gateway}: ${counts}` }];
  });
}

/** Number of funnels that were judged. */
export function judgedFunnels(evidence: SoakEvidence): number {
  return comparisons(evidence).length;
}

function comparisons(evidence: SoakEvidence): FunnelComparison[] {
  return evidence.funnels.flatMap(({ gateway, from, until }) => {
    const whole = { from: from - BEFORE_MS, until };
    if (hasFault(gateway, whole, evidence)) return [];
    const before = callsIn({ from: whole.from, until: from }, evidence);
    const during = callsIn({ from: from + CONTACT_MS, until }, evidence);
    const isComparable = before.length >= MIN_CALLS && during.length >= MIN_CALLS;
    return isComparable ? [{ gateway, before, during }] : [];
  });
}

function hasFault(gateway: string, span: TimeSpan, evidence: SoakEvidence): boolean {
  const { gateways, replicaFaults, storeFaults } = evidence;
  const isDisturbed = gateways.wasDisturbed(gateway, span);
  return isDisturbed || overlapsAny(span, replicaFaults) || overlapsAny(span, storeFaults);
}

/** A connection that was refused, or closed without an answer, does not count. */
function callsIn({ from, until }: TimeSpan, { calls }: SoakEvidence): CallRecord[] {
  return calls.filter(({ request, sentAt, status }) => {
    const isCounted = status !== undefined && !LIMIT_STATUSES.has(status);
    return isCounted && sentAt >= from && sentAt < until && request.kind !== 'poison';
  });
}

function served(calls: readonly CallRecord[]): number {
  return calls.filter(({ status, isComplete }) => status === 200 && isComplete).length;
}

function servedShare(calls: readonly CallRecord[]): number {
  return served(calls) / calls.length;
}
