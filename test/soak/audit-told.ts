/** Counts requests that came to replicas which had told the gateway in an answer to send none. Pure. */
import type { CallRecord } from './caller.js';
import type { SoakEvidence, Violation } from './evidence.js';
import type { ToldArrival } from './run-log.js';

/** A request that its caller sent later than this after a gateway had passed on that the replica leaves is late. */
const DRAIN_MS = 2_000;
/** Requests on their way when a replica asks for rest reach it until then. */
const REST_CROSSING_MS = 500;
/** Requests in a time of rest that are borne. */
const RESTING_ALLOWED = 2;

interface Sent extends ToldArrival {
  readonly call: CallRecord;
}

/** Requests for replicas that had said that they leave, or had asked for rest. */
export function auditTold(evidence: SoakEvidence): Violation[] {
  const calls = new Map<string, CallRecord>();
  const all = [...evidence.calls, ...evidence.probes.map(({ call }) => call)];
  for (const call of all) calls.set(call.request.attemptId, call);
  const groups = new Map<string, Sent[]>();
  for (const arrival of evidence.toldArrivals) {
    const call = calls.get(arrival.attemptId);
    if (call === undefined) continue;
    const key = `${arrival.replica} of ${call.gateway}`;
    groups.set(key, [...(groups.get(key) ?? []), { ...arrival, call }]);
  }
  return [...groups].flatMap(([key, sent]) => [
    ...auditLeaving(key, sent, evidence),
    ...auditRest(key, sent, evidence),
  ]);
}

/** A restart or a standstill of the gateway since then excuses it; nothing else does. */
function auditLeaving(key: string, sent: readonly Sent[], { gateways }: SoakEvidence): Violation[] {
  const passedOn = sent.filter(({ saysLeaving, call }) => saysLeaving && call.status !== undefined);
  const toldAt = Math.min(...passedOn.map(({ call }) => call.endedAt));
  const late = sent.filter(({ saysLeaving, call }) => {
    if (!saysLeaving || call.sentAt <= toldAt + DRAIN_MS) return false;
    return !gateways.wasInterrupted(call.gateway, { from: toldAt, until: call.sentAt });
  });
  if (late.length === 0) return [];
  return [{ rule: 'work_after_told', detail: `${key}: ${late.length} requests` }];
}

/** A restart, a standstill or a cut of the gateway excuses it. */
function auditRest(key: string, sent: readonly Sent[], { gateways }: SoakEvidence): Violation[] {
  const most = sent.map(({ restMs, at, call }) => {
    if (restMs === 0) return 0;
    const span = { from: at + REST_CROSSING_MS, until: at + restMs };
    if (gateways.wasDisturbed(call.gateway, { from: at, until: span.until })) return 0;
    return sent.filter((other) => other.at >= span.from && other.at < span.until).length;
  });
  const worst = Math.max(0, ...most);
  if (worst <= RESTING_ALLOWED) return [];
  return [{ rule: 'work_while_resting', detail: `${key}: ${worst} requests` }];
}
