/** Events and effects of a pool's owner. */
import type {
  EngineOrder,
  EngineReport,
  OrderAnswer,
  OrderFence,
} from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';
import type { RegisteredEngine } from './records.js';

/** What a router asks of an owner. */
export interface WakeRequest {
  readonly router: string;
  readonly tenant: string;
  readonly priority: number;
  /** Unix milliseconds; 0 when nothing waits. */
  readonly deadline: number;
  readonly waiting: number;
  readonly inFlight: number;
}

/** A loaded replica as a router hears of it. */
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

/** A tenant as far as one pool is concerned. */
export interface PooledTenant {
  /** Undefined once the tenant is deleted, until the pool has come down. */
  readonly spec: TenantSpec | undefined;
  /** Replicas that this pool may hold now. */
  readonly allowed: number;
  /** Set while the pool still has to come down to its target and confirm it. */
  readonly shrinkTo?: number;
  /** Version of the quota record that this came from. */
  readonly quotaVersion: number;
}

/** What an owner reacts to. */
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
      readonly answer: OrderAnswer;
    }
  | { readonly type: 'report'; readonly engine: string; readonly report: EngineReport }
  | { readonly type: 'engine_unreachable'; readonly engine: string }
  | { readonly type: 'engine_registered'; readonly engine: RegisteredEngine }
  | { readonly type: 'engine_unregistered'; readonly engine: string }
  | { readonly type: 'engine_listed'; readonly engine: string; readonly leaving: boolean }
  /** The platform's list has not shown the engine for long enough. */
  | { readonly type: 'engine_gone'; readonly engine: string }
  | { readonly type: 'wake'; readonly wake: WakeRequest }
  | { readonly type: 'tick' };

/** What an owner has done for it. */
export type PoolEffect =
  | {
      readonly type: 'send_order';
      readonly engine: string;
      readonly fence: OrderFence;
      readonly order: EngineOrder;
    }
  /** Enter an engine's incarnation into the pool's record. */
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

/** Whether a tenant's waiting requests are to be refused. */
export function isRefusal(location: TenantLocation): boolean {
  return location.state === 'no_capacity' || location.state === 'load_failed';
}
