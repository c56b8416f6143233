/** Checks the guarantees about configuration updates against the probes that a soak recorded. Pure. */
import {
  describeCall,
  overlapsAny,
  storeFaultsAffecting,
  type ConfigurationProbe,
  type SoakEvidence,
  type TimeSpan,
  type Violation,
} from './evidence.js';
import { firstVersionWithoutRoute } from './soak-configuration.js';

/** Longest time from the acknowledgement of a version until it is in force, even if newer versions follow. */
export const CONFIGURATION_DEADLINE_MS = 2_000;
/** Time without a fault of a gateway, or of the store towards it, after which the gateway must be up to date. */
export const CATCH_UP_MS = 3_000;
const OK = 200;
const NOT_FOUND = 404;

/** Returns the violated guarantees about configurations. */
export function auditConfiguration(evidence: SoakEvidence): Violation[] {
  return [
    ...evidence.probes.flatMap((probe) => auditProbe(probe, evidence)),
    ...auditReversions(evidence),
  ];
}

/** Measures each version from its own acknowledgement: a newer version does not extend the deadline. */
function auditProbe(probe: ConfigurationProbe, evidence: SoakEvidence): Violation[] {
  const { call, version } = probe;
  if (call.status === NOT_FOUND && !mayBeDropped(probe, evidence)) {
    return lateSince(probe, evidence.accepted.get(version), 'configuration_late', evidence);
  }
  if (call.status === OK) {
    const droppedAt = evidence.accepted.get(firstVersionWithoutRoute(version));
    return lateSince(probe, droppedAt, 'dropped_route_served', evidence);
  }
  return [];
}

function lateSince(
  { call, version }: ConfigurationProbe,
  acceptedAt: number | undefined,
  rule: string,
  evidence: SoakEvidence,
): Violation[] {
  if (acceptedAt === undefined) return [];
  const lateMs = call.sentAt - acceptedAt;
  if (lateMs <= CONFIGURATION_DEADLINE_MS) return [];
  const span = { from: call.sentAt - CATCH_UP_MS, until: call.endedAt };
  if (!wasConnected(call.gateway, span, evidence)) return [];
  const when = new Date(call.sentAt).toISOString();
  const detail = `${describeCall(call)}, version ${version}, sent ${when}, ${lateMs} ms after the acknowledgement`;
  return [{ rule, detail }];
}

/** Whether a version that drops the route may have been in force before the response. */
function mayBeDropped({ call, version }: ConfigurationProbe, evidence: SoakEvidence): boolean {
  const droppedAt = evidence.accepted.get(firstVersionWithoutRoute(version));
  return droppedAt !== undefined && droppedAt <= call.endedAt;
}

function wasConnected(gateway: string, span: TimeSpan, evidence: SoakEvidence): boolean {
  if (evidence.gateways.wasDisturbed(gateway, span)) return false;
  return !overlapsAny(span, storeFaultsAffecting(gateway, evidence));
}

/** A gateway process that has served the route of a version must not respond 404 to it, or to an older one, later. */
function auditReversions(evidence: SoakEvidence): Violation[] {
  const served = new Map<string, ConfigurationProbe[]>();
  const found: Violation[] = [];
  for (const probe of evidence.probes) {
    const { call } = probe;
    const before = served.get(call.gateway) ?? [];
    served.set(call.gateway, before);
    if (call.status === OK) before.push(probe);
    if (call.status !== NOT_FOUND || mayBeDropped(probe, evidence)) continue;
    const isReverted = before.some((earlier) => contradicts(probe, earlier, evidence));
    if (isReverted) found.push({ rule: 'configuration_reverted', detail: describeCall(call) });
  }
  return found;
}

function contradicts(
  { call, version }: ConfigurationProbe,
  earlier: ConfigurationProbe,
  evidence: SoakEvidence,
): boolean {
  if (earlier.version < version) return false;
  const span = { from: earlier.call.endedAt, until: call.endedAt };
  return !hasRestarted(call.gateway, span, evidence);
}

function hasRestarted(gateway: string, span: TimeSpan, { gateways }: SoakEvidence): boolean {
  return gateways.hadFault(gateway, span) || gateways.stopDuring(gateway, span) !== undefined;
}
