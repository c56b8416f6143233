/** What the end of an attempt shows about its backend. */
import { isDifferentStart } from '../core/backend-starts.js';
import type { BackendRecord, ModelReference } from '../core/service-configuration.js';
import type { AttemptEnd } from './attempt.js';
import type { GatewayContext } from './gateway-context.js';
import { steadyNow } from './steady-clock.js';
import type { TriedBackends } from './tried-backends.js';

type HealthContext = Pick<GatewayContext, 'health' | 'directory' | 'paths'>;

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly backend: BackendRecord;
  /** Peer address of the daemon that relayed it; undefined for a direct attempt. */
  readonly relay: string | undefined;
  readonly model: ModelReference | undefined;
  readonly end: AttemptEnd;
}

/** Returns whether the backend itself has failed the request. A timeout may be caused by the network. */
export function hasBackendFailed(context: HealthContext, { backend, end }: EndedAttempt): boolean {
  if (end.type === 'done' || !end.reached || end.unresponsive || end.lacksModel) return false;
  return !isDifferentStart(backend, context.directory.get(backend.id));
}

/** Updates the health of the backend, and records at `tried` if it has refused the request or could not be reached. */
export function recordBackendHealth(
  context: HealthContext,
  attempt: EndedAttempt,
  tried: Pick<TriedBackends, 'recordRefusal'>,
): void {
  const { health, directory } = context;
  const { backend, model, end } = attempt;
  // The result of a request at an earlier process says nothing about the current process.
  if (isDifferentStart(backend, directory.get(backend.id))) return;
  if (end.type === 'done') return health.recordSuccess(backend.id);
  if (isFailureOfPath(context, attempt)) return;
  if (end.ran === 'no') tried.recordRefusal(backend.id, steadyNow());
  if (end.relayFailure === 'backend_unavailable') return;
  if (end.lacksModel && model !== undefined) {
    return directory.markModelMissing(backend.id, model, steadyNow());
  }
  if (end.unresponsive) health.recordNoResponse(backend.id, steadyNow());
  else if (end.closedBeforeAnswer) health.recordDisconnect(backend.id, steadyNow());
  else health.recordFailure(backend.id);
}

/** Whether only the path to the backend failed, while another path exists. */
function isFailureOfPath({ paths }: HealthContext, { backend, relay, end }: EndedAttempt): boolean {
  if (end.type === 'done') return false;
  if (relay === undefined) return end.unresponsive && paths.isRelayed(backend.address);
  return end.connectionLost && end.relayFailure === undefined;
}
