/** Counts what was sent of requests that crash replicas after enough had crashed. Pure. */
import { describeCall, overlapsAny, type SoakEvidence, type Violation } from './evidence.js';
import type { PoisonArrival } from './run-log.js';

/** Replicas that such a request may crash before all gateways in touch must know it. */
const CRASHES_ALLOWED = 3;
/** So long after the last of these crashes a gateway that is in touch knows. */
const CONTACT_MS = 3_000;
/** Later arrivals of one request that are borne. */
const LATE_ALLOWED = 3;

/** Requests that went on crashing replicas, and sound ones that were taken for them. */
export function auditCrashes(evidence: SoakEvidence): Violation[] {
  const names = new Set(evidence.poisonArrivals.map(({ name }) => name));
  return [...[...names].flatMap((name) => auditPoison(name, evidence)), ...auditSound(evidence)];
}

function auditPoison(name: string, evidence: SoakEvidence): Violation[] {
  const arrivals = evidence.poisonArrivals.filter((arrival) => arrival.name === name);
  const crashes = evidence.poisonCrashes.filter((crash) => crash.name === name);
  const last = crashes.map(({ at }) => at).sort((one, other) => one - other)[CRASHES_ALLOWED - 1];
  if (last === undefined) return [];
  const late = arrivals.filter((arrival) => {
    return arrival.at > last + CONTACT_MS && wasInTouch(arrival, evidence);
  });
  if (late.length <= LATE_ALLOWED) return [];
  const detail = `${name}: ${late.length} late arrivals, ${crashes.length} crashes`;
  return [{ rule: 'crash_repeated', detail }];
}

/** The gateway that sent it was not harmed for so long that it must know. */
function wasInTouch({ attemptId, at }: PoisonArrival, evidence: SoakEvidence): boolean {
  const call = evidence.calls.find(({ request }) => request.attemptId === attemptId);
  if (call === undefined) return true;
  const span = { from: at - CONTACT_MS, until: at };
  const { gateways } = evidence;
  return !gateways.wasHarmed(call.gateway, span) && !gateways.wasDisturbed(call.gateway, span);
}

/** A sound request is refused as one that crashes replicas only where these crash all around it. */
function auditSound({ calls, replicaFaults }: SoakEvidence): Violation[] {
  const taken = calls.filter(({ request, errorKind }) => {
    return errorKind === 'crashes_backends' && request.kind !== 'poison';
  });
  const unexcused = taken.filter((call) => {
    return !overlapsAny({ from: call.sentAt, until: call.endedAt }, replicaFaults);
  });
  return unexcused.map((call) => ({ rule: 'sound_condemned', detail: describeCall(call) }));
}
