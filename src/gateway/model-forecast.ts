/** When a model is ready for a request, as the service's owner forecasts it and this daemon's own findings allow. */
import type { ModelReference } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * Milliseconds until a backend that takes requests has the model; undefined if that is not known. A backend that fails, has asked
 * for a backoff or names a rate limit does not count.
 */
export function modelReadyInMs(
  context: GatewayContext,
  service: string,
  model: ModelReference,
  now: number,
): number | undefined {
  return context.directory.readyInMs(service, model, now, (id) => isPassedOver(context, id, now));
}

function isPassedOver(context: GatewayContext, id: string, now: number): boolean {
  const { directory, health, backoffs, permits } = context;
  const backend = directory.get(id);
  if (backend === undefined) return health.isEjected(id, now);
  const isBackingOff = backoffs.remainingMs(backend, now) > 0;
  const isLimited = permits.perSecond(backend) !== undefined;
  return isBackingOff || isLimited || health.isEjected(id, now);
}
