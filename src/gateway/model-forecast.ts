/**
 * Forecast of when a model is ready for a request, from the service owner's forecast and this daemon's view of
 * the backends.
 */
import type { BackendRecord, ModelReference } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * Returns the milliseconds until a backend that accepts requests has the model; undefined if unknown. Backends
 * that are ejected, have requested a backoff, have announced a rate limit or do not fit the request are ignored.
 */
export function modelReadyInMs(
  context: GatewayContext,
  service: string,
  model: ModelReference,
  now: number,
  fits: (backend: BackendRecord) => boolean,
): number | undefined {
  const { directory } = context;
  const isUnfit = (id: string): boolean => {
    const backend = directory.get(id);
    return backend !== undefined && !fits(backend);
  };
  return directory.readyInMs(
    service,
    model,
    now,
    (id) => isIgnored(context, id, now) || isUnfit(id),
  );
}

function isIgnored(context: GatewayContext, id: string, now: number): boolean {
  const { directory, health, backoffs, permits } = context;
  const backend = directory.get(id);
  if (backend === undefined) return health.isEjected(id, now);
  const isBackingOff = backoffs.remainingMs(backend, now) > 0;
  const isLimited = permits.perSecond(backend) !== undefined;
  return isBackingOff || isLimited || health.isEjected(id, now);
}
