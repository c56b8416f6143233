/** Counts requests to replicas whose responses had announced to the gateway that it should send none. Pure. */
import type { CallRecord } from './caller.js';
import type { SoakEvidence, Violation } from './evidence.js';
import type { AnnouncedArrival } from './run-log.js';

/** A caller may still send requests this long after the gateway forwarded the announcement that the replica leaves. */
const DRAIN_MS = 2_000;
/** Requests in flight when a replica requests a backoff may still arrive for this long. */
const IN_FLIGHT_MS = 500;
/** Requests during a backoff that are tolerated. */
const BACKOFF_REQUESTS_ALLOWED = 2;

interface AttributedArrival extends AnnouncedArrival {
  readonly call: CallRecord;
}

/** Returns requests sent to replicas that had announced that they leave, or had requested a backoff. */
export function auditAnnouncements(evidence: SoakEvidence): Violation[] {
  const calls = new Map<string, CallRecord>();
  const all = [...evidence.calls, ...evidence.probes.map(({ call }) => call)];
  for (const call of all) calls.set(call.request.attemptId, call);
  const groups = new Map<string, AttributedArrival[]>();
  for (const arrival of evidence.announcedArrivals) {
    const call = calls.get(arrival.attemptId);
    if (call === undefined) continue;
    const key = `${arrival.replica} of ${call.gateway}`;
    groups.set(key, [...(groups.get(key) ?? []), { ...arrival, call }]);
  }
  return [...groups].flatMap(([key, sent]) => [
    ...auditLeaving(key, sent, evidence),
    ...auditBackoff(key, sent, evidence),
  ]);
}

/** Only a restart or a pause of the gateway after the announcement excuses late requests. */
function auditLeaving(
  key: string,
  sent: readonly AttributedArrival[],
  { gateways }: SoakEvidence,
): Violation[] {
  const forwarded = sent.filter(
    ({ announcesLeaving: saysLeaving, call }) => saysLeaving && call.status !== undefined,
  );
  const announcedAt = Math.min(...forwarded.map(({ call }) => call.endedAt));
  const late = sent.filter(({ announcesLeaving: saysLeaving, call }) => {
    if (!saysLeaving || call.sentAt <= announcedAt + DRAIN_MS) return false;
    return !gateways.wasInterrupted(call.gateway, { from: announcedAt, until: call.sentAt });
  });
  if (late.length === 0) return [];
  return [{ rule: 'work_after_told', detail: `${key}: ${late.length} requests` }];
}

/** A restart, a pause or a network cut of the gateway excuses requests during a backoff. */
function auditBackoff(
  key: string,
  sent: readonly AttributedArrival[],
  { gateways }: SoakEvidence,
): Violation[] {
  const most = sent.map(({ backoffMs: restMs, at, call }) => {
    if (restMs === 0) return 0;
    const span = { from: at + IN_FLIGHT_MS, until: at + restMs };
    if (gateways.wasDisturbed(call.gateway, { from: at, until: span.until })) return 0;
    return sent.filter((other) => other.at >= span.from && other.at < span.until).length;
  });
  const worst = Math.max(0, ...most);
  if (worst <= BACKOFF_REQUESTS_ALLOWED) return [];
  return [{ rule: 'work_while_resting', detail: `${key}: ${worst} requests` }];
}
