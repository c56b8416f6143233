/** Builds the operator's configuration of a soak test in the format that the platform publishes. */
import { HOST } from './caller.js';
import { tenantsOf } from './soak-tenants.js';

/** Number of latest versions whose own routes a configuration keeps: enough for a series of quick changes. */
const RETAINED_VERSION_ROUTES = 8;

/** Returns the first version whose configuration no longer has the route of the given version. */
export function firstVersionWithoutRoute(version: number): number {
  return version + RETAINED_VERSION_ROUTES;
}

/** Returns the newest version whose route the given version no longer has; below 1 if there is none. */
export function newestVersionWithoutRoute(version: number): number {
  return version - RETAINED_VERSION_ROUTES;
}

/** Number of routes that no caller uses, with which a configuration is about as large as the store takes (1 MB). */
const UNUSED_ROUTES = 5_500;
/** Hosts over which these are spread. */
const UNUSED_HOSTS = 50;
/** As long as streams may run at most, in milliseconds. */
const UNUSED_TIMEOUT_MS = 25_000;
/** One version in this many changes all of these routes; the others change one. */
const FULL_CHANGE_PERIOD = 8;

/** Returns many routes that no caller uses, some of which each version changes. */
function unusedRoutesOf(version: number): object[] {
  const fullChanges = Math.floor(version / FULL_CHANGE_PERIOD);
  return Array.from({ length: UNUSED_ROUTES }, (_, index) => ({
    name: `unused-${index}`,
    host: `unused-${index % UNUSED_HOSTS}.test`,
    pathPrefix: `/unit${index}/`,
    kind: 'idempotent',
    timeoutMs: UNUSED_TIMEOUT_MS - fullChanges - (index === version ? 1 : 0),
    goalMs: 2_500,
    priority: 3,
    service: 'plain',
    maxAttempts: 2,
  }));
}

/**
 * Builds a configuration with routes of all kinds, and a plain route for each of the latest versions.
 *
 * @param isLarge - Whether it has so many further routes that it is about as large as the store takes.
 */
export function configurationOf(
  version: number,
  modelNames: readonly string[],
  isLarge = false,
): Record<string, unknown> {
  const oldest = Math.max(1, newestVersionWithoutRoute(version) + 1);
  const versions = Array.from({ length: version - oldest + 1 }, (_, index) => oldest + index);
  const models = modelNames.map((name) => {
    const times = { loadS: 0.25, diskS: 0.25, warmS: 0.25 };
    return { name, weightsMb: 50, adapters: 0, adapterMb: 0, ...times };
  });
  const engine = { slots: 6, weightsMb: 100, adapterSlots: 0, loadsPerS: 20, models };
  const stream = { kind: 'streaming', goalMs: 600, gapGoalMs: 300, timeoutMs: 6_000 };
  const plain = { goalMs: 200, timeoutMs: 1_500, service: 'plain' };
  const routes = [
    { ...stream, pathPrefix: '/models/s/', service: 'models', resumable: true, maxAttempts: 2 },
    { ...stream, pathPrefix: '/models/o/', service: 'models', maxAttempts: 1 },
    { ...plain, pathPrefix: '/plain/once/', kind: 'non_idempotent', maxAttempts: 1 },
    { ...plain, pathPrefix: '/plain/any/', kind: 'idempotent', maxAttempts: 2 },
    ...versions.map((number) => {
      return { ...plain, pathPrefix: `/plain/v${number}/`, kind: 'idempotent', maxAttempts: 2 };
    }),
  ];
  const named = routes.map((route, index) => ({
    name: `r${index}`,
    host: HOST,
    priority: 1,
    ...route,
  }));
  return {
    version,
    routes: isLarge ? [...named, ...unusedRoutesOf(version)] : named,
    services: [
      { name: 'models', maxConns: 200, engine },
      { name: 'plain', maxConns: 200 },
    ],
    tenants: tenantsOf(version),
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 10_000,
    },
  };
}
