/**
 * Interfaces through which the gateway uses its platform: the operator's configuration,
 * the list of backends, versioned records, and backends that accept orders and requests.
 * An adapter implements them for one platform; the gateway contains no platform-specific names.
 */
import type http from 'node:http';
import type { Result } from 'true-myth';
import type { BackendList } from '../core/backend-presence.js';
import type { RateLimitNotice } from '../core/backend-rate-limits.js';
import type { StorePosition } from '../core/store-position.js';
import type { BackendReport, ModelOrder, OrderFence, OrderOutcome } from '../core/model-order.js';
import type {
  BackendRecord,
  ModelReference,
  ServiceConfiguration,
} from '../core/service-configuration.js';

/** Where a configuration came from: the platform's store or another daemon. */
export type ConfigurationSource = 'store' | 'peer';

/** Receives updates from the platform's directory. */
export interface DirectoryListener {
  /** Called with a configuration that is newer than all earlier ones. */
  onConfiguration(configuration: ServiceConfiguration, source: ConfigurationSource): void;
  /** Called with the current list of all backends. */
  onBackends(list: BackendList): void;
  /**
   * Called when the platform has confirmed that it had no configuration newer than `version` at `askedAt`, the time by the
   * lease clock at which the request was sent. Not called for responses that may be out of date.
   */
  onConfirmed(version: number, askedAt: number): void;
}

/** How quickly changes of the directory must be noticed. */
export type DirectoryReadMode =
  /** Each change immediately, because this daemon sends orders to backends. */
  | 'immediate'
  /** Each change within a fraction of a second, because this daemon forwards changes to others. */
  | 'close'
  /**
   * Like `close`, but only for this daemon. All daemons may be in this mode at the same time, so it sends fewer
   * requests to a failing platform.
   */
  | 'alone'
  /** Reads may be seconds out of date; other daemons forward urgent changes. */
  | 'relaxed';

/** The platform's configuration and list of backends. */
export interface PlatformDirectory {
  /** Reads the configuration and the list of backends and watches both until stopped. */
  start(listener: DirectoryListener): void;
  /** Selects between immediate notification of changes and cheaper reads that may be out of date. */
  setReadMode(attention: DirectoryReadMode): void;
  /** Reads the configuration immediately, because another daemon has a newer one. */
  refreshConfiguration(): void;
  /** Reads the configuration once to confirm that it is current; true if the platform responded. */
  confirmConfiguration(): Promise<boolean>;
  /**
   * Reads all changes of the configuration and the list of backends so far. Resolves once the listener has them; true if the platform
   * responded to both.
   */
  confirmDirectory(): Promise<boolean>;
  /** The newest configuration, in the adapter's own encoding, to send to a peer; undefined if none is known. */
  configurationDocument(): Uint8Array | undefined;
  /**
   * Milliseconds since the platform last responded without delay to reads of both the configuration and the
   * list of backends; infinite while it does not respond, and while reads may be out of date.
   */
  lastReadAgeMs(): number;
  /** Applies a peer's document if it is newer than the known configuration; true if it was. */
  applyConfigurationDocument(document: Uint8Array): boolean;
  stop(): void;
}

/** A record with the revision at which it was read or written. */
export interface StoredRecord {
  readonly name: string;
  readonly value: unknown;
  readonly revision: StorePosition;
}

/** Why a record could not be read or written. */
export type RecordFailure =
  /** The record has changed since it was read. */
  | { readonly type: 'conflict' }
  /** The operation was not carried out. */
  | { readonly type: 'unavailable'; readonly reason: string }
  /** The operation may have been carried out, or may still be. */
  | { readonly type: 'unknown'; readonly reason: string };

/** Kinds of records that the gateway stores. */
export type RecordKind = 'owners' | 'members' | 'limitShares' | 'softwareVersions';

/** Whether a read must return the current state or may return an older one. */
export type ReadFreshness = 'current' | 'late';

/** Durable store of records with revisions. */
export interface RecordStore {
  /**
   * Increases by one each time the store is restored from a backup and loses the writes since that backup. 0 while the store reports
   * no era; undefined before its first response.
   */
  era(): number | undefined;
  /** Returns the record, or undefined if it does not exist. */
  read(kind: RecordKind, name: string): Promise<Result<StoredRecord | undefined, RecordFailure>>;
  /** Lists all records of a kind; a `late` list is cheaper and may be seconds old. */
  list(kind: RecordKind, freshness: ReadFreshness): Promise<Result<StoredRecord[], RecordFailure>>;
  /** Creates the record, or replaces it if it still has the given revision. */
  write(
    kind: RecordKind,
    name: string,
    value: unknown,
    revision: StorePosition | undefined,
  ): Promise<Result<StoredRecord, RecordFailure>>;
  /** Removes the record if it still has the given revision. A removal that the store carries out late leaves a later record alone. */
  remove(kind: RecordKind, name: string, revision: StorePosition): Promise<void>;
}

/** Sends orders to backends. */
export interface BackendControl {
  order(backend: BackendRecord, order: ModelOrder, fence: OrderFence): Promise<OrderOutcome>;
  /** Requests a report; undefined if no valid one was received. */
  report(backend: BackendRecord): Promise<BackendReport | undefined>;
  /**
   * Resolves with whether the backend's process replies in time to a request that takes none of its slots, whatever the reply says, or
   * closes its connection.
   */
  responds(backend: BackendRecord): Promise<boolean>;
}

/** Fields that the gateway reads from the headers of a request. */
export interface RequestHead {
  /** Identifier that the caller gave to this attempt. */
  readonly attemptId: string | undefined;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly model: ModelReference | undefined;
  /** Identifies the prefix of the prompt that this request shares with others. */
  readonly sharedPrompt: string | undefined;
  /** Ids of the parts of the prompt that this request may share with others, in order. */
  readonly promptParts: readonly string[];
  /** The caller resumes a stream after this event. */
  readonly lastEventId: string | undefined;
  /** Attempt id of the caller's earlier request that brought the first event of the resumed stream. */
  readonly resumedAttemptId: string | undefined;
  /** SHA-256 of the caller's key in hexadecimal. */
  readonly keyDigest: string | undefined;
  /** Number of tokens that the request declares: its prompt plus its maximum answer length. */
  readonly tokens: number | undefined;
  /** Expected work in answer tokens; undefined if the headers do not give it. */
  readonly expectedWork: number | undefined;
}

/** Fields that the gateway reads from the headers of a backend's answer. */
export interface AnswerHead {
  readonly attemptId: string | undefined;
  /** Whether the backend has signed the answer. */
  readonly signed: boolean;
  /** Whether the backend states that it has not run the request. */
  readonly notRun: boolean;
  /** Whether another process answered at the backend's address. */
  readonly misdirected: boolean;
  /** Whether the backend states that it is shutting down. */
  readonly leaving: boolean;
  /** Rate limit that the backend states for requests from all daemons together. */
  readonly rateLimit: RateLimitNotice;
  /** Requests per second that the backend can reject for lack of room without falling over; unlimited if it names no number. */
  readonly toleratedRejections: RateLimitNotice;
  /**
   * Backoff in milliseconds that the backend requests from this daemon when it rejects a request; undefined if
   * it requests none.
   */
  readonly backoffMs: number | undefined;
}

/** Fields that the gateway sets on a request to a backend. */
export interface BackendRequestFields {
  readonly backend: string;
  readonly remainingMs: number;
  readonly lastEventId: string | undefined;
  readonly priority: number;
  /** Tenant that owns the caller's key; undefined if no key is required. */
  readonly tenant: string | undefined;
}

/** Names and formats of the headers of requests and answers. */
export interface RequestDialect {
  /** Path of the load balancer's readiness probe. */
  readonly readinessPath: string;
  /** Headers that only the gateway may set, in lower case; removed from callers' requests. */
  readonly systemHeaders: ReadonlySet<string>;
  /** Name of the header with the caller's key, in lower case; not forwarded to backends if keys are required. */
  readonly keyHeader: string;
  /** Authentication challenge sent to a caller without a known key. */
  readonly keyChallenge: string;
  readRequest(headers: http.IncomingHttpHeaders): RequestHead;
  /** Headers that replace the caller's headers of the same name, in lower case. */
  backendHeaders(fields: BackendRequestFields): Readonly<Record<string, string>>;
  readAnswer(status: number, headers: http.IncomingHttpHeaders): AnswerHead;
  /** Headers of answers that the gateway itself produces. */
  ownAnswerHeaders(head: RequestHead): Readonly<Record<string, string>>;
}
