/**
 * Counts violations of the service's guarantees. The evidence is the logs of the
 * engines and the records of the callers; reports of the daemons are not used.
 */
import type { ModelResponse } from '../client/model-client.js';
import type { EngineLogEvent } from '../standin/engine-stand-in-options.js';

/** Milliseconds that a request may end after its deadline: delay of timers and of the loopback. */
const DEADLINE_TOLERANCE_MS = 250;
/** Milliseconds after its leaving notice in which an engine may still receive work. */
const LEAVING_TOLERANCE_MS = 2_000;
/** Milliseconds within which an accepted configuration must be in force at every daemon. */
const CONFIGURATION_LIMIT_MS = 4_000;

/** One request and its result, as recorded by its caller. */
export interface CallerRecord {
  /** The id that the caller chose. In engine logs, it is the part of the request id before "~". */
  readonly id: string;
  readonly daemon: string;
  readonly tenant: string;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  readonly expectedText: string;
  readonly answer: ModelResponse;
}

/** A daemon that a scenario stopped. */
export interface StoppedDaemon {
  /** The address at which the daemon serves callers. */
  readonly daemon: string;
  /** True for SIGTERM, false for SIGKILL. */
  readonly planned: boolean;
}

/** How long one accepted change took to be in force. */
export interface ConfigurationChangeRecord {
  /** Milliseconds until all reachable daemons had applied the change; undefined on timeout. */
  readonly inForceMs: number | undefined;
}

/** The logs and records of one scenario. */
export interface AuditEvidence {
  readonly engineEvents: readonly EngineLogEvent[];
  readonly callers: readonly CallerRecord[];
  /** The highest number of replicas that was ever decided, by tenant. */
  readonly maxDecidedReplicas: ReadonlyMap<string, number>;
  readonly stopped: readonly StoppedDaemon[];
  readonly changeRecords: readonly ConfigurationChangeRecord[];
  /** How often a ready daemon went back to a lower configuration revision. */
  readonly reversions: number;
}

/** The number of violations of each kind; all must be 0. */
export interface Findings {
  readonly replicasBeyondDecided: number;
  readonly memoryBeyondCapacity: number;
  /** Requests that lost their connection although their daemon was not stopped. */
  readonly requestsWithoutEnd: number;
  readonly endsPastDeadline: number;
  readonly wrongAnswers: number;
  /** Requests reported as not run that an engine did run. */
  readonly falseNotRun: number;
  /** Requests that are not repeatable, or idempotency keys, that ran more than once. */
  readonly repeatedRuns: number;
  /** Requests and model loads sent to an engine that had announced its leaving. */
  readonly workForLeaving: number;
  readonly streamsCutByPlannedStop: number;
  readonly configurationLate: number;
  readonly reversions: number;
}

/** Counts the violations of each kind. */
export function audit(evidence: AuditEvidence): Findings {
  return {
    replicasBeyondDecided: countReplicasBeyondDecided(evidence),
    memoryBeyondCapacity: evidence.engineEvents.filter(isOverCapacity).length,
    requestsWithoutEnd: evidence.callers.filter((call) => hasNoEnd(call, evidence)).length,
    endsPastDeadline: evidence.callers.filter(isPastDeadline).length,
    wrongAnswers: evidence.callers.filter(isWrongAnswer).length,
    falseNotRun: countFalseNotRun(evidence),
    repeatedRuns: countRepeatedRuns(evidence),
    workForLeaving: countWorkForLeaving(evidence.engineEvents),
    streamsCutByPlannedStop: evidence.callers.filter((call) => wasCutByPlannedStop(call, evidence))
      .length,
    configurationLate: evidence.changeRecords.filter(isConfigurationLate).length,
    reversions: evidence.reversions,
  };
}

/** Whether no violation was found. */
export function isClean(findings: Findings): boolean {
  return Object.values(findings).every((count) => count === 0);
}

/** Whether the call never reached a daemon because the connection was refused. */
export function wasConnectionRefused(call: CallerRecord): boolean {
  return call.answer.outcome === 'lost' && call.answer.reason.includes('ECONNREFUSED');
}

function countReplicasBeyondDecided(evidence: AuditEvidence): number {
  const enginesByTenant = new Map<string, Set<string>>();
  let violations = 0;
  for (const event of evidence.engineEvents) {
    if (event.event === 'start') {
      // A new engine process starts without replicas.
      for (const engines of enginesByTenant.values()) engines.delete(event.engine);
      continue;
    }
    if (event.tenant === undefined) continue;
    const engines = enginesByTenant.get(event.tenant) ?? new Set<string>();
    enginesByTenant.set(event.tenant, engines);
    if (event.event === 'release') engines.delete(event.engine);
    if (event.event !== 'hold') continue;
    engines.add(event.engine);
    if (engines.size > (evidence.maxDecidedReplicas.get(event.tenant) ?? 0)) violations += 1;
  }
  return violations;
}

function isOverCapacity(event: EngineLogEvent): boolean {
  return event.event === 'hold' && (event.usedBytes ?? 0) > (event.capacityBytes ?? 0);
}

/** A caller whose daemon was killed loses its connection, so its lost request is not counted. */
function hasNoEnd(call: CallerRecord, evidence: AuditEvidence): boolean {
  if (call.answer.outcome !== 'lost' || wasConnectionRefused(call)) return false;
  return !evidence.stopped.some((stop) => stop.daemon === call.daemon);
}

function wasCutByPlannedStop(call: CallerRecord, evidence: AuditEvidence): boolean {
  if (call.answer.outcome !== 'lost' || wasConnectionRefused(call)) return false;
  const stops = evidence.stopped.filter((stop) => stop.daemon === call.daemon);
  return stops.length > 0 && stops.every((stop) => stop.planned);
}

function isPastDeadline(call: CallerRecord): boolean {
  return call.answer.endedAt > call.deadlineAt + DEADLINE_TOLERANCE_MS;
}

function isWrongAnswer(call: CallerRecord): boolean {
  const { outcome, text } = call.answer;
  if (outcome === 'whole') return text !== call.expectedText;
  // A partial answer must be a prefix of the expected one.
  return !call.expectedText.startsWith(text);
}

function callerIdOf(event: EngineLogEvent): string {
  return (event.request ?? '').split('~')[0] ?? '';
}

function runsByCaller(events: readonly EngineLogEvent[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const event of events) {
    if (event.event !== 'run') continue;
    const id = callerIdOf(event);
    runs.set(id, (runs.get(id) ?? 0) + 1);
  }
  return runs;
}

function countFalseNotRun(evidence: AuditEvidence): number {
  const runs = runsByCaller(evidence.engineEvents);
  return evidence.callers.filter((call) => call.answer.ran === 'no' && runs.has(call.id)).length;
}

function countRepeatedRuns(evidence: AuditEvidence): number {
  const runs = runsByCaller(evidence.engineEvents);
  let repeated = 0;
  const byKey = new Map<string, number>();
  for (const call of evidence.callers) {
    const times = runs.get(call.id) ?? 0;
    if (!call.repeatable && times > 1) repeated += 1;
    if (call.idempotencyKey === undefined) continue;
    byKey.set(call.idempotencyKey, (byKey.get(call.idempotencyKey) ?? 0) + times);
  }
  for (const times of byKey.values()) if (times > 1) repeated += 1;
  return repeated;
}

function countWorkForLeaving(events: readonly EngineLogEvent[]): number {
  const leavingSince = new Map<string, number>();
  let violations = 0;
  for (const event of events) {
    if (event.event === 'start') leavingSince.delete(event.engine);
    if (event.event === 'leaving') leavingSince.set(event.engine, event.at);
    const since = leavingSince.get(event.engine);
    const isWork = event.event === 'received' || event.event === 'hold';
    if (isWork && since !== undefined && event.at > since + LEAVING_TOLERANCE_MS) violations += 1;
  }
  return violations;
}

function isConfigurationLate(trial: ConfigurationChangeRecord): boolean {
  return trial.inForceMs === undefined || trial.inForceMs > CONFIGURATION_LIMIT_MS;
}
