/** The status report for operators: the state of the system as known to one daemon. */
import type { MemberView } from '../core/membership-messages.js';
import type { Directory } from './directory.js';
import type { PoolOwnerProcess } from './pool-owner-process.js';
import type { RequestService } from './request-service.js';

/** A tenant in the status report. */
export interface TenantStatus {
  readonly name: string;
  /** Maximum number of replicas in the tenant's document. */
  readonly decided: number;
  /** Number of replicas granted to pools. */
  readonly granted: number;
  /** Number of loaded replicas in the pools that this daemon owns. */
  readonly loaded: number;
  /** Number of replicas ordered or loading in the pools that this daemon owns. */
  readonly loading: number;
  /** Number of requests waiting at all routers, as known to the pool owners at this daemon. */
  readonly waiting: number;
  /** Number of the tenant's requests in flight at this router. */
  readonly inFlightHere: number;
}

/** A pool in the status report. */
export interface PoolStatus {
  readonly pool: string;
  readonly zone: string;
  readonly owner: string;
  readonly epoch: number;
  readonly engines: number;
}

/** The status report. */
export interface StatusReport {
  readonly daemon: string;
  readonly ready: boolean;
  readonly configurationRevision: number;
  readonly members: readonly MemberView[];
  readonly pools: readonly PoolStatus[];
  readonly tenants: readonly TenantStatus[];
}

/** Data sources of the status report. */
export interface StatusSources {
  readonly daemon: string;
  readonly ready: boolean;
  readonly configurationRevision: number;
  readonly members: readonly MemberView[];
  readonly directory: Directory;
  readonly owners: readonly PoolOwnerProcess[];
  readonly requests: RequestService;
  readonly now: number;
}

/** Builds the status report. */
export function buildStatusReport(sources: StatusSources): StatusReport {
  const { daemon, ready, configurationRevision, members, directory } = sources;
  const pools = directory.pools().map((record): PoolStatus => ({
    pool: record.pool,
    zone: record.zone,
    owner: record.owner,
    epoch: record.epoch,
    engines: record.engines.length,
  }));
  const tenants = directory.names('tenant').map((name) => tenantStatus(name, sources));
  return { daemon, ready, configurationRevision, members, pools, tenants };
}

function tenantStatus(name: string, sources: StatusSources): TenantStatus {
  let loaded = 0;
  let loading = 0;
  let waiting = 0;
  for (const owner of sources.owners) {
    waiting += owner.state.waiting(name, sources.now);
    for (const engine of owner.state.engines.values()) {
      const state = engine.replicas.get(name)?.state;
      if (state === 'loaded') loaded += 1;
      else if (state === 'ordered' || state === 'loading') loading += 1;
    }
  }
  const decided = sources.directory.tenant(name)?.maxReplicas ?? 0;
  const shares = sources.directory.quota(name)?.shares ?? [];
  const granted = shares.reduce((sum, share) => sum + share.granted, 0);
  const inFlightHere = sources.requests.state.route(name)?.inFlight ?? 0;
  return { name, decided, granted, loaded, loading, waiting, inFlightHere };
}
