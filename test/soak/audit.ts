/** Counts the promises that a soak saw broken, from what callers and replicas recorded. Pure. */
import type { CallRecord, RequestKind } from './caller.js';
import { auditTenants } from './audit-tenants.js';
import { plainText, streamText } from './expected-events.js';
import type { ReplicaViolation, RunRecord } from './run-log.js';
import { STEADY_TENANT } from './soak-tenants.js';

/** A time, in Unix milliseconds. */
export interface TimeSpan {
  readonly from: number;
  readonly until: number;
}

/** What was done to the gateways, as the auditor asks for it. */
export interface GatewayHistory {
  wasHarmed(gateway: string, span: TimeSpan): boolean;
  /** When the gateway was asked to stop in that time. */
  stopDuring(gateway: string, span: TimeSpan): number | undefined;
}

/** One try of a changed configuration at one gateway. */
export interface ConfigurationProbe {
  readonly call: CallRecord;
  readonly version: number;
  readonly acceptedAt: number;
}

/** All that a soak has left behind. */
export interface SoakEvidence {
  readonly calls: readonly CallRecord[];
  readonly probes: readonly ConfigurationProbe[];
  readonly runs: readonly RunRecord[];
  readonly replicaViolations: readonly ReplicaViolation[];
  readonly gateways: GatewayHistory;
  /** When versions of the configuration were accepted, in Unix milliseconds. */
  readonly accepted: ReadonlyMap<number, number>;
  /** Times in which the store was not sound. */
  readonly storeFaults: readonly TimeSpan[];
  /** Times in which some replica was not sound. */
  readonly replicaFaults: readonly TimeSpan[];
  /** Since when nothing was done to anything. */
  readonly calmSince: number;
  readonly unaskedExits: number;
}

/** One broken promise. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

const PROMISES = new Set([408, 421, 429, 503]);
const AT_MOST_ONCE: ReadonlySet<RequestKind> = new Set(['once', 'stream_once']);
const END_TOLERANCE_MS = 500;
const CONFIGURATION_MS = 2_000;
/** After a fault of the store daemons may need so long to read again. */
const STORE_AFTERMATH_MS = 4_000;
const RECOVERY_SHARE = 0.9;
const NOT_FOUND = 404;

/** All broken promises. */
export function audit(evidence: SoakEvidence): Violation[] {
  const runs = countRuns(evidence.runs);
  return [
    ...evidence.calls.flatMap((call) => auditCall(call, runs, evidence)),
    ...evidence.replicaViolations.flatMap((seen) => auditReplica(seen, evidence)),
    ...evidence.probes.flatMap((probe) => auditProbe(probe, evidence)),
    ...auditReversions(evidence),
    ...auditRecovery(evidence),
    ...auditTenants(evidence),
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
  const report = (rule: string): void => void found.push({ rule, detail: describe(call) });
  const ran = runs.get(request.attemptId) ?? 0;
  const mustRunOnce = AT_MOST_ONCE.has(request.kind);
  if (mustRunOnce && ran > 1) report('repeated_run');
  if (mustRunOnce && PROMISES.has(status) && ran > 0) report('false_promise');
  if (status === 200 && call.isWhole && !isRight(call)) report('wrong_answer');
  if (call.wasRefused) return found;
  const span = { from: call.sentAt, until: call.endedAt };
  if (evidence.gateways.wasHarmed(call.gateway, span)) return found;
  if (call.endedAt > call.sentAt + request.deadlineMs + END_TOLERANCE_MS) report('late_end');
  if (status === 0) report('no_answer');
  if (wasCutByPlannedStop(call, span, evidence)) report('cut_by_planned_stop');
  return found;
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

/** Work for a leaving replica counts only from a gateway that could know it. */
function auditReplica(seen: ReplicaViolation, evidence: SoakEvidence): Violation[] {
  const detail = `${seen.replica} ${seen.detail}`;
  if (seen.kind !== 'work_while_leaving') return [{ rule: seen.kind, detail }];
  const call = evidence.calls.find(({ request }) => seen.detail.startsWith(request.attemptId));
  if (call === undefined) return [];
  const span = { from: call.sentAt - STORE_AFTERMATH_MS, until: call.endedAt };
  const isExcused =
    evidence.gateways.wasHarmed(call.gateway, span) || overlapsAny(span, evidence.storeFaults);
  return isExcused ? [] : [{ rule: seen.kind, detail }];
}

function auditProbe(probe: ConfigurationProbe, evidence: SoakEvidence): Violation[] {
  const { call, acceptedAt } = probe;
  if (call.status !== NOT_FOUND || call.sentAt < acceptedAt + CONFIGURATION_MS) return [];
  const span = { from: acceptedAt - STORE_AFTERMATH_MS, until: call.endedAt };
  const isExcused =
    evidence.gateways.wasHarmed(call.gateway, span) ||
    evidence.gateways.stopDuring(call.gateway, span) !== undefined ||
    overlapsAny(span, evidence.storeFaults);
  return isExcused ? [] : [{ rule: 'configuration_late', detail: describe(call) }];
}

/** A gateway that has served a version's route must not deny it later in the same life. */
function auditReversions(evidence: SoakEvidence): Violation[] {
  const served = new Map<string, number>();
  const found: Violation[] = [];
  for (const { call, version } of evidence.probes) {
    const key = `${call.gateway} ${version}`;
    const servedAt = served.get(key);
    if (call.status === 200) served.set(key, servedAt ?? call.endedAt);
    if (call.status !== NOT_FOUND || servedAt === undefined) continue;
    const span = { from: servedAt, until: call.endedAt };
    const hasRestarted =
      evidence.gateways.wasHarmed(call.gateway, span) ||
      evidence.gateways.stopDuring(call.gateway, span) !== undefined;
    if (!hasRestarted) found.push({ rule: 'configuration_reverted', detail: describe(call) });
  }
  return found;
}

function auditRecovery(evidence: SoakEvidence): Violation[] {
  const steady = evidence.calls.filter(({ request }) => request.caller.tenant === STEADY_TENANT);
  const calm = steady.filter((call) => call.sentAt >= evidence.calmSince);
  const served = calm.filter((call) => call.status === 200 && call.isWhole).length;
  if (served >= calm.length * RECOVERY_SHARE) return [];
  return [{ rule: 'not_recovered', detail: `${served} of ${calm.length} served` }];
}

function overlapsAny(span: TimeSpan, others: readonly TimeSpan[]): boolean {
  return others.some((other) => other.from <= span.until && other.until >= span.from);
}

function describe(call: CallRecord): string {
  const { request, gateway, status, sentAt, endedAt } = call;
  const outcome = status === undefined ? 'no answer' : `status ${status}`;
  const whole = call.isWhole ? 'whole' : 'cut';
  return `${request.attemptId} ${request.kind} at ${gateway}: ${outcome}, ${whole}, ${endedAt - sentAt} ms`;
}
