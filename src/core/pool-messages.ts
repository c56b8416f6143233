/** Events that a pool's owner handles, and effects that it returns. */
import type {
  EngineOrder,
  EngineReport,
  OrderReply,
  OrderFence,
} from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';
import type { RegisteredEngine } from './records.js';

/** A router's request to an owner to load a tenant or keep it loaded. */
export interface WakeRequest {
  readonly router: string;
  readonly tenant: string;
  readonly priority: number;
  /** Unix milliseconds; 0 when no request waits. */
  readonly deadline: number;
  readonly waiting: number;
  readonly inFlight: number;
}

/** A loaded replica in a location message to a router. */
export interface LocatedReplica {
  readonly engine: string;
  readonly incarnation: string;
  readonly share: number;
}

/** State of a tenant in a pool. */
export type TenantLocationState =
  'cold' | 'loading' | 'loaded' | 'no_capacity' | 'load_failed' | 'not_owner';

/** Where a tenant runs in a pool. */
export interface TenantLocation {
  readonly pool: string;
  readonly epoch: number;
  readonly version: number;
  readonly tenant: string;
  readonly state: TenantLocationState;
  readonly replicas: readonly LocatedReplica[];
  readonly readyInMs: number;
  readonly retryAfterMs: number;
  readonly routers: number;
}

/** A tenant's settings and quota in one pool. */
export interface PooledTenant {
  /** Undefined once the tenant is deleted, until the pool has unloaded its replicas. */
  readonly spec: TenantSpec | undefined;
  /** Maximum number of replicas that this pool may hold now. */
  readonly replicaLimit: number;
  /** Target replica count; set until the pool has shrunk to it and confirmed that. */
  readonly shrinkTarget?: number;
  /** Version of the quota record that these values come from. */
  readonly quotaVersion: number;
}

/** An event that an owner handles. */
export type PoolEvent =
  | {
      readonly type: 'tenant_changed';
      readonly name: string;
      readonly tenant: PooledTenant | undefined;
    }
  | {
      readonly type: 'order_answered';
      readonly engine: string;
      readonly fence: OrderFence;
      readonly answer: OrderReply;
    }
  | { readonly type: 'report'; readonly engine: string; readonly report: EngineReport }
  | { readonly type: 'engine_unreachable'; readonly engine: string }
  | { readonly type: 'engine_registered'; readonly engine: RegisteredEngine }
  | { readonly type: 'engine_unregistered'; readonly engine: string }
  | { readonly type: 'engine_listed'; readonly engine: string; readonly leaving: boolean }
  /** The engine has been missing from the platform's list for longer than the timeout. */
  | { readonly type: 'engine_gone'; readonly engine: string }
  | { readonly type: 'wake'; readonly wake: WakeRequest }
  | { readonly type: 'tick' };

/** An effect that the owner's process performs. */
export type PoolEffect =
  | {
      readonly type: 'send_order';
      readonly engine: string;
      readonly fence: OrderFence;
      readonly order: EngineOrder;
    }
  /** Write an engine's incarnation to the pool's record. */
  | { readonly type: 'register_engine'; readonly engine: RegisteredEngine }
  | { readonly type: 'unregister_engine'; readonly engine: string }
  | { readonly type: 'push_location'; readonly router: string; readonly location: TenantLocation }
  | {
      readonly type: 'acknowledge_shrink';
      readonly tenant: string;
      readonly quotaVersion: number;
    }
  /** A newer owner has sealed an engine. */
  | { readonly type: 'ownership_lost'; readonly reason: string }
  | {
      readonly type: 'load_finished';
      readonly tenant: string;
      readonly tier: string;
      readonly milliseconds: number;
    };

/** Whether routers should refuse the requests that wait for the tenant. */
export function isRefusal(location: TenantLocation): boolean {
  return location.state === 'no_capacity' || location.state === 'load_failed';
}
