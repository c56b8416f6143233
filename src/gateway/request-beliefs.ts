/** What a daemon decides on for one request, and how old it is, for log lines. */
import type { Service } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * The beliefs behind a decision, as fields of a log line.
 *
 * @param configuration - Version of the configuration that chose the route.
 * @param now - Steady time.
 */
export function beliefsOf(
  context: GatewayContext,
  service: Service,
  configuration: number,
  now: number,
): Record<string, number | undefined> {
  const { directory } = context;
  return {
    configuration,
    backends: directory.servingBackends(service.name).length,
    backendsAgeMs: wholeMs(context.backendsAgeMs()),
    epoch: service.modelHost === undefined ? undefined : directory.epochOf(service.name),
    placementAgeMs: wholeMs(directory.placementAgeMs(service.name, now)),
  };
}

/** Nothing stands for a time that is not known. */
function wholeMs(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
