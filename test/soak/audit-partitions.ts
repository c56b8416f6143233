/**
 * Finds partitions of gateways from all replicas in which their callers were served less often than the others, or in which the
 * others were harmed. Pure.
 */
import type { CallRecord } from './caller.js';
import {
  overlapsAny,
  storeFaultsAffecting,
  type BackendPartition,
  type SoakEvidence,
  type TimeSpan,
  type Violation,
} from './evidence.js';

/** Time from the start of a partition within which gateways must have noticed it. */
export const NOTICE_MS = 3_000;
/** Time from the end of a partition after which callers must be served as before. */
const HEALED_MS = 1_000;
/** Time after a partition in which calls are judged. */
const AFTER_MS = 4_000;
/** Share of the other callers' served share that callers of partitioned gateways must reach. */
const SERVED_RATIO = 2 / 3;
/** Smallest number of calls on each side for a comparison. */
const MIN_CALLS = 10;
/** Served share of callers of the other gateways, without any other fault. */
const OTHERS_SERVED_SHARE = 0.9;
/** Without any reachable replica a call must be refused in this time. */
const REFUSAL_MS = 1_000;
/** Share of such calls that may take longer: non-repeatable ones whose outcome is unknown. */
const SLOW_REFUSAL_SHARE = 0.1;
/** Statuses that depend on keys and limits, not on replicas. */
const LIMIT_STATUSES: ReadonlySet<number | undefined> = new Set([401, 429]);

/** Calls and how many of them were served. */
export interface ServedCount {
  readonly served: number;
  readonly calls: number;
}

/** How callers were served in one partition, from {@link NOTICE_MS} after its start, and after its end. */
export interface PartitionReport {
  readonly how: string;
  readonly gateways: number;
  readonly cut: ServedCount;
  readonly others: ServedCount;
  readonly healed: ServedCount;
  readonly healedOthers: ServedCount;
  /** Outcomes of the calls at the partitioned gateways that were not served. */
  readonly unserved: Readonly<Record<string, number>>;
}

/** Reports on all partitions. */
export function partitionReports(evidence: SoakEvidence): PartitionReport[] {
  return evidence.backendPartitions.map((partition) => {
    const during = callsIn(duringOf(partition), evidence);
    const after = callsIn(afterOf(partition), evidence);
    const isCut = ({ gateway }: CallRecord): boolean => partition.gateways.has(gateway);
    const isOther = (call: CallRecord): boolean => !isCut(call);
    return {
      how: partition.how,
      gateways: partition.gateways.size,
      cut: count(during.filter(isCut)),
      others: count(during.filter(isOther)),
      healed: count(after.filter(isCut)),
      healedOthers: count(after.filter(isOther)),
      unserved: outcomes(during.filter((call) => isCut(call) && !isServed(call))),
    };
  });
}

/** Returns the violations of all partitions. */
export function auditPartitions(evidence: SoakEvidence): Violation[] {
  return evidence.backendPartitions.flatMap((partition, index) => {
    const report = partitionReports(evidence)[index];
    return report === undefined ? [] : auditPartition(partition, report, evidence);
  });
}

function auditPartition(
  partition: BackendPartition,
  report: PartitionReport,
  evidence: SoakEvidence,
): Violation[] {
  const found: Violation[] = [];
  const detail = JSON.stringify(report);
  if (isServedLess(report.cut, report.others)) found.push({ rule: 'partitioned_unserved', detail });
  if (isServedLess(report.healed, report.healedOthers)) {
    found.push({ rule: 'unserved_after_partition', detail });
  }
  const isAlone = !hasOtherFaults(duringOf(partition), evidence);
  const { others } = report;
  if (isAlone && others.calls >= MIN_CALLS && shareOf(others) < OTHERS_SERVED_SHARE) {
    found.push({ rule: 'partition_harms_others', detail });
  }
  if (report.others.calls === 0 && refusesSlowly(partition, evidence)) {
    found.push({ rule: 'refused_late_when_partitioned', detail });
  }
  return found;
}

/** Whether callers were served less than {@link SERVED_RATIO} times as often as others. */
function isServedLess(some: ServedCount, others: ServedCount): boolean {
  if (some.calls < MIN_CALLS || others.calls < MIN_CALLS) return false;
  return shareOf(some) < SERVED_RATIO * shareOf(others);
}

function refusesSlowly(partition: BackendPartition, evidence: SoakEvidence): boolean {
  const unserved = callsIn(duringOf(partition), evidence).filter((call) => !isServed(call));
  const slow = unserved.filter(({ sentAt, endedAt }) => endedAt - sentAt > REFUSAL_MS);
  return unserved.length >= MIN_CALLS && slow.length > unserved.length * SLOW_REFUSAL_SHARE;
}

function duringOf({ from, until }: TimeSpan): TimeSpan {
  return { from: from + NOTICE_MS, until };
}

function afterOf({ until }: TimeSpan): TimeSpan {
  return { from: until + HEALED_MS, until: until + AFTER_MS };
}

/** Whether a replica or the store had a fault in a span, or a gateway was disturbed. */
function hasOtherFaults(span: TimeSpan, evidence: SoakEvidence): boolean {
  const names = new Set(evidence.calls.map(({ gateway }) => gateway));
  const isDisturbed = [...names].some((name) => evidence.gateways.wasDisturbed(name, span));
  return (
    isDisturbed ||
    overlapsAny(span, evidence.replicaFaults) ||
    overlapsAny(span, evidence.storeFaults)
  );
}

/**
 * Calls sent in a span to gateways without another fault, whose outcome does not depend on keys, limits or poison. A gateway that starts
 * while the store is away knows no backends, so that a fault of the store excuses it.
 */
function callsIn(span: TimeSpan, evidence: SoakEvidence): CallRecord[] {
  return evidence.calls.filter((call) => {
    if (call.sentAt < span.from || call.sentAt > span.until) return false;
    if (call.request.kind === 'poison' || LIMIT_STATUSES.has(call.status)) return false;
    const until = Math.max(call.endedAt, call.sentAt);
    const afterFault = { from: call.sentAt - NOTICE_MS, until };
    if (overlapsAny(afterFault, storeFaultsAffecting(call.gateway, evidence))) return false;
    return !evidence.gateways.wasDisturbed(call.gateway, { from: call.sentAt, until });
  });
}

function count(calls: readonly CallRecord[]): ServedCount {
  return { served: calls.filter(isServed).length, calls: calls.length };
}

function isServed(call: CallRecord): boolean {
  return call.status === 200 && call.isComplete;
}

function shareOf({ served, calls }: ServedCount): number {
  return calls === 0 ? 1 : served / calls;
}

function outcomes(calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, request, errorKind } of calls) {
    const outcome = `${request.kind} ${status ?? 'no answer'} ${errorKind ?? ''}`.trim();
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }
  return counts;
}
