/**
 * Which backends exist, from lists that may be late, news of peers, and a store that
 * may have been away. Revisions of the store order it all: an end holds for every
 * record that is not newer than it. Pure; times are milliseconds of a steady clock.
 */
import murmurhash from 'murmurhash';
import { isAnotherStart, startKey } from './backend-starts.js';
import type { BackendRecord } from './service-configuration.js';

/** All backends as the platform lists them at one revision of its store. */
export interface BackendList {
  readonly backends: readonly BackendRecord[];
  readonly revision: number;
  /**
   * Backends may be missing that are there: the store was away a moment ago, and they
   * have not entered themselves again; or the list is a late one.
   */
  readonly mayMissBackends: boolean;
  /** It is what the platform held up to some seconds ago. */
  readonly isLate?: boolean;
  /** Backends that are missing may enter themselves again for so long; {@link MISSING_HOLD_MS} by default. */
  readonly returnWithinMs?: number;
}

/** A backend that is leaving or gone, as the store showed it at a revision. */
export interface EndedBackend {
  readonly id: string;
  readonly revision: number;
}

/** What a list has changed. */
export interface PresenceChanges {
  /** Backends that take no new requests any more. */
  readonly ended: readonly EndedBackend[];
  /** Backends that do since this list, or have started again under their id; none for the first list. */
  readonly started: readonly BackendRecord[];
}

/**
 * A backend that the list misses after a loss of the store counts as there for so long:
 * the platform promises entries that lapsed back within about 2 s, and requests must end
 * within as much after the true end of a backend.
 */
const MISSING_HOLD_MS = 1_800;
/** A peer's word that a backend has started counts so long; late lists follow within seconds. */
const ANNOUNCEMENT_LIFETIME_MS = 10_000;
/** Ends that are remembered. */
const REMEMBERED_ENDS = 2_000;

interface MissingBackend {
  /** When it counts as ended unless it is back. */
  readonly heldUntil: number;
  readonly revision: number;
  /** Only late lists have missed it. */
  readonly isLateWord: boolean;
}

/** The backends of all services at one daemon. */
export class BackendPresence {
  private records = new Map<string, BackendRecord>();
  /** Listed before, missing from the last list, and counted as there for a while. */
  private readonly missing = new Map<string, MissingBackend>();
  /** Told by a peer and not listed yet, with the time. */
  private readonly announced = new Map<string, number>();
  /** The revisions at which backends had ended, the oldest first. */
  private readonly ends = new Map<string, number>();
  private hasList = false;
  /** Undefined if something has changed since it was worked out. */
  private digest: number | undefined;

  /** The record of an id. */
  get(id: string): BackendRecord | undefined {
    return this.records.get(id);
  }

  /** All backends that are there, leaving ones among them. */
  all(): BackendRecord[] {
    return [...this.records.values()];
  }

  /** Whether a backend takes new requests. */
  isServing(record: BackendRecord): boolean {
    return !record.leaving && (this.ends.get(record.id) ?? -1) < record.revision;
  }

  /**
   * A digest of the ids and starts of all backends that take new requests, from 0 to 2^32 - 1: daemons that
   * hold the same ones have the same digest.
   */
  servingDigest(): number {
    this.digest ??= this.all()
      .filter((record) => this.isServing(record))
      .reduce((sum, record) => (sum + murmurhash.v3(startKey(record))) >>> 0, 0);
    return this.digest;
  }

  /** Replaces the platform's list. */
  take(list: BackendList, now: number): PresenceChanges {
    const wasServing = (id: string): boolean => {
      const record = before.get(id);
      return record !== undefined && this.isServing(record);
    };
    const before = this.records;
    this.digest = undefined;
    const listed = list.backends.map((record) => newerOf(before.get(record.id), record));
    this.records = new Map(listed.map((record) => [record.id, record]));
    const leaving = listed.filter(
      ({ id, leaving }) => leaving && (wasServing(id) || !this.ends.has(id)),
    );
    const ended: EndedBackend[] = leaving.map(({ id, revision }) => ({ id, revision }));
    ended.push(...this.compare(before, list, now));
    const started = listed.filter((record) => {
      const isAnother = isAnotherStart(before.get(record.id), record);
      return this.isServing(record) && (isAnother || !wasServing(record.id));
    });
    const isFirst = !this.hasList;
    this.hasList = true;
    return { ended: ended.filter((end) => this.noteEnded(end)), started: isFirst ? [] : started };
  }

  /** Backends of before that are not listed: kept for a while, or ended. */
  private compare(
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
      if (this.isSurelyGone(record, list)) {
        this.missing.delete(id);
        this.announced.delete(id);
        ended.push({ id, revision: list.revision });
        continue;
      }
      this.records.set(id, record);
      // A word of a peer outlives only lists from before it: one that knows of the backend and lacks it is news.
      const isAhead = this.announced.has(id) && record.revision > list.revision;
      if (isAhead || this.missing.has(id)) continue;
      this.announced.delete(id);
      const { revision, isLate = false, returnWithinMs = MISSING_HOLD_MS } = list;
      const heldUntil = now + Math.min(returnWithinMs, MISSING_HOLD_MS);
      this.missing.set(id, { heldUntil, revision, isLateWord: isLate });
    }
    return ended;
  }

  /** Whether a backend has ended that a list lacks. */
  private isSurelyGone({ id, revision }: BackendRecord, list: BackendList): boolean {
    if (list.mayMissBackends || list.revision < revision) return false;
    const missing = this.missing.get(id);
    return missing === undefined || missing.isLateWord;
  }

  /** Lets go of what was missing, or only announced, for too long; returns what has ended by that. */
  expire(now: number): EndedBackend[] {
    if (this.announced.size + this.missing.size > 0) this.digest = undefined;
    for (const [id, since] of this.announced) {
      if (now - since < ANNOUNCEMENT_LIFETIME_MS) continue;
      this.announced.delete(id);
      this.records.delete(id);
    }
    const ended: EndedBackend[] = [];
    for (const [id, { heldUntil, revision }] of this.missing) {
      if (now < heldUntil) continue;
      this.missing.delete(id);
      this.records.delete(id);
      if (this.noteEnded({ id, revision })) ended.push({ id, revision });
    }
    return ended;
  }

  /** A backend is leaving or gone as of a revision. Returns false if that was known. */
  noteEnded({ id, revision }: EndedBackend): boolean {
    if ((this.ends.get(id) ?? -1) >= revision) return false;
    this.digest = undefined;
    this.ends.delete(id);
    this.ends.set(id, revision);
    if (this.ends.size > REMEMBERED_ENDS) {
      const [oldest] = this.ends.keys();
      if (oldest !== undefined) this.ends.delete(oldest);
    }
    return true;
  }

  /** A peer has seen a backend that this daemon's list does not show yet. Returns whether that was news. */
  noteStarted(record: BackendRecord, now: number): boolean {
    const known = this.records.get(record.id);
    if (known !== undefined && known.revision >= record.revision) return false;
    if (!this.isServing(record)) return false;
    this.digest = undefined;
    if (known === undefined) {
      this.records.set(record.id, record);
      this.announced.set(record.id, now);
      return true;
    }
    this.records.set(record.id, afterNews(known, record));
    return true;
  }
}

/** A list that is late must not take a backend back to what it was before newer news, or to an earlier start. */
function newerOf(known: BackendRecord | undefined, listed: BackendRecord): BackendRecord {
  if (known === undefined) return listed;
  if (known.revision > listed.revision) return known;
  if (listed.start !== undefined || known.start === undefined) return listed;
  return { ...listed, start: known.start };
}

/** News say where a backend is; what it holds is as the list has told it last, if that was of the same start. */
function afterNews(known: BackendRecord, news: BackendRecord): BackendRecord {
  if (isAnotherStart(known, news)) return news;
  const { models, sequence, inMemory, onDisk } = known;
  const start = news.start ?? known.start;
  return { ...news, models, sequence, inMemory, onDisk, ...(start === undefined ? {} : { start }) };
}
