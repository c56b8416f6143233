/**
 * What the gateway needs from outside: the operator's configuration, the list of
 * backends, records with versions, and backends that take orders and requests.
 * An adapter implements these for one platform; the gateway knows no other names.
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

/** Who told this daemon of a configuration. */
export type ConfigurationSource = 'store' | 'peer';

/** Hears what the platform's directory says. */
export interface DirectoryListener {
  /** A configuration that is newer than all before. */
  onConfiguration(configuration: ServiceConfiguration, source: ConfigurationSource): void;
  /** All backends as they are listed now. */
  onBackends(list: BackendList): void;
  /**
   * The platform had no configuration newer than `version` at `askedAt`, the time of the lease clock at which
   * it was asked. Its answers that may be late confirm nothing.
   */
  onConfirmed(version: number, askedAt: number): void;
}

/** How closely the directory is followed. */
export type DirectoryAttention =
  /** Each change at once: this daemon gives orders. */
  | 'immediate'
  /** Each change within a fraction of a second: this daemon tells others. */
  | 'close'
  /** The same for this daemon alone; all may be alone at once, so it calls a platform in trouble less often. */
  | 'alone'
  /** Readings may be late by seconds; others tell what must be known at once. */
  | 'relaxed';

/** The platform's configuration and list of backends. */
export interface PlatformDirectory {
  /** Reads both and follows their changes until stopped. */
  start(listener: DirectoryListener): void;
  /** Chooses between changes at once and cheaper readings that may be late. */
  setAttention(attention: DirectoryAttention): void;
  /** Reads the configuration at once: somebody knows a newer one. */
  refreshConfiguration(): void;
  /** Reads the configuration once, to confirm it; true if the platform has answered. */
  confirmConfiguration(): Promise<boolean>;
  /** The newest configuration for a peer, in the adapter's own form; undefined if none is known. */
  configurationDocument(): Uint8Array | undefined;
  /**
   * Milliseconds since the platform last answered readings without delay, of both; infinite while it
   * does not answer, and where readings may be late.
   */
  readingAgeMs(): number;
  /** Takes a peer's document if it is newer than what is known; true if it was. */
  takeConfigurationDocument(document: Uint8Array): boolean;
  stop(): void;
}

/** A record and the revision at which it was read or written. */
export interface StoredRecord {
  readonly name: string;
  readonly value: unknown;
  readonly revision: StorePosition;
}

/** Why a record could not be read or written. */
export type RecordFailure =
  /** It has changed since it was read. */
  | { readonly type: 'conflict' }
  /** Nothing was done. */
  | { readonly type: 'unavailable'; readonly reason: string }
  /** It may have been done, now or later. */
  | { readonly type: 'unknown'; readonly reason: string };

/** Kinds of records that the gateway keeps. */
export type RecordKind = 'owners' | 'members' | 'limitShares';

/** How new a reading must be. */
export type ReadFreshness = 'current' | 'late';

/** Records with revisions; what must last lives here. */
export interface RecordStore {
  /**
   * Rises by one each time the store comes back from a copy and has lost what was written since. 0 while it names none; undefined
   * before its first answer.
   */
  era(): number | undefined;
  /** Undefined if there is none. */
  read(kind: RecordKind, name: string): Promise<Result<StoredRecord | undefined, RecordFailure>>;
  /** All records of a kind; late ones are cheaper, and may be seconds old. */
  list(kind: RecordKind, freshness: ReadFreshness): Promise<Result<StoredRecord[], RecordFailure>>;
  /** Creates the record, or replaces exactly the given revision. */
  write(
    kind: RecordKind,
    name: string,
    value: unknown,
    revision: StorePosition | undefined,
  ): Promise<Result<StoredRecord, RecordFailure>>;
  remove(kind: RecordKind, name: string): Promise<void>;
}

/** Gives orders to backends. */
export interface BackendControl {
  order(backend: BackendRecord, order: ModelOrder, fence: OrderFence): Promise<OrderOutcome>;
  /** Undefined if no understandable report came. */
  report(backend: BackendRecord): Promise<BackendReport | undefined>;
}

/** What the gateway reads from a request's head. */
export interface RequestHead {
  /** The caller's name for this attempt. */
  readonly attemptId: string | undefined;
  /** Milliseconds that the caller will wait. */
  readonly deadlineMs: number | undefined;
  readonly model: ModelReference | undefined;
  /** Names the beginning of the prompt that other requests share. */
  readonly sharedPrompt: string | undefined;
  /** The caller takes a stream up after this event. */
  readonly lastEventId: string | undefined;
  /** SHA-256 of the caller's key in hexadecimal. */
  readonly keyDigest: string | undefined;
  /** Tokens that the request names: of its prompt, and of the longest answer. */
  readonly tokens: number | undefined;
  /** Expected work in tokens of an answer; undefined if the head does not tell. */
  readonly expectedWork: number | undefined;
}

/** What the gateway reads from the head of a backend's answer. */
export interface AnswerHead {
  readonly attemptId: string | undefined;
  /** The backend vouches for the answer. */
  readonly signed: boolean;
  /** The backend says that it has not run the request. */
  readonly notRun: boolean;
  /** Another process has the backend's address. */
  readonly misdirected: boolean;
  /** The process that answers says that it leaves. */
  readonly leaving: boolean;
  /** The limit that the backend names for requests from all daemons. */
  readonly rateLimit: RateLimitNotice;
  /** It turns the request away, and wants none of this daemon for so many milliseconds; undefined if it asks for nothing. */
  readonly backoffMs: number | undefined;
}

/** Fields that the gateway sets on a request to a backend. */
export interface BackendRequestFields {
  readonly backend: string;
  readonly remainingMs: number;
  readonly lastEventId: string | undefined;
  readonly priority: number;
  /** Whose key the caller has; undefined if it needs none. */
  readonly tenant: string | undefined;
}

/** How heads of requests and answers are spelled. */
export interface RequestDialect {
  /** Path at which the entry asks whether new connections are wanted. */
  readonly readinessPath: string;
  /** Headers that only the gateway may set; names in lower case. Those of callers are taken off. */
  readonly systemHeaders: ReadonlySet<string>;
  /** Header with the caller's key, in lower case: not passed on where callers need one. */
  readonly keyHeader: string;
  /** What a caller without a known key is told to send. */
  readonly keyChallenge: string;
  readRequest(headers: http.IncomingHttpHeaders): RequestHead;
  /** Headers that replace those of the caller; names in lower case. */
  backendHeaders(fields: BackendRequestFields): Readonly<Record<string, string>>;
  readAnswer(status: number, headers: http.IncomingHttpHeaders): AnswerHead;
  /** Headers of the gateway's own answers. */
  ownAnswerHeaders(head: RequestHead): Readonly<Record<string, string>>;
}
