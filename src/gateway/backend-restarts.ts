/**
 * Clears the state that a daemon holds about a backend's earlier process when the backend restarts under the
 * same id.
 */
import type { BackendRestart } from '../core/backend-starts.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * Clears the health record, closes the idle connections and notifies the requests in flight of the earlier
 * process.
 */
export function clearEarlierStart(context: GatewayContext, restart: BackendRestart): void {
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
