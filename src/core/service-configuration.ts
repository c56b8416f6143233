/**
 * Configuration types of the opaque-request gateway (routes, services and limits,
 * as operators declare them) and types of the backends that serve it.
 */

/** Whether and how a failed request may be retried. */
export type Repeatability =
  /** May run more than once. */
  | 'repeatable'
  /** Must run at most once. */
  | 'once'
  /** An event stream that must run at most once. */
  | 'stream_once'
  /** An event stream that another backend may continue after the last event sent. */
  | 'resumable_stream';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** Selects requests by host and path, and sets their services and treatment. */
export interface Route {
  readonly name: string;
  /** Value of the request's Host header. */
  readonly host: string;
  /** Prefix of the path; begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Maximum time from the request's arrival to the end of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time to the first part of the response, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backends to which one request is sent. */
  readonly maxAttempts: number;
  /** Target for the longest pause between two events, in milliseconds. */
  readonly pauseGoalMs: number;
  /** Time without data after which callers disconnect, in milliseconds; infinite if they wait until their deadline. */
  readonly callerTimeoutMs: number;
  /** Whether callers of this route need no key, even if tenants are configured. */
  readonly isPublic: boolean;
}

/** Unit in which a tenant's limit counts requests. */
export type LimitUnit = 'requests' | 'tokens';

/** Rate limit of a tenant over all daemons together. */
export interface TenantLimit {
  readonly unit: LimitUnit;
  /** Units a second. */
  readonly perSecond: number;
  /** Units that may be used at once in excess of the rate. */
  readonly burst: number;
  /** Units charged for a request that does not state its size. */
  readonly defaultCharge: number;
}

/** A group of callers that share keys, a limit and a priority. */
export interface CallerTenant {
  readonly name: string;
  /** SHA-256 digests of the tenant's keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Overrides the route's priority; undefined if the tenant has none. */
  readonly priority: number | undefined;
  /** Undefined if the tenant has no limit. */
  readonly limit: TenantLimit | undefined;
}

/** A model that the backends of a service can load. */
export interface ModelSpec {
  readonly name: string;
  readonly megabytes: number;
  readonly adapters: number;
  readonly adapterMegabytes: number;
  /** Duration of a load from the weight store, in seconds. */
  readonly storeLoadSeconds: number;
  /** Duration of a load from the backend's disk, in seconds. */
  readonly diskLoadSeconds: number;
  /** Duration of a load from the backend's host memory, in seconds. */
  readonly memoryLoadSeconds: number;
}

/** Capacity of a backend that runs models. */
export interface ModelHostSpec {
  readonly slots: number;
  /** Capacity of a backend's cache, in tokens. */
  readonly cacheTokens: number;
  /** Memory for models and adapters together, in megabytes. */
  readonly megabytes: number;
  readonly adapterSlots: number;
  /** Rate limit for starting loads from the weight store, over all backends. */
  readonly loadsPerSecond: number;
  readonly models: readonly ModelSpec[];
}

/** A group of backends that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Maximum connections that a backend accepts from all daemons together. */
  readonly maxConnections: number;
  /** Present if the backends load and unload models. */
  readonly modelHost: ModelHostSpec | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface ServiceConfiguration {
  /** Increases with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Tenants whose keys callers need; undefined if callers need no key. */
  readonly tenants: readonly CallerTenant[] | undefined;
  /** Reasons why parts of the configuration are not in force: one line each for the operator, without keys. */
  readonly problems: readonly string[];
}

/** A model that a backend has loaded. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** A backend, as listed in the platform's directory. */
export interface BackendRecord {
  /** Identifies the backend. A restarted process may have the same id. */
  readonly id: string;
  /**
   * Differs between two starts of the process under the same id; state known about one start does not apply to
   * another. Undefined if unknown, which counts as the start that is already known.
   */
  readonly start?: string;
  /**
   * Version of the backend's own software, not of its models. Events that two versions write must not be joined into one stream.
   * Undefined if unknown, which equals no version.
   */
  readonly softwareVersion?: string;
  readonly service: string;
  /** "ip:port". */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  /** Whether the backend is shutting down and must get no new requests. */
  readonly leaving: boolean;
  readonly models: readonly HeldModel[];
  /** Revision of the platform's store at which the record last changed. */
  readonly revision: number;
  /** Number of orders that the backend had accepted when this record was written. */
  readonly sequence: number;
  /** Models with a copy in the backend's host memory. */
  readonly inMemory: readonly string[];
  /** Models with a copy on the backend's disk. */
  readonly onDisk: readonly string[];
}

/** The model that a request needs, optionally with an adapter. */
export interface ModelReference {
  readonly model: string;
  readonly adapter: string | undefined;
}

/** Whether a request on the route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.repeatability === 'repeatable' || route.repeatability === 'resumable_stream';
}

/** Whether responses on the route are event streams. */
export function isStream(route: Route): boolean {
  return route.repeatability === 'stream_once' || route.repeatability === 'resumable_stream';
}
