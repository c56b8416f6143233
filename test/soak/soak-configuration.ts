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

/** Builds a configuration with routes of all kinds, and a plain route for each of the latest versions. */
export function configurationOf(
  version: number,
  modelNames: readonly string[],
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
    routes: named,
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
