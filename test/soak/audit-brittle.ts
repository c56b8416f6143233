/** Finds brittle replicas that fell over too often, and callers that were not served because sound replicas were silent for a moment. Pure. */
import type { CallRecord } from './caller.js';
import { overlapsAny, type BrittleTime, type SoakEvidence, type Violation } from './evidence.js';
import { STEADY_TENANT } from './soak-tenants.js';

/** Number of times that the replicas of a service may fall over in one time in which they are brittle, beside a share of them. */
const TOLERATED_FALLS = 2;
const TOLERATED_FALL_SHARE = 0.1;
/** Share of the calls sent while sound replicas are silent that must be served. */
const SERVED_SHARE = 0.9;
/** Smallest number of such calls for a verdict. */
const MIN_CALLS = 20;

/** Returns the violations of brittle and of silent replicas. */
export function auditBrittle(evidence: SoakEvidence): Violation[] {
  return [
    ...evidence.brittleTimes.flatMap((time) => auditFalls(time, evidence)),
    ...auditSilence(evidence),
  ];
}

function auditFalls(time: BrittleTime, { brittleFalls }: SoakEvidence): Violation[] {
  const falls = brittleFalls.filter(({ at }) => at >= time.from && at <= time.until);
  const allowed = TOLERATED_FALLS + TOLERATED_FALL_SHARE * time.replicas;
  if (falls.length <= allowed) return [];
  const detail = `${falls.length} falls of ${time.replicas} replicas, ${allowed} allowed: ${falls
    .map(({ replica }) => replica)
    .join(' ')}`;
  return [{ rule: 'brittle_replicas_fell', detail }];
}

/** Judges all silences together, without those that overlap another fault. */
function auditSilence(evidence: SoakEvidence): Violation[] {
  const { silentTimes, replicaFaults, storeFaults, backendPartitions } = evidence;
  const alone = silentTimes.filter((span) => {
    return !overlapsAny(span, [...replicaFaults, ...storeFaults, ...backendPartitions]);
  });
  const calls = evidence.calls.filter(
    (call) => isJudged(call, evidence) && overlapsAny(spanOf(call), alone),
  );
  const served = calls.filter(({ status, isComplete }) => status === 200 && isComplete);
  if (calls.length < MIN_CALLS || served.length >= calls.length * SERVED_SHARE) return [];
  const detail = `${served.length} of ${calls.length} calls served while sound replicas were silent`;
  return [{ rule: 'unserved_in_silence', detail }];
}

function spanOf({ sentAt }: CallRecord): { from: number; until: number } {
  return { from: sentAt, until: sentAt };
}

function isJudged(call: CallRecord, { gateways }: SoakEvidence): boolean {
  const { caller, kind } = call.request;
  if (caller.tenant !== STEADY_TENANT || kind === 'poison') return false;
  return !gateways.wasDisturbed(call.gateway, { from: call.sentAt, until: call.endedAt });
}
