/** Log lines about one caller's request. */
import type { LogFields } from '../common/logger.js';
import type { Route } from '../core/service-configuration.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';

/** Writes a line that names the request, its caller's tenant, its route and its model. */
export type RequestLog = (event: string, fields: LogFields) => void;

/**
 * Returns the log of one request.
 * @param tenant - Returns the name of the caller's tenant; undefined while it is not known, or if the route needs no key.
 */
export function requestLog(
  { logger }: Pick<GatewayContext, 'logger'>,
  route: Route,
  head: RequestHead,
  tenant: () => string | undefined,
): RequestLog {
  return (event, fields) =>
    logger.info(event, {
      request: head.attemptId,
      tenant: tenant(),
      route: route.name,
      model: head.model?.model,
      adapter: head.model?.adapter,
      ...fields,
    });
}
