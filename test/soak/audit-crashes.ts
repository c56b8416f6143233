/** Counts how often crashing requests were still sent to replicas after enough replicas had crashed. Pure. */
import { describeCall, overlapsAny, type SoakEvidence, type Violation } from './evidence.js';
import type { PoisonArrival } from './run-log.js';

/** Replicas that one request may crash before all connected gateways must reject it. */
const CRASHES_ALLOWED = 3;
/** Longest time from the last of these crashes until a connected gateway rejects the request. */
const PROPAGATION_MS = 3_000;
/** Later arrivals of one request that are tolerated. */
const LATE_ARRIVALS_ALLOWED = 3;

/** Returns requests that kept crashing replicas, and harmless requests that were rejected as crashing ones. */
export function auditCrashes(evidence: SoakEvidence): Violation[] {
  const names = new Set(evidence.poisonArrivals.map(({ name }) => name));
  return [
    ...[...names].flatMap((name) => auditPoison(name, evidence)),
    ...auditHarmlessRequests(evidence),
  ];
}

function auditPoison(name: string, evidence: SoakEvidence): Violation[] {
  const arrivals = evidence.poisonArrivals.filter((arrival) => arrival.name === name);
  const crashes = evidence.poisonCrashes.filter((crash) => crash.name === name);
  const last = crashes.map(({ at }) => at).sort((one, other) => one - other)[CRASHES_ALLOWED - 1];
  if (last === undefined) return [];
  const late = arrivals.filter((arrival) => {
    return arrival.at > last + PROPAGATION_MS && wasConnected(arrival, evidence);
  });
  if (late.length <= LATE_ARRIVALS_ALLOWED) return [];
  const detail = `${name}: ${late.length} late arrivals, ${crashes.length} crashes`;
  return [{ rule: 'crash_repeated', detail }];
}

/** Whether the sending gateway had no fault for long enough that it must know of the crashes. */
function wasConnected({ attemptId, at }: PoisonArrival, evidence: SoakEvidence): boolean {
  const call = evidence.calls.find(({ request }) => request.attemptId === attemptId);
  if (call === undefined) return true;
  const span = { from: at - PROPAGATION_MS, until: at };
  const { gateways } = evidence;
  return !gateways.hadFault(call.gateway, span) && !gateways.wasDisturbed(call.gateway, span);
}

/** A harmless request may be rejected as a crashing one only while replicas have faults. */
function auditHarmlessRequests({ calls, replicaFaults }: SoakEvidence): Violation[] {
  const rejected = calls.filter(({ request, errorKind }) => {
    return errorKind === 'crashes_backends' && request.kind !== 'poison';
  });
  const unexcused = rejected.filter((call) => {
    return !overlapsAny({ from: call.sentAt, until: call.endedAt }, replicaFaults);
  });
  return unexcused.map((call) => ({ rule: 'sound_condemned', detail: describeCall(call) }));
}
