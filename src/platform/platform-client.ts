/**
 * Interface of the platform: an object API with versions and watches, and an
 * eventually consistent list of machines. `http-platform-client.ts` implements
 * it over the published protocol.
 */
import type { Result } from 'true-myth';
import type { ServiceError } from '../common/errors.js';

/** Kinds of objects that scaleslip stores. */
export type ObjectKind = 'template' | 'tenant' | 'quota' | 'pool';

/** One object at one version. */
export interface StoredObject {
  readonly kind: ObjectKind;
  readonly name: string;
  /** The store's revision at the object's last change. */
  readonly version: number;
  readonly value: unknown;
}

/** All objects at one revision of the store. */
export interface ObjectList {
  readonly revision: number;
  readonly items: readonly StoredObject[];
}

/** One change reported by a watch; without `change`, a heartbeat at `revision`. */
export interface WatchEvent {
  readonly revision: number;
  readonly change?: {
    readonly kind: ObjectKind;
    readonly name: string;
    /** Undefined when the object was deleted. */
    readonly value: unknown;
  };
}

/** Receives the events of a watch. */
export interface WatchHandler {
  onEvent(event: WatchEvent): void;
  /** The connection failed, or the requested revision is too old to be replayed. */
  onEnd(reason: 'broken' | 'too_old'): void;
}

/** A running watch. */
export interface Watch {
  close(): void;
}

/** Kind of service on a machine. */
export type MachineKind = 'engine' | 'daemon';

/** One entry of the platform's machine list. */
export interface Machine {
  /** "ip:port" of the service on the machine. */
  readonly address: string;
  readonly kind: MachineKind;
  readonly zone: string;
  readonly site: string;
  /** Pool of an engine; empty for a daemon. */
  readonly pool: string;
  readonly state: 'live' | 'leaving';
}

/** The machine list at one version. */
export interface MachineList {
  readonly version: number;
  readonly machines: readonly Machine[];
}

/** A write that only takes effect if the object is still at `expectedVersion` (0: absent). */
export interface ConditionalWrite {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly expectedVersion: number;
  /** Undefined deletes the object. */
  readonly value: unknown;
}

/**
 * Client of the platform.
 *
 * Errors: `version_conflict` (with the newer version), `not_found`,
 * `platform_unavailable` (the call had no effect), `platform_outcome_unknown` (a
 * write may have taken effect although no reply came).
 */
export interface PlatformClient {
  get(kind: ObjectKind, name: string): Promise<Result<StoredObject, ServiceError>>;
  list(): Promise<Result<ObjectList, ServiceError>>;
  /** Writes once without retries. Resolves with the new version. */
  write(write: ConditionalWrite): Promise<Result<number, ServiceError>>;
  watch(afterRevision: number, handler: WatchHandler): Watch;
  machines(): Promise<Result<MachineList, ServiceError>>;
  close(): void;
}

/** Name of an object in relay messages, for example "tenant/till". */
export function objectKey(kind: ObjectKind, name: string): string {
  return `${kind}/${name}`;
}
