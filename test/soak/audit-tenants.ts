/** Checks the guarantees about keys and limits against what callers and replicas of a soak recorded. Pure. */
import type { SoakEvidence, Violation } from './evidence.js';
import type { CallRecord } from './caller.js';
import type { RunRecord } from './run-log.js';
import { fullestWindow } from './limit-margin.js';
import {
  revokingVersion,
  REVOCATION_MS,
  UNITS_PER_REQUEST,
  maxUnitsPerWindow,
} from './soak-tenants.js';

const UNAUTHORIZED = 401;

/** Returns the violated guarantees about tenants; these hold even while gateways have faults. */
export function auditTenants(evidence: SoakEvidence): Violation[] {
  const calls = new Map(evidence.calls.map((call) => [call.request.attemptId, call]));
  return [
    ...evidence.calls.flatMap(auditDenial),
    ...evidence.runs.flatMap((run) => auditRun(run, calls.get(run.attemptId), evidence)),
    ...auditLimit(evidence.runs),
  ];
}

/** A key that no configuration has removed must never be denied. */
function auditDenial({ request, status, gateway }: CallRecord): Violation[] {
  if (status !== UNAUTHORIZED || revokingVersion(request.caller) !== undefined) return [];
  return [{ rule: 'key_denied', detail: `${request.attemptId} at ${gateway}` }];
}

function auditRun(
  run: RunRecord,
  call: CallRecord | undefined,
  evidence: SoakEvidence,
): Violation[] {
  if (call === undefined) return [];
  const { request, gateway, sentAt } = call;
  const found: Violation[] = [];
  const detail = `${run.attemptId} at ${gateway}: tenant ${run.tenant ?? 'none'}`;
  if (run.tenant !== request.caller.tenant) found.push({ rule: 'wrong_tenant', detail });
  if (!evidence.promisesRevocation) return found;
  const version = revokingVersion(request.caller);
  const removedAt = version === undefined ? undefined : evidence.accepted.get(version);
  if (removedAt !== undefined && sentAt > removedAt + REVOCATION_MS) {
    const late = `${detail}, sent ${sentAt - removedAt} ms after its key was removed`;
    found.push({ rule: 'revoked_key_run', detail: late });
  }
  return found;
}

/** Checks the fullest window of the limit; each request counts once, however often it ran. */
function auditLimit(runs: readonly RunRecord[]): Violation[] {
  const units = fullestWindow(runs).length * UNITS_PER_REQUEST;
  if (units <= maxUnitsPerWindow()) return [];
  return [{ rule: 'limit_exceeded', detail: `${units} of ${maxUnitsPerWindow()} units` }];
}
