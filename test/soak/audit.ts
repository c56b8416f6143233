/** Counts the promises that a soak saw broken, from what callers and replicas recorded. Pure. */
import type { CallRecord, RequestKind } from './caller.js';
import { auditConfiguration } from './audit-configuration.js';
import { auditCrashes } from './audit-crashes.js';
import { auditRateLimits } from './audit-rate-limits.js';
import { auditTold } from './audit-told.js';
import { auditTenants } from './audit-tenants.js';
import { plainText, streamText } from './expected-events.js';
import {
  describeCall,
  overlapsAny,
  storeFaultsTowards,
  type SoakEvidence,
  type TimeSpan,
  type Violation,
} from './evidence.js';
import type { ReplicaViolation, RunRecord } from './run-log.js';
import { STEADY_TENANT } from './soak-tenants.js';

const PROMISES = new Set([408, 421, 429, 503]);
const AT_MOST_ONCE: ReadonlySet<RequestKind> = new Set(['once', 'stream_once']);
const END_TOLERANCE_MS = 500;
/** After a fault of the store daemons may need so long to read again. */
const STORE_AFTERMATH_MS = 4_000;
/** Orders that come so soon after their sender was thawed, or its links healed, break nothing. */
const THAW_MS = 300;
/** A request that is cut later than this after it was sent must have been read. */
const CROSSING_MS = 200;
const RECOVERY_SHARE = 0.9;

/** All broken promises. */
export function audit(evidence: SoakEvidence): Violation[] {
  const runs = countRuns(evidence.runs);
  return [
    ...evidence.calls.flatMap((call) => auditCall(call, runs, evidence)),
    ...evidence.replicaViolations.flatMap((seen) => auditReplica(seen, evidence)),
    ...auditConfiguration(evidence),
    ...auditRecovery(evidence),
    ...auditTenants(evidence),
    ...auditCrashes(evidence),
    ...auditRateLimits(evidence),
    ...auditTold(evidence),
    ...(evidence.unaskedExits > 0
      ? [{ rule: 'unasked_exit', detail: String(evidence.unaskedExits) }]
      : []),
  ];
}

function countRuns(runs: readonly RunRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { attemptId } of runs) counts.set(attemptId, (counts.get(attemptId) ?? 0) + 1);
  return counts;
}

function auditCall(
  call: CallRecord,
  runs: ReadonlyMap<string, number>,
  evidence: SoakEvidence,
): Violation[] {
  const { request, status = 0 } = call;
  const found: Violation[] = [];
  const report = (rule: string): void => void found.push({ rule, detail: describeCall(call) });
  const ran = runs.get(request.attemptId) ?? 0;
  const mustRunOnce = AT_MOST_ONCE.has(request.kind);
  if (mustRunOnce && ran > 1) report('repeated_run');
  if (mustRunOnce && PROMISES.has(status) && ran > 0) report('false_promise');
  if (status === 200 && call.isWhole && !isRight(call)) report('wrong_answer');
  if (call.wasRefused) return found;
  const span = { from: call.sentAt, until: call.endedAt };
  if (evidence.gateways.wasHarmed(call.gateway, span)) return found;
  if (call.endedAt > call.sentAt + request.deadlineMs + END_TOLERANCE_MS) report('late_end');
  if (wasCutByPlannedStop(call, span, evidence)) report('cut_by_planned_stop');
  if (status === 0) found.push(...auditMissingAnswer(call, ran, evidence));
  return found;
}

/** A planned stop must answer also what comes on connections that callers keep. */
function auditMissingAnswer(call: CallRecord, ran: number, evidence: SoakEvidence): Violation[] {
  const span = { from: call.sentAt, until: call.endedAt };
  const isStop = evidence.gateways.stopDuring(call.gateway, span) !== undefined;
  const isKept = call.wasOnKeptConnection;
  if (isStop && isKept && hasCrossedTheClose(call, ran)) return [];
  const rule = isStop && isKept ? 'cut_by_planned_stop' : 'no_answer';
  return [{ rule, detail: describeCall(call) }];
}

/** Nothing tells that the gateway read the request before it closed the connection. */
function hasCrossedTheClose(call: CallRecord, ran: number): boolean {
  return ran === 0 && call.endedAt - call.sentAt <= CROSSING_MS;
}

function wasCutByPlannedStop(call: CallRecord, span: TimeSpan, evidence: SoakEvidence): boolean {
  if (call.status !== 200 || call.isWhole) return false;
  const stoppedAt = evidence.gateways.stopDuring(call.gateway, span);
  return stoppedAt !== undefined && !overlapsAny(span, evidence.replicaFaults);
}

function isRight(call: CallRecord): boolean {
  const { kind, body, attemptId } = call.request;
  if (!call.isSealed) return false;
  if (kind === 'resumable' || kind === 'stream_once') {
    const { events } = JSON.parse(body) as { events: number };
    return call.text === streamText(body, events);
  }
  return call.text === plainText(attemptId, body);
}

function auditReplica(seen: ReplicaViolation, evidence: SoakEvidence): Violation[] {
  return isExcused(seen, evidence) ? [] : [describeReplicaViolation(seen, evidence)];
}

/** What replicas saw and the faults around it excuse: to be looked at, but no broken promise. */
export function excusedViolations(evidence: SoakEvidence): Violation[] {
  return evidence.replicaViolations
    .filter((seen) => isExcused(seen, evidence))
    .map((seen) => describeReplicaViolation(seen, evidence));
}

function describeReplicaViolation(seen: ReplicaViolation, evidence: SoakEvidence): Violation {
  const when = new Date(seen.at).toISOString();
  const gateway = findCall(seen.attemptId, evidence)?.gateway ?? seen.sender ?? 'nobody known';
  return { rule: seen.kind, detail: `${seen.replica} at ${when} by ${gateway}: ${seen.detail}` };
}

function isExcused(seen: ReplicaViolation, evidence: SoakEvidence): boolean {
  switch (seen.kind) {
    case 'work_while_leaving':
      return couldNotKnow(seen, evidence);
    case 'lower_epoch':
      return cameJustAfterThaw(seen, evidence);
    default:
      return false;
  }
}

/** A frozen process gives the orders that it had begun before it can notice that it stood still. */
function cameJustAfterThaw(
  { sender = '', at }: ReplicaViolation,
  { gateways }: SoakEvidence,
): boolean {
  return gateways.wasJustFreed(sender, { from: at - THAW_MS, until: at });
}

/** Work for a leaving replica counts only from a gateway that could know it; who sent it must be known. */
function couldNotKnow(seen: ReplicaViolation, evidence: SoakEvidence): boolean {
  const call = findCall(seen.attemptId, evidence);
  if (call === undefined) return false;
  const span = { from: call.sentAt - STORE_AFTERMATH_MS, until: seen.at };
  const storeFaults = storeFaultsTowards(call.gateway, evidence);
  return evidence.gateways.wasHarmed(call.gateway, span) || overlapsAny(span, storeFaults);
}

/** Probes of the configuration are requests like others. */
function findCall(attemptId: string | undefined, evidence: SoakEvidence): CallRecord | undefined {
  const calls = [...evidence.calls, ...evidence.probes.map(({ call }) => call)];
  return calls.find(({ request }) => request.attemptId === attemptId);
}

function auditRecovery(evidence: SoakEvidence): Violation[] {
  const steady = evidence.calls.filter(({ request }) => {
    return request.caller.tenant === STEADY_TENANT && request.kind !== 'poison';
  });
  const calm = steady.filter((call) => call.sentAt >= evidence.calmSince);
  const isServed = (call: CallRecord): boolean => call.status === 200 && call.isWhole;
  const served = calm.filter(isServed).length;
  if (served >= calm.length * RECOVERY_SHARE) return [];
  const others = countEnds(calm.filter((call) => !isServed(call)));
  return [{ rule: 'not_recovered', detail: `${served} of ${calm.length} served; ${others}` }];
}

/** How often calls have ended in which way. */
function countEnds(calls: readonly CallRecord[]): string {
  const counts = new Map<string, number>();
  for (const { request, status = 'no answer', errorKind = '', isWhole } of calls) {
    const end = `${request.kind} ${status} ${errorKind}${isWhole ? '' : ' cut'}`;
    counts.set(end, (counts.get(end) ?? 0) + 1);
  }
  return [...counts].map(([end, count]) => `${end}: ${count}`).join(', ');
}
