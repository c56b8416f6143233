/**
 * Routes, services and limits of the opaque-request gateway: what operators
 * declare, and the backends that serve it. Types only.
 */

/** What may be done with a request that did not end well. */
export type Repeatability =
  /** May run more than once. */
  | 'repeatable'
  /** Runs at most once. */
  | 'once'
  /** A stream of events that runs at most once. */
  | 'stream_once'
  /** A stream of events that may go on at another backend after its last event. */
  | 'resumable_stream';

/** A service that takes part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** Which requests go to which services, and how they are treated. */
export interface Route {
  readonly name: string;
  /** Value of the request's Host header. */
  readonly host: string;
  /** Beginning of the path; begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly repeatability: Repeatability;
  /** Longest time from arrival to the end of the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the first part of the answer that callers want, in milliseconds. */
  readonly goalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Backends that one request may be sent to. */
  readonly maxAttempts: number;
  /** Longest pause between two events that callers want, in milliseconds. */
  readonly pauseGoalMs: number;
  /** Callers leave when nothing has come for so long, in milliseconds; infinite if they wait for their deadline. */
  readonly patienceMs: number;
  /** Callers need no key, though others do. */
  readonly isPublic: boolean;
}

/** What one request takes from a tenant's limit. */
export type LimitUnit = 'requests' | 'tokens';

/** How much a tenant may ask of all daemons together. */
export interface TenantLimit {
  readonly unit: LimitUnit;
  /** Units a second. */
  readonly perSecond: number;
  /** Units besides, at once. */
  readonly burst: number;
  /** Units that a request takes which names no size. */
  readonly plainCharge: number;
}

/** A group of callers that share keys, a limit and a priority. */
export interface CallerTenant {
  readonly name: string;
  /** SHA-256 of its keys in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Goes before the route's priority; undefined if the tenant has none. */
  readonly priority: number | undefined;
  /** Undefined if there is none. */
  readonly limit: TenantLimit | undefined;
}

/** A model that the backends of a service can load. */
export interface ModelSpec {
  readonly name: string;
  readonly megabytes: number;
  readonly adapters: number;
  readonly adapterMegabytes: number;
  /** Seconds of a load from the weight store. */
  readonly storeLoadSeconds: number;
  /** Seconds of a load from the backend's disk. */
  readonly diskLoadSeconds: number;
  /** Seconds of a load from the backend's host memory. */
  readonly memoryLoadSeconds: number;
}

/** What a backend that runs models can hold. */
export interface ModelHostSpec {
  readonly slots: number;
  /** Tokens that fit into a backend's cache. */
  readonly cacheTokens: number;
  /** Memory for models and adapters together. */
  readonly megabytes: number;
  readonly adapterSlots: number;
  /** Loads that may begin from the weight store, over all backends. */
  readonly loadsPerSecond: number;
  readonly models: readonly ModelSpec[];
}

/** A group of backends that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that a backend accepts from all daemons together. */
  readonly maxConnections: number;
  /** Present if the backends load and unload models. */
  readonly modelHost: ModelHostSpec | undefined;
}

/** Bounds on what callers may send, and on how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface ServiceConfiguration {
  /** Rises with each change, not always by one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Callers need a key of one of these; undefined if they need none. */
  readonly tenants: readonly CallerTenant[] | undefined;
  /** Why parts of the configuration are not in force: a line for the operator each, without keys. */
  readonly problems: readonly string[];
}

/** A model that a backend holds. */
export interface HeldModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** A backend as the platform's directory lists it. */
export interface BackendRecord {
  /** Names the backend; its process may start again under it. */
  readonly id: string;
  /**
   * Differs between two starts of the process under the same id: what is known of one says nothing of the
   * other. Undefined if nobody has told, which is taken for the start that is known.
   */
  readonly start?: string;
  readonly service: string;
  /** "ip:port". */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  /** It is about to end: no new request may go there. */
  readonly leaving: boolean;
  readonly models: readonly HeldModel[];
  /** Revision of the platform's store at which it was last changed. */
  readonly revision: number;
  /** Orders that the backend had taken when it was listed so. */
  readonly sequence: number;
  /** Models with a copy in the backend's host memory. */
  readonly inMemory: readonly string[];
  /** Models with a copy on the backend's disk. */
  readonly onDisk: readonly string[];
}

/** A model, or an adapter of it, that a request needs. */
export interface ModelReference {
  readonly model: string;
  readonly adapter: string | undefined;
}

/** Whether a request on the route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.repeatability === 'repeatable' || route.repeatability === 'resumable_stream';
}

/** Whether the answers on the route are streams of events. */
export function isStream(route: Route): boolean {
  return route.repeatability === 'stream_once' || route.repeatability === 'resumable_stream';
}
