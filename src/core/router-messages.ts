/** Events that a router handles, and effects that it returns. */
import type { ErrorKind } from '../common/errors.js';
import type { ReplicaLoad, RequestRefusal } from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';
import type { TenantLocation, WakeRequest } from './pool-messages.js';

/** The part of a request that the router needs for its decisions. The I/O layer keeps the prompt. */
export interface RoutedRequest {
  readonly id: string;
  readonly tenant: string;
  /** Lower is more urgent. */
  readonly priority: number;
  /** Unix milliseconds by which the whole answer must have ended. */
  readonly deadline: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Key that must be claimed at a quorum before the request is sent; undefined if the request has none. */
  readonly idempotencyKey: string | undefined;
}

/** A pool that may hold a replica of a tenant. */
export interface PoolRoute {
  readonly pool: string;
  readonly site: string;
  /** Peer address of the pool's owner; empty while the pool has no owner. */
  readonly owner: string;
}

/** A router's read-only view of the configuration. */
export interface RoutingDirectory {
  tenant(name: string): TenantSpec | undefined;
  /** Pools with a share of the tenant's quota, in the order in which to send wakes; the router's own site is first. */
  routes(tenant: string): readonly PoolRoute[];
}

/** An event that a router handles. */
export type RouterEvent =
  | { readonly type: 'arrived'; readonly request: RoutedRequest }
  | {
      readonly type: 'claim_settled';
      readonly id: string;
      readonly outcome: 'granted' | 'taken' | 'unavailable';
    }
  | { readonly type: 'accepted'; readonly id: string; readonly load: ReplicaLoad }
  | { readonly type: 'token'; readonly id: string }
  | { readonly type: 'refused'; readonly id: string; readonly refusal: RequestRefusal }
  /** The connection failed; `sent` is false if no byte of the request was sent. */
  | { readonly type: 'broken'; readonly id: string; readonly sent: boolean }
  | { readonly type: 'cancelled'; readonly id: string; readonly ran: 'no' | 'yes' | 'unknown' }
  | { readonly type: 'done'; readonly id: string }
  | { readonly type: 'deadline'; readonly id: string }
  | { readonly type: 'caller_gone'; readonly id: string }
  | { readonly type: 'location'; readonly from: string; readonly location: TenantLocation }
  | { readonly type: 'engine_leaving'; readonly engine: string }
  | { readonly type: 'configuration_changed' }
  | { readonly type: 'drain' }
  | { readonly type: 'tick' };

/** An effect that the router's process performs. */
export type RouterEffect =
  | { readonly type: 'claim'; readonly request: RoutedRequest }
  | {
      readonly type: 'send';
      readonly id: string;
      readonly engine: string;
      readonly incarnation: string;
    }
  /** Resume the stream after the tokens already received. */
  | {
      readonly type: 'resume';
      readonly id: string;
      readonly engine: string;
      readonly delayMs: number;
    }
  /** Cancel the request at the engine, and report the engine's answer as a `cancelled` event. */
  | {
      readonly type: 'cancel';
      readonly id: string;
      readonly engine: string;
      /** Incarnation that received the request; an answer from another incarnation is no evidence about it. */
      readonly incarnation: string;
    }
  /** Cancel without waiting for an answer, because the caller has its answer or has disconnected. */
  | { readonly type: 'abandon'; readonly id: string; readonly engine: string }
  | {
      readonly type: 'refuse';
      readonly id: string;
      readonly kind: ErrorKind;
      readonly reason: string;
      readonly retryAfterMs?: number;
    }
  | {
      readonly type: 'wake';
      readonly owner: string;
      readonly pool: string;
      readonly wake: WakeRequest;
    };
