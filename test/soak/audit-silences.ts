/**
 * Finds answers that were lost although their replicas were only silent for a time and then went on. Such a call must get a whole
 * answer or a true refusal, unless its deadline passes first. Pure.
 */
import type { CallRecord } from './caller.js';
import {
  describeCall,
  overlapsAny,
  type SoakEvidence,
  type TimeSpan,
  type Violation,
} from './evidence.js';

/** Time before a call in which its gateway must have been undisturbed. */
const CONTACT_MS = 3_000;
/** A call that ends later than this before its deadline ends at its deadline: a gateway answers a little before it. */
const AT_DEADLINE_MS = 100;
/** Longest time from a refusal by the last replica to the end of the call. */
const AT_REFUSAL_MS = 100;
const MODEL_KINDS: ReadonlySet<string> = new Set(['resumable', 'stream_once']);

/** What a run has met of silences. */
export interface SilenceCounts {
  /** Silences of single replicas. */
  readonly all: number;
  /** Calls of which a replica fell silent while it ran them, or was silent when they began to run. */
  readonly calls: number;
  /** How many of these no other fault excuses, and how many of them were served. */
  readonly judged: number;
  readonly served: number;
  /** Backups of requests whose replicas had no request of their gateway before and were silent as well. */
  readonly backups: number;
}

/** Returns the calls that were lost to a silence. */
export function auditSilences(evidence: SoakEvidence): Violation[] {
  const ran = new Set(evidence.runs.map(({ attemptId }) => attemptId));
  return judgedCalls(evidence)
    .filter((call) => isLost(call, ran.has(call.request.attemptId)))
    .filter((call) => !isUnknownAfterRefusal(call, evidence))
    .map((call) => {
      const kind = call.errorKind ?? 'no error kind';
      return { rule: 'lost_to_silence', detail: `${describeCall(call)}, ${kind}` };
    });
}

/** Counts what the silences of a run have met. */
export function silenceCounts(evidence: SoakEvidence): SilenceCounts {
  const silenced = silencedAttempts(evidence);
  const isSilenced = ({ request }: CallRecord): boolean => silenced.has(request.attemptId);
  const judged = judgedCalls(evidence).filter(isSilenced);
  return {
    all: evidence.silences.length,
    calls: evidence.calls.filter(isSilenced).length,
    judged: judged.length,
    served: judged.filter(isServed).length,
    backups: evidence.silentBackups.length,
  };
}

/** Calls during which a replica of their service was silent, and that met no other fault. */
function judgedCalls(evidence: SoakEvidence): CallRecord[] {
  const silences = new Map(
    ['models', 'plain'].map((service) => {
      return [service, evidence.silences.filter((each) => each.service === service)];
    }),
  );
  return evidence.calls.filter((call) => {
    const met = silences.get(serviceOf(call)) ?? [];
    return overlapsAny(spanOf(call), met) && !isExcused(call, evidence);
  });
}

function isExcused(call: CallRecord, evidence: SoakEvidence): boolean {
  const { gateways, replicaFaults, backendPartitions } = evidence;
  const span = spanOf(call);
  const contact = { from: call.sentAt - CONTACT_MS, until: call.endedAt };
  const partitions = backendPartitions.filter((each) => each.gateways.has(call.gateway));
  return (
    // Its replica crashes because of what it asks for.
    call.request.kind === 'poison' ||
    // The process that held it may have ended, stood still or been out of touch with the others.
    gateways.wasDisturbed(call.gateway, contact) ||
    // A replica that crashes, leaves, rejects or spoils answers is not only silent.
    overlapsAny(span, replicaFaults) ||
    // The answer can't come from a replica that the gateway does not reach.
    overlapsAny(span, partitions)
  );
}

function isLost(call: CallRecord, hasRun: boolean): boolean {
  if (isServed(call) || isTrueRefusal(call, hasRun)) return false;
  // The replica may be silent until the deadline.
  return call.endedAt < call.sentAt + call.request.deadlineMs - AT_DEADLINE_MS;
}

/**
 * Whether a call ended with an unknown outcome at a late refusal, before its answer had begun. Two replicas may not work on a request
 * for long, so that the first one was given up, and its caller may be told at once.
 */
function isUnknownAfterRefusal(call: CallRecord, { lateRefusals }: SoakEvidence): boolean {
  const { request, status, isComplete, errorKind, endedAt } = call;
  if (status !== 502 || !isComplete || errorKind !== 'engine_outcome_unknown') return false;
  return lateRefusals.some(({ attemptId, at }) => {
    return attemptId === request.attemptId && Math.abs(endedAt - at) <= AT_REFUSAL_MS;
  });
}

/** Whether a call was refused, for whatever reason, and has not run. */
function isTrueRefusal({ status = 0, isComplete }: CallRecord, hasRun: boolean): boolean {
  const isRefusal = status === 503 || (status >= 400 && status < 500);
  return isRefusal && isComplete && !hasRun;
}

/** Attempt ids of the calls of which a replica was silent. */
function silencedAttempts({ answers, runs, silences }: SoakEvidence): Set<string> {
  const byReplica = new Map<string, TimeSpan[]>();
  for (const silence of silences) {
    byReplica.set(silence.replica, [...(byReplica.get(silence.replica) ?? []), silence]);
  }
  const during = answers.filter(({ replica, from, endedAt }) => {
    return overlapsAny({ from, until: endedAt }, byReplica.get(replica) ?? []);
  });
  const atEnd = runs.filter(({ replica, at }) => {
    return overlapsAny({ from: at - 10, until: at }, byReplica.get(replica) ?? []);
  });
  return new Set([...during, ...atEnd].map(({ attemptId }) => attemptId));
}

function serviceOf({ request }: CallRecord): string {
  return MODEL_KINDS.has(request.kind) ? 'models' : 'plain';
}

function isServed({ status, isComplete }: CallRecord): boolean {
  return status === 200 && isComplete;
}

function spanOf({ sentAt, endedAt }: CallRecord): TimeSpan {
  return { from: sentAt, until: endedAt };
}
