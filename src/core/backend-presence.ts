/**
 * Tracks which backends exist, from lists that may be stale, announcements of peers, and a store that
 * may have been unavailable. Store revisions order all of these: the end of a backend overrides every
 * record of it that is not newer. No I/O; times are milliseconds of a monotonic clock.
 */
import murmurhash from 'murmurhash';
import { isDifferentStart, startKey } from './backend-starts.js';
import type { BackendRecord } from './service-configuration.js';

/** All backends as the platform lists them at one revision of its store. */
export interface BackendList {
  readonly backends: readonly BackendRecord[];
  readonly revision: number;
  /**
   * The list may lack running backends: either the store was unavailable a moment ago and they have
   * not registered again yet, or the list is stale.
   */
  readonly mayMissBackends: boolean;
  /** The list is stale: it may show the platform's state of some seconds ago. */
  readonly isLate?: boolean;
  /** How long missing backends may take to register again; {@link MISSING_GRACE_MS} by default and at most. */
  readonly returnWithinMs?: number;
}

/** A backend that is leaving or has ended, as the store showed it at a revision. */
export interface EndedBackend {
  readonly id: string;
  readonly revision: number;
}

/** Changes caused by a list. */
export interface PresenceChanges {
  /** Backends that no longer take new requests. */
  readonly ended: readonly EndedBackend[];
  /** Backends that now take new requests or have restarted under the same id; empty for the first list. */
  readonly started: readonly BackendRecord[];
}

/**
 * A backend that the list lacks after a store outage still counts as running for this long. The platform
 * promises that expired entries are restored within about 2 s, and no request may go to a backend later
 * than about 2 s after it really ended.
 */
const MISSING_GRACE_MS = 1_800;
/** A peer's announcement of a started backend is valid for this long; even stale lists show it within seconds. */
const ANNOUNCEMENT_LIFETIME_MS = 10_000;
/** Maximum number of ended backends whose end revision is kept. */
const MAX_REMEMBERED_ENDS = 2_000;

interface MissingBackend {
  /** Time at which the backend counts as ended unless it is listed again. */
  readonly graceEndsAt: number;
  readonly revision: number;
  /** Only stale lists have lacked it. */
  readonly isFromStaleList: boolean;
}

/** The backends of all services, as known to one daemon. */
export class BackendPresence {
  private records = new Map<string, BackendRecord>();
  /** Backends that were listed before, are missing from the last list, and still count as running. */
  private readonly missing = new Map<string, MissingBackend>();
  /** Backends that a peer announced and that are not listed yet, with the time of the announcement. */
  private readonly announced = new Map<string, number>();
  /** Revision at which each backend ended; the least recently updated entry comes first. */
  private readonly endRevisions = new Map<string, number>();
  private hasList = false;
  /** Cached digest; undefined if something has changed since it was computed. */
  private digest: number | undefined;

  /** Returns the record with an id. */
  get(id: string): BackendRecord | undefined {
    return this.records.get(id);
  }

  /** Returns all known backends, including leaving ones. */
  all(): BackendRecord[] {
    return [...this.records.values()];
  }

  /** Whether a backend takes new requests: it is not leaving and its record is newer than its last known end. */
  isServing(record: BackendRecord): boolean {
    return !record.leaving && (this.endRevisions.get(record.id) ?? -1) < record.revision;
  }

  /**
   * Digest of the ids and process starts of all backends that take new requests, from 0 to 2^32 - 1. It is
   * equal on daemons that know the same set.
   */
  servingDigest(): number {
    this.digest ??= this.all()
      .filter((record) => this.isServing(record))
      .reduce((sum, record) => (sum + murmurhash.v3(startKey(record))) >>> 0, 0);
    return this.digest;
  }

  /** Replaces the platform's list and returns what it changed. */
  applyList(list: BackendList, now: number): PresenceChanges {
    const wasServing = (id: string): boolean => {
      const record = before.get(id);
      return record !== undefined && this.isServing(record);
    };
    const before = this.records;
    this.digest = undefined;
    const listed = list.backends.map((record) => newerOf(before.get(record.id), record));
    this.records = new Map(listed.map((record) => [record.id, record]));
    const leaving = listed.filter(
      ({ id, leaving }) => leaving && (wasServing(id) || !this.endRevisions.has(id)),
    );
    const ended: EndedBackend[] = leaving.map(({ id, revision }) => ({ id, revision }));
    ended.push(...this.reconcileUnlisted(before, list, now));
    const started = listed.filter((record) => {
      const isAnother = isDifferentStart(before.get(record.id), record);
      return this.isServing(record) && (isAnother || !wasServing(record.id));
    });
    const isFirst = !this.hasList;
    this.hasList = true;
    return { ended: ended.filter((end) => this.markEnded(end)), started: isFirst ? [] : started };
  }

  /** Keeps each previously known backend that the list lacks for a grace period, or returns it as ended. */
  private reconcileUnlisted(
    before: ReadonlyMap<string, BackendRecord>,
    list: BackendList,
    now: number,
  ): EndedBackend[] {
    const ended: EndedBackend[] = [];
    for (const [id, record] of before) {
      if (this.records.has(id)) {
        this.missing.delete(id);
        this.announced.delete(id);
        continue;
      }
      if (this.isConfirmedEnded(record, list)) {
        this.missing.delete(id);
        this.announced.delete(id);
        ended.push({ id, revision: list.revision });
        continue;
      }
      this.records.set(id, record);
      // An announcement overrides only lists that are older than it. A newer list without the backend counts as missing it.
      const isNewerThanList = this.announced.has(id) && record.revision > list.revision;
      if (isNewerThanList || this.missing.has(id)) continue;
      this.announced.delete(id);
      const { revision, isLate = false, returnWithinMs = MISSING_GRACE_MS } = list;
      const graceEndsAt = now + Math.min(returnWithinMs, MISSING_GRACE_MS);
      this.missing.set(id, { graceEndsAt, revision, isFromStaleList: isLate });
    }
    return ended;
  }

  /** Whether a list proves that a backend that it lacks has ended. */
  private isConfirmedEnded({ id, revision }: BackendRecord, list: BackendList): boolean {
    if (list.mayMissBackends || list.revision < revision) return false;
    const missing = this.missing.get(id);
    return missing === undefined || missing.isFromStaleList;
  }

  /** Removes backends that were missing, or announced but not listed, for too long. Returns the missing ones that ended. */
  expire(now: number): EndedBackend[] {
    if (this.announced.size + this.missing.size > 0) this.digest = undefined;
    for (const [id, since] of this.announced) {
      if (now - since < ANNOUNCEMENT_LIFETIME_MS) continue;
      this.announced.delete(id);
      this.records.delete(id);
    }
    const ended: EndedBackend[] = [];
    for (const [id, { graceEndsAt, revision }] of this.missing) {
      if (now < graceEndsAt) continue;
      this.missing.delete(id);
      this.records.delete(id);
      if (this.markEnded({ id, revision })) ended.push({ id, revision });
    }
    return ended;
  }

  /** Records that a backend is leaving or has ended as of a revision. Returns false if that was already known. */
  markEnded({ id, revision }: EndedBackend): boolean {
    if ((this.endRevisions.get(id) ?? -1) >= revision) return false;
    this.digest = undefined;
    this.endRevisions.delete(id);
    this.endRevisions.set(id, revision);
    if (this.endRevisions.size > MAX_REMEMBERED_ENDS) {
      const [oldest] = this.endRevisions.keys();
      if (oldest !== undefined) this.endRevisions.delete(oldest);
    }
    return true;
  }

  /** Records a backend that a peer announced and that this daemon's list may not show yet. Returns whether it was new. */
  addAnnounced(record: BackendRecord, now: number): boolean {
    const known = this.records.get(record.id);
    if (known !== undefined && known.revision >= record.revision) return false;
    if (!this.isServing(record)) return false;
    this.digest = undefined;
    if (known === undefined) {
      this.records.set(record.id, record);
      this.announced.set(record.id, now);
      return true;
    }
    this.records.set(record.id, mergeAnnouncement(known, record));
    return true;
  }
}

/** Keeps a stale list from reverting a backend to an older record or to an earlier process. */
function newerOf(known: BackendRecord | undefined, listed: BackendRecord): BackendRecord {
  if (known === undefined) return listed;
  if (known.revision > listed.revision) return withVersionOf(known, listed);
  if (listed.start !== undefined || known.start === undefined) return listed;
  return { ...listed, start: known.start };
}

/** Fills in the software version of a record that lacks it, from another record of the same process. */
function withVersionOf(record: BackendRecord, other: BackendRecord): BackendRecord {
  const { softwareVersion } = other;
  const isFilledIn = record.softwareVersion === undefined && softwareVersion !== undefined;
  return isFilledIn && !isDifferentStart(record, other) ? { ...record, softwareVersion } : record;
}

/** Takes the location from an announcement, but the models from the last list if both are of the same process. */
function mergeAnnouncement(known: BackendRecord, announcement: BackendRecord): BackendRecord {
  if (isDifferentStart(known, announcement)) return announcement;
  const { models, sequence, inMemory, onDisk } = known;
  const start = announcement.start ?? known.start;
  return {
    ...withVersionOf(announcement, known),
    models,
    sequence,
    inMemory,
    onDisk,
    ...(start === undefined ? {} : { start }),
  };
}
