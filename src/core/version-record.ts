/**
 * The record of the software versions in service, which outlives the daemons. A daemon that has just started, beside others that have
 * just started as well, infers from it at which version a stream has begun. The record must contain each version and each route that
 * a daemon may have used within the covered time before it was written; versions and routes that appear later are added at once, and
 * are removed only by a daemon that has observed their absence for longer than a stream may run. No I/O; times are durations in
 * milliseconds.
 */
import type { PathRule, StreamScope } from './route-history.js';
import type { VersionAges } from './service-versions.js';
import { MAX_OBSERVED_MS } from './service-versions.js';
import type { StreamOrigin } from './stream-origins.js';

/** Time by which the views of two daemons may differ, with reserve: lists of backends and configurations may be 5 s late. */
export const VIEW_MARGIN_MS = 10_000;
/** Maximum number of rules in a record; with more, no stream is inferred from it. */
export const MAX_RULES = 2_000;
/** Maximum size of the rules in a record, in characters; an object of the store may hold about twice as much. */
const MAX_RULES_LENGTH = 500_000;

/** The versions of one service. */
export interface RecordedService {
  readonly service: string;
  /** Sorted; null for an unknown version. */
  readonly versions: readonly (string | null)[];
  /** Time before the record was written for which `versions` is complete. */
  readonly coveredMs: number;
}

/** The versions in service and the routes to them. */
export interface VersionRecord {
  /** Era of the store in which the record was written. In another era it proves nothing. */
  readonly era: number;
  /** Increases whenever a version appears that the record contains already, so that a removal that is under way fails. */
  readonly sightings: number;
  readonly rules: readonly PathRule[];
  readonly services: readonly RecordedService[];
}

/** What one daemon knows when it updates the record. */
export interface VersionView {
  readonly era: number;
  /** Time for which the daemon has observed the backends without a gap, in this era of the store. */
  readonly observedMs: number;
  /** Time for which the daemon has known that the record has its present content. */
  readonly unchangedMs: number;
  readonly ages: VersionAges;
  /** Rules under which streams may run; undefined if they are not all known, or too many for a record. */
  readonly rules: readonly PathRule[] | undefined;
  /** Whether the daemon also extends the covered time and removes versions, which a few daemons do. */
  readonly maintains: boolean;
}

/** Returns the record that should replace the stored one; undefined if there is nothing to change. */
export function nextVersionRecord(
  stored: VersionRecord | undefined,
  view: VersionView,
): VersionRecord | undefined {
  const base = stored?.era === view.era ? stored : emptyRecord(view.era);
  const rules = mergeRules(base.rules, view);
  const isBounded = rules !== undefined && isSmall(rules);
  const services = isBounded ? nextServices(base.services, view) : [];
  if (services.length === 0 && base.services.length === 0) return undefined;
  const { era, sightings } = base;
  const next = { era, sightings, rules: isBounded ? rules : [], services };
  return JSON.stringify(next) === JSON.stringify(base) ? undefined : next;
}

/** Returns the same record with one more sighting. */
export function withSighting(record: VersionRecord): VersionRecord {
  return { ...record, sightings: record.sightings + 1 };
}

function emptyRecord(era: number): VersionRecord {
  return { era, sightings: 0, rules: [], services: [] };
}

function isSmall(rules: readonly PathRule[]): boolean {
  return rules.length <= MAX_RULES && JSON.stringify(rules).length <= MAX_RULES_LENGTH;
}

/** What a daemon that has observed too briefly knows of a stream's origin. */
export interface RecordInference {
  /** Current era of the store. */
  readonly era: number | undefined;
  readonly host: string;
  readonly path: string;
  readonly scope: StreamScope;
  /** Returns the only version of the scope's service that the daemon has seen for a time. */
  readonly soleSeen: (sinceMs: number) => string | undefined;
}

/**
 * Infers the origin of a stream from a record that was read after the daemon had begun to observe. Undefined unless the record
 * covers all routes and versions that the stream may have had, and the daemon has seen no other version.
 */
export function inferFromRecord(
  { era, rules, services }: VersionRecord,
  { host, path, scope, ...known }: RecordInference,
): StreamOrigin | undefined {
  if (era !== known.era) return undefined;
  const { service } = scope;
  const matching = rules.filter((rule) => rule.host === host && path.startsWith(rule.pathPrefix));
  if (matching.length === 0) return undefined;
  if (matching.some((rule) => rule.services.some((other) => other !== service))) return undefined;
  const sinceMs = Math.max(scope.timeoutMs, ...matching.map(({ timeoutMs }) => timeoutMs));
  const entry = services.find((recorded) => recorded.service === service);
  if (entry === undefined || entry.coveredMs < sinceMs || entry.versions.length !== 1)
    return undefined;
  const softwareVersion = entry.versions[0] ?? undefined;
  const isSole = softwareVersion !== undefined && known.soleSeen(sinceMs) === softwareVersion;
  return isSole ? { service, softwareVersion } : undefined;
}

function nextServices(recorded: readonly RecordedService[], view: VersionView): RecordedService[] {
  const entries = new Map(recorded.map((entry) => [entry.service, entry]));
  const names = new Set([...entries.keys(), ...view.ages.keys()]);
  const coverable = coverableMs(view);
  return [...names].sort().flatMap((service) => {
    const entry = entries.get(service) ?? { service, versions: [], coveredMs: 0 };
    return nextService(entry, view, coverable);
  });
}

/** The longest time of a route for which the daemon can state all versions; 0 if there is none. */
function coverableMs({ maintains, observedMs, rules = [] }: VersionView): number {
  if (!maintains) return 0;
  const knownMs = Math.min(observedMs, MAX_OBSERVED_MS) - VIEW_MARGIN_MS;
  const coverable = rules.filter(({ timeoutMs }) => timeoutMs <= knownMs);
  return coverable.reduce((longestMs, { timeoutMs }) => Math.max(longestMs, timeoutMs), 0);
}

function nextService(
  entry: RecordedService,
  view: VersionView,
  coverable: number,
): RecordedService[] {
  const { service } = entry;
  const coveredMs = Math.max(entry.coveredMs, coverable);
  if (coveredMs === 0) return [];
  const ages = view.ages.get(service) ?? new Map<string | undefined, number>();
  const goneMs = coveredMs + VIEW_MARGIN_MS;
  const mayRemove = canRemove(view, goneMs);
  const kept = entry.versions.filter(
    (version) => !mayRemove || (ages.get(version ?? undefined) ?? Infinity) <= goneMs,
  );
  // Extending the covered time needs all that was seen in it, also by daemons whose lists are later than this one's.
  const seenMs = coveredMs > entry.coveredMs ? goneMs : coveredMs;
  const seen = [...ages].flatMap(([version, ageMs]) => (ageMs <= seenMs ? [version ?? null] : []));
  const versions = [...new Set([...kept, ...seen])].sort(compareVersions);
  return versions.length === 0 ? [] : [{ service, versions, coveredMs }];
}

function mergeRules(recorded: readonly PathRule[], view: VersionView): PathRule[] | undefined {
  if (view.rules === undefined) return undefined;
  const merged = new Map(view.rules.map((rule) => [keyOf(rule), rule]));
  for (const rule of recorded) {
    if (!canRemove(view, rule.timeoutMs + VIEW_MARGIN_MS)) merged.set(keyOf(rule), rule);
  }
  return [...merged].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, rule]) => rule);
}

/** Whether the daemon has observed for so long that what it has not seen in that time is gone, and nobody has recorded it anew. */
function canRemove({ maintains, observedMs, unchangedMs }: VersionView, goneMs: number): boolean {
  return maintains && observedMs >= goneMs && unchangedMs >= goneMs;
}

function keyOf({ host, pathPrefix, services, timeoutMs }: PathRule): string {
  return JSON.stringify([host, pathPrefix, services, timeoutMs]);
}

/** Orders versions by their text, an unknown one first. */
function compareVersions(a: string | null, b: string | null): number {
  const [first, second] = [a ?? '', b ?? ''];
  if (first === second) return 0;
  return first < second ? -1 : 1;
}
