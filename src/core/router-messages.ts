/** Events and effects of a router. */
import type { ErrorKind } from '../common/errors.js';
import type { ReplicaLoad, RequestRefusal } from '../engines/engine-client.js';
import type { TenantSpec } from './documents.js';
import type { TenantLocation, WakeRequest } from './pool-messages.js';

/** A request as the router decides on it. The prompt stays with the I/O around it. */
export interface RoutedRequest {
  readonly id: string;
  readonly tenant: string;
  /** Lower is more urgent. */
  readonly priority: number;
  /** Unix milliseconds by which the whole answer must have ended. */
  readonly deadline: number;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Claimed at a quorum before the request is sent. */
  readonly idempotencyKey: string | undefined;
}

/** A pool that may hold a tenant, in the order in which it is to be woken. */
export interface PoolRoute {
  readonly pool: string;
  readonly site: string;
  /** Peer address of the owner; empty while there is none. */
  readonly owner: string;
}

/** The configuration as a router reads it. Looking up changes nothing. */
export interface RoutingDirectory {
  tenant(name: string): TenantSpec | undefined;
  /** Pools with a part of the tenant's quota, this router's own site first. */
  routes(tenant: string): readonly PoolRoute[];
}

/** What a router reacts to. */
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
  /** The connection failed; `sent` is false if no byte of the request left. */
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

/** What a router has done for it. */
export type RouterEffect =
  | { readonly type: 'claim'; readonly request: RoutedRequest }
  | {
      readonly type: 'send';
      readonly id: string;
      readonly engine: string;
      readonly incarnation: string;
    }
  /** Take the stream up again, from the tokens already received. */
  | {
      readonly type: 'resume';
      readonly id: string;
      readonly engine: string;
      readonly delayMs: number;
    }
  /** Cancel, and report what the engine says as `cancelled`. */
  | {
      readonly type: 'cancel';
      readonly id: string;
      readonly engine: string;
      /** An answer of another incarnation says nothing of the request. */
      readonly incarnation: string;
    }
  /** Cancel without waiting: the caller has its answer, or has gone. */
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
