/** What a daemon forgets of a backend that has ended and started again under its id. */
import type { BackendRestart } from '../core/backend-starts.js';
import type { GatewayContext } from './gateway-context.js';

/** Drops the health, the kept connections and the requests in flight of the earlier start. */
export function forgetEarlierStart(context: GatewayContext, restart: BackendRestart): void {
  const { backend, earlierStart, earlierAddress } = restart;
  const { id, start, revision, address } = backend;
  const inFlight = context.tracker.inFlightAt(id);
  context.metrics.backendRestarts.inc();
  context.logger.info('backend_restarted', {
    backend: id,
    start,
    earlierStart,
    revision,
    address,
    earlierAddress,
    inFlight,
  });
  context.health.forget(id);
  context.agent.dropIdle(earlierAddress);
  for (const exchange of [...context.exchanges]) exchange.backendRestarted(backend);
}
