/**
 * Records of requests that were running at backends when these crashed: the request's digest, the backend starts that crashed,
 * and whether the request has been answered since. Merging records is commutative and idempotent, so daemons that exchange
 * their records reach the same state without coordination.
 * Performs no I/O; times are milliseconds of a steady clock.
 */
import murmurhash from 'murmurhash';

/** Number of attributed crashes from which on a request is refused. */
const CONDEMNED_MIN_CRASHES = 3;
/** Number of attributed crashes from which on a request runs beside no other suspect, so that the next crash identifies the cause. */
const SUSPECT_MIN_CRASHES = 2;
/** A record is deleted after this time without a crash, repeat or answer: the caller has stopped, or the backends' software has changed. */
const RETENTION_MS = 600_000;
/** A record without attributed crashes is kept only until the answer has spread to all daemons. */
const ANSWERED_RETENTION_MS = 30_000;
/** Most records kept, those with the most crashes: each crash adds a record for every request at the backend. */
const MAX_RECORDS = 2_048;
/** Most backend starts kept per request. */
const MAX_STARTS_PER_RECORD = 8;

/** A request's record, as daemons exchange it. */
export interface CrashRecord {
  /** Digest that is equal for repeats of the same request, in hexadecimal. */
  readonly digest: string;
  /** Starts of backends that crashed while the request was running there. */
  readonly starts: readonly string[];
  /** Starts whose crashes are no longer attributed to the request, because it was answered later. */
  readonly excused: readonly string[];
  /** Milliseconds since the last crash, repeat or answer. */
  readonly ageMs: number;
}

/** Restriction on sending a request. */
export type CrashVerdict =
  /** Sent without restriction. */
  | 'sound'
  /** Not sent to a backend that runs another suspect. */
  | 'suspect'
  /** Refused. */
  | 'condemned';

interface RecordState {
  starts: readonly string[];
  excused: readonly string[];
  lastSeenAt: number;
}

/** All crash records of one daemon. */
export class CrashRecords {
  /** By digest. */
  private readonly known = new Map<string, RecordState>();
  private cachedStateDigest: number | undefined;
  /** By backend start: the largest number of attributed crashes of any request that ran there. A cache; undefined after a change. */
  private cachedMostCrashes: Map<string, number> | undefined;

  /** Whether there are no records, so that requests need no check. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /** Records a crash of a backend start that was running the request. Returns the record to send to other daemons if it is new. */
  recordCrash(digest: string, start: string, now: number): CrashRecord | undefined {
    return this.merge({ digest, starts: [start], excused: [], ageMs: 0 }, now);
  }

  /** Records that the request was answered, so it did not cause the earlier crashes. Returns the record to send to other daemons if it is new. */
  recordAnswer(digest: string, now: number): CrashRecord | undefined {
    const known = this.known.get(digest);
    if (known === undefined || attributedStarts(known).length === 0) return undefined;
    return this.merge({ digest, starts: [], excused: known.starts, ageMs: 0 }, now);
  }

  /** Records that a caller has repeated the request, which extends the time for which its record is kept. */
  recordRepeat(digest: string, now: number): void {
    const known = this.known.get(digest);
    if (known !== undefined) known.lastSeenAt = now;
  }

  /** Merges records of another daemon. Returns those that contained something new. */
  mergeAll(records: readonly CrashRecord[], now: number): CrashRecord[] {
    const unexpired = records.filter((record) => record.ageMs < RETENTION_MS);
    return unexpired.filter((record) => this.merge(record, now) !== undefined);
  }

  /** Whether any record names the backend start as crashed. */
  hasCrashed(start: string): boolean {
    return [...this.known.values()].some(({ starts }) => starts.includes(start));
  }

  verdict(digest: string): CrashVerdict {
    const crashes = this.attributedCrashes(digest);
    if (crashes >= CONDEMNED_MIN_CRASHES) return 'condemned';
    return crashes >= SUSPECT_MIN_CRASHES ? 'suspect' : 'sound';
  }

  /**
   * Number of crashes attributed to a request. If several requests were running at a crashed backend, the crash is attributed to
   * the one with the most crashes, so that a request that only ran beside the cause is not blamed.
   */
  attributedCrashes(digest: string): number {
    const known = this.known.get(digest);
    if (known === undefined) return 0;
    const attributed = attributedStarts(known);
    if (attributed.length < SUSPECT_MIN_CRASHES) return attributed.length;
    const most = this.mostCrashesByStart();
    return attributed.filter((start) => (most.get(start) ?? 0) <= attributed.length).length;
  }

  /** Digests of the requests that are refused. */
  condemnedDigests(): string[] {
    return [...this.known.keys()].filter((digest) => this.verdict(digest) === 'condemned');
  }

  /** Returns all records, to be sent to other daemons. */
  all(now: number): CrashRecord[] {
    return [...this.known].map(([digest, { starts, excused, lastSeenAt }]) => {
      return { digest, starts, excused, ageMs: Math.round(now - lastSeenAt) };
    });
  }

  /** A hash of all records without their ages, equal at daemons with equal records; 0 without records. */
  stateDigest(): number {
    this.cachedStateDigest ??= [...this.known].reduce((sum, [digest, { starts, excused }]) => {
      return (sum ^ murmurhash.v3(`${digest} ${starts.join()} ${excused.join()}`)) >>> 0;
    }, 0);
    return this.cachedStateDigest;
  }

  /** Deletes records that have expired. */
  deleteExpired(now: number): void {
    for (const [digest, known] of this.known) {
      const hasAttributedCrashes = attributedStarts(known).length > 0;
      if (now - known.lastSeenAt < (hasAttributedCrashes ? RETENTION_MS : ANSWERED_RETENTION_MS))
        continue;
      this.known.delete(digest);
      this.invalidateCaches();
    }
  }

  private mostCrashesByStart(): ReadonlyMap<string, number> {
    if (this.cachedMostCrashes !== undefined) return this.cachedMostCrashes;
    const most = new Map<string, number>();
    for (const known of this.known.values()) {
      const held = attributedStarts(known);
      for (const start of held) most.set(start, Math.max(most.get(start) ?? 0, held.length));
    }
    this.cachedMostCrashes = most;
    return most;
  }

  private invalidateCaches(): void {
    this.cachedStateDigest = undefined;
    this.cachedMostCrashes = undefined;
  }

  /** Merges a record; returns it if it contained something new. */
  private merge(record: CrashRecord, now: number): CrashRecord | undefined {
    const { digest } = record;
    const known = this.known.get(digest) ?? { starts: [], excused: [], lastSeenAt: -Infinity };
    const starts = union(known.starts, [...record.starts, ...record.excused]);
    const excused = union(known.excused, record.excused);
    // A record without a crash would bypass the limit on records and use unbounded memory.
    if (starts.length === 0) return undefined;
    const isNew = starts.length > known.starts.length || excused.join() !== known.excused.join();
    const lastSeenAt = Math.max(known.lastSeenAt, now - record.ageMs);
    this.known.set(digest, { starts, excused, lastSeenAt });
    if (!isNew) return undefined;
    this.invalidateCaches();
    this.evictExcess();
    return record;
  }

  /** Evicts the record with the fewest crashes; among equal ones, the record that was updated the longest time ago. */
  private evictExcess(): void {
    if (this.known.size <= MAX_RECORDS) return;
    let least: { digest: string; crashes: number; lastSeenAt: number } | undefined;
    for (const [digest, known] of this.known) {
      const candidate = {
        digest,
        crashes: attributedStarts(known).length,
        lastSeenAt: known.lastSeenAt,
      };
      if (least === undefined || isEvictedBefore(candidate, least)) least = candidate;
    }
    if (least !== undefined) this.known.delete(least.digest);
  }
}

type Candidate = { readonly crashes: number; readonly lastSeenAt: number };

function isEvictedBefore(one: Candidate, other: Candidate): boolean {
  if (one.crashes !== other.crashes) return one.crashes < other.crashes;
  return one.lastSeenAt < other.lastSeenAt;
}

function attributedStarts({ starts, excused }: RecordState): string[] {
  return starts.filter((start) => !excused.includes(start));
}

/** Sorted and truncated to `MAX_STARTS_PER_RECORD`, so that all daemons keep the same starts. */
function union(one: readonly string[], other: readonly string[]): string[] {
  return [...new Set([...one, ...other])].sort().slice(0, MAX_STARTS_PER_RECORD);
}
