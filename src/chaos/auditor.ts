/**
 * Counts broken promises from the engines' own logs and the callers' own
 * records; never from what the daemons say of themselves.
 */
import type { ModelAnswer } from '../client/model-client.js';
import type { EngineLogEvent } from '../standin/engine-stand-in-options.js';

/** Milliseconds that an end may come after its deadline: timers and the loopback. */
const DEADLINE_TOLERANCE_MS = 250;
/** Milliseconds after its notice in which a leaving engine may still get work. */
const LEAVING_TOLERANCE_MS = 2_000;
/** Milliseconds in which an accepted configuration must be in force everywhere. */
const CONFIGURATION_LIMIT_MS = 4_000;

/** One request as its caller saw it. */
export interface CallerRecord {
  /** The caller's own id; engines log it before a "~". */
  readonly id: string;
  readonly daemon: string;
  readonly tenant: string;
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** Unix milliseconds. */
  readonly deadlineAt: number;
  readonly expectedText: string;
  readonly answer: ModelAnswer;
}

/** A daemon that was stopped, and how. */
export interface StoppedDaemon {
  /** Callers' address. */
  readonly daemon: string;
  readonly planned: boolean;
}

/** When one accepted change was in force. */
export interface ConfigurationTrial {
  /** Milliseconds until all daemons that could be reached had it; undefined if some never did. */
  readonly inForceMs: number | undefined;
}

/** What one scenario has left behind. */
export interface Evidence {
  readonly engineEvents: readonly EngineLogEvent[];
  readonly callers: readonly CallerRecord[];
  /** The most replicas that were ever decided for a tenant. */
  readonly caps: ReadonlyMap<string, number>;
  readonly stopped: readonly StoppedDaemon[];
  readonly trials: readonly ConfigurationTrial[];
  /** Steps of a daemon to a lower revision while it was ready. */
  readonly reversions: number;
}

/** The counts; all must be 0. */
export interface Findings {
  readonly replicasBeyondDecided: number;
  readonly memoryBeyondCapacity: number;
  readonly requestsWithoutEnd: number;
  readonly endsPastDeadline: number;
  readonly wrongAnswers: number;
  readonly falseNotRun: number;
  readonly repeatedRuns: number;
  readonly workForLeaving: number;
  readonly streamsCutByPlannedStop: number;
  readonly configurationLate: number;
  readonly reversions: number;
}

/** Counts every kind of broken promise. */
export function audit(evidence: Evidence): Findings {
  return {
    replicasBeyondDecided: countReplicasBeyond(evidence),
    memoryBeyondCapacity: evidence.engineEvents.filter(isOverCapacity).length,
    requestsWithoutEnd: evidence.callers.filter((call) => hasNoEnd(call, evidence)).length,
    endsPastDeadline: evidence.callers.filter(isPastDeadline).length,
    wrongAnswers: evidence.callers.filter(isWrong).length,
    falseNotRun: countFalseNotRun(evidence),
    repeatedRuns: countRepeatedRuns(evidence),
    workForLeaving: countWorkForLeaving(evidence.engineEvents),
    streamsCutByPlannedStop: evidence.callers.filter((call) => wasCutByPlan(call, evidence)).length,
    configurationLate: evidence.trials.filter(isLate).length,
    reversions: evidence.reversions,
  };
}

/** Whether nothing was found. */
export function isClean(findings: Findings): boolean {
  return Object.values(findings).every((count) => count === 0);
}

/** Whether the call never reached a daemon: the connection was refused. */
export function wasNotTaken(call: CallerRecord): boolean {
  return call.answer.outcome === 'lost' && call.answer.reason.includes('ECONNREFUSED');
}

function countReplicasBeyond(evidence: Evidence): number {
  const holders = new Map<string, Set<string>>();
  let beyond = 0;
  for (const event of evidence.engineEvents) {
    if (event.event === 'start') {
      // A new process: what the one before held is gone.
      for (const engines of holders.values()) engines.delete(event.engine);
      continue;
    }
    if (event.tenant === undefined) continue;
    const engines = holders.get(event.tenant) ?? new Set<string>();
    holders.set(event.tenant, engines);
    if (event.event === 'release') engines.delete(event.engine);
    if (event.event !== 'hold') continue;
    engines.add(event.engine);
    if (engines.size > (evidence.caps.get(event.tenant) ?? 0)) beyond += 1;
  }
  return beyond;
}

function isOverCapacity(event: EngineLogEvent): boolean {
  return event.event === 'hold' && (event.usedBytes ?? 0) > (event.capacityBytes ?? 0);
}

/** A caller whose daemon was killed loses its connection; nobody can end its request. */
function hasNoEnd(call: CallerRecord, evidence: Evidence): boolean {
  if (call.answer.outcome !== 'lost' || wasNotTaken(call)) return false;
  return !evidence.stopped.some((stop) => stop.daemon === call.daemon);
}

function wasCutByPlan(call: CallerRecord, evidence: Evidence): boolean {
  if (call.answer.outcome !== 'lost' || wasNotTaken(call)) return false;
  const stops = evidence.stopped.filter((stop) => stop.daemon === call.daemon);
  return stops.length > 0 && stops.every((stop) => stop.planned);
}

function isPastDeadline(call: CallerRecord): boolean {
  return call.answer.endedAt > call.deadlineAt + DEADLINE_TOLERANCE_MS;
}

function isWrong(call: CallerRecord): boolean {
  const { outcome, text } = call.answer;
  if (outcome === 'whole') return text !== call.expectedText;
  // A partial answer must at least be the start of the right one.
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

function countFalseNotRun(evidence: Evidence): number {
  const runs = runsByCaller(evidence.engineEvents);
  return evidence.callers.filter((call) => call.answer.ran === 'no' && runs.has(call.id)).length;
}

function countRepeatedRuns(evidence: Evidence): number {
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
  let late = 0;
  for (const event of events) {
    if (event.event === 'start') leavingSince.delete(event.engine);
    if (event.event === 'leaving') leavingSince.set(event.engine, event.at);
    const since = leavingSince.get(event.engine);
    const isWork = event.event === 'received' || event.event === 'hold';
    if (isWork && since !== undefined && event.at > since + LEAVING_TOLERANCE_MS) late += 1;
  }
  return late;
}

function isLate(trial: ConfigurationTrial): boolean {
  return trial.inForceMs === undefined || trial.inForceMs > CONFIGURATION_LIMIT_MS;
}
