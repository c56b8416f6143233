/** Parses the record of the software versions in service, as the platform's store returns it. */
import type { PathRule } from '../core/route-history.js';
import { MAX_OBSERVED_MS } from '../core/service-versions.js';
import type { RecordedService, VersionRecord } from '../core/version-record.js';

/** Parses a stored record; undefined if it is invalid. */
export function parseVersionRecord(value: unknown): VersionRecord | undefined {
  if (!isObject(value)) return undefined;
  const { era, sightings } = value;
  const rules = parseAll(value.rules, parseRule);
  const services = parseAll(value.services, parseService);
  if (!isCount(era) || !isCount(sightings)) return undefined;
  if (rules === undefined || services === undefined) return undefined;
  return { era, sightings, rules, services };
}

function parseRule(value: unknown): PathRule | undefined {
  if (!isObject(value)) return undefined;
  const { host, pathPrefix, timeoutMs } = value;
  const services = parseAll(value.services, (name) =>
    typeof name === 'string' ? name : undefined,
  );
  if (typeof host !== 'string' || typeof pathPrefix !== 'string') return undefined;
  if (!isCount(timeoutMs) || services === undefined) return undefined;
  return { host, pathPrefix, services, timeoutMs };
}

function parseService(value: unknown): RecordedService | undefined {
  if (!isObject(value)) return undefined;
  const { service, coveredMs, versions } = value;
  const isVersion = (version: unknown): version is string | null =>
    version === null || typeof version === 'string';
  if (typeof service !== 'string' || !isCount(coveredMs)) return undefined;
  if (coveredMs > MAX_OBSERVED_MS) return undefined;
  if (!Array.isArray(versions) || !versions.every(isVersion)) return undefined;
  return { service, versions, coveredMs };
}

/** Parses all items of a list; undefined if it is no list, or one of them is invalid. */
function parseAll<Item>(
  value: unknown,
  parse: (item: unknown) => Item | undefined,
): Item[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const items = value.map(parse).filter((item) => item !== undefined);
  return items.length === value.length ? items : undefined;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
