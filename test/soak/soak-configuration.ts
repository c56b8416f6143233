/** The operator's configuration of a soak, as the platform publishes it. */
import { HOST } from './caller.js';
import { tenantsOf } from './soak-tenants.js';

/** A configuration with routes of all kinds, and one plain route for each probed version. */
export function configurationOf(
  version: number,
  modelNames: readonly string[],
  probed: readonly number[],
): Record<string, unknown> {
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
    ...probed.map((number) => {
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
