/**
 * Records of requests, and of shared parts of their prompts, that were running at backends when these crashed: the digest, the
 * backend starts that crashed, and whether it has been answered since. Merging records is commutative and idempotent, so daemons that exchange
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
/**
 * The same for a part of prompts, whose repeats do not extend it: many callers share a part, and if it was blamed in error, no answer
 * would clear it.
 */
const PART_RETENTION_MS = 180_000;
/** A record without attributed crashes is kept only until the answer has spread to all daemons. */
const ANSWERED_RETENTION_MS = 30_000;
/** Most records kept, those with the most crashes: each crash adds a record for every request at the backend. */
const MAX_RECORDS = 2_048;
/** Most backend starts kept per request. */
const MAX_STARTS_PER_RECORD = 8;

/** The record of a request or of a part of a prompt, as daemons exchange it. */
export interface CrashRecord {
  /** Digest that is equal for repeats of the same request, or for all requests with the part, in hexadecimal. */
  readonly digest: string;
  /** 0 for a request; for a part of a prompt its position, from 1. */
  readonly depth: number;
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
  depth: number;
  starts: readonly string[];
  excused: readonly string[];
  lastSeenAt: number;
}

const NO_RECORD: Readonly<RecordState> = {
  depth: 0,
  starts: [],
  excused: [],
  lastSeenAt: -Infinity,
};

/** How strongly a record is suspected of a crash. */
interface Suspicion {
  readonly crashes: number;
  readonly depth: number;
}

/** All crash records of one daemon. */
export class CrashRecords {
  /** By digest. */
  private readonly known = new Map<string, RecordState>();
  private cachedStateDigest: number | undefined;
  /** By backend start: the strongest suspicion against anything that ran there. A cache; undefined after a change. */
  private cachedStrongest: Map<string, Suspicion> | undefined;

  /** Whether there are no records, so that requests need no check. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /**
   * Records a crash of a backend start that was running the request, or one with the part. Returns the record to send to other
   * daemons if it is new.
   */
  recordCrash(digest: string, start: string, now: number, depth = 0): CrashRecord | undefined {
    return this.merge({ digest, depth, starts: [start], excused: [], ageMs: 0 }, now);
  }

  /** Records that the request was answered, so it did not cause the earlier crashes. Returns the record to send to other daemons if it is new. */
  recordAnswer(digest: string, now: number): CrashRecord | undefined {
    const known = this.known.get(digest);
    if (known === undefined || attributedStarts(known).length === 0) return undefined;
    const { depth, starts } = known;
    return this.merge({ digest, depth, starts: [], excused: starts, ageMs: 0 }, now);
  }

  /** Records that a caller has repeated the request, which extends the time for which its record is kept. */
  recordRepeat(digest: string, now: number): void {
    const known = this.known.get(digest);
    if (known?.depth === 0) known.lastSeenAt = now;
  }

  /** Merges records of another daemon. Returns those that contained something new. */
  mergeAll(records: readonly CrashRecord[], now: number): CrashRecord[] {
    const unexpired = records.filter((record) => record.ageMs < retentionMs(record));
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
   * Number of crashes attributed to a request or part. Of all that were running at a crashed backend, the crash is attributed to
   * the record with the most crashes, so that what only ran beside the cause is not blamed. Between equal numbers a request
   * takes precedence over parts, because no other request is known to crash backends, and a later part over an earlier one,
   * which more requests share.
   */
  attributedCrashes(digest: string): number {
    const known = this.known.get(digest);
    if (known === undefined) return 0;
    const attributed = attributedStarts(known);
    if (attributed.length < SUSPECT_MIN_CRASHES) return attributed.length;
    const own = { crashes: attributed.length, depth: known.depth };
    const strongest = this.strongestByStart();
    return attributed.filter((start) => !isStronger(strongest.get(start), own)).length;
  }

  /** Position of a part of prompts, from 1; 0 for a request. */
  depthOf(digest: string): number {
    return this.known.get(digest)?.depth ?? 0;
  }

  /** Digests of the requests and parts that are refused. */
  condemnedDigests(): string[] {
    return [...this.known.keys()].filter((digest) => this.verdict(digest) === 'condemned');
  }

  /** Returns all records, to be sent to other daemons. */
  all(now: number): CrashRecord[] {
    return [...this.known].map(([digest, { depth, starts, excused, lastSeenAt }]) => {
      return { digest, depth, starts, excused, ageMs: Math.round(now - lastSeenAt) };
    });
  }

  /** A hash of all records without their ages, equal at daemons with equal records; 0 without records. */
  stateDigest(): number {
    this.cachedStateDigest ??= [...this.known].reduce((sum, [digest, record]) => {
      const { depth, starts, excused } = record;
      // Earlier builds have no depth. Records of requests hash as theirs.
      const position = depth === 0 ? '' : ` ${depth}`;
      const text = `${digest} ${starts.join()} ${excused.join()}${position}`;
      return (sum ^ murmurhash.v3(text)) >>> 0;
    }, 0);
    return this.cachedStateDigest;
  }

  /** Deletes records that have expired. */
  deleteExpired(now: number): void {
    for (const [digest, known] of this.known) {
      const hasAttributedCrashes = attributedStarts(known).length > 0;
      const keptMs = hasAttributedCrashes ? retentionMs(known) : ANSWERED_RETENTION_MS;
      if (now - known.lastSeenAt < keptMs) continue;
      this.known.delete(digest);
      this.invalidateCaches();
    }
  }

  private strongestByStart(): ReadonlyMap<string, Suspicion> {
    if (this.cachedStrongest !== undefined) return this.cachedStrongest;
    const strongest = new Map<string, Suspicion>();
    for (const known of this.known.values()) {
      const held = attributedStarts(known);
      const own = { crashes: held.length, depth: known.depth };
      for (const start of held) {
        const other = strongest.get(start);
        if (other === undefined || isStronger(own, other)) strongest.set(start, own);
      }
    }
    this.cachedStrongest = strongest;
    return strongest;
  }

  private invalidateCaches(): void {
    this.cachedStateDigest = undefined;
    this.cachedStrongest = undefined;
  }

  /** Merges a record; returns it if it contained something new. */
  private merge(record: CrashRecord, now: number): CrashRecord | undefined {
    const { digest } = record;
    const known = this.known.get(digest) ?? NO_RECORD;
    const depth = Math.max(known.depth, record.depth);
    const starts = union(known.starts, [...record.starts, ...record.excused]);
    const excused = union(known.excused, record.excused);
    // A record without a crash would bypass the limit on records and use unbounded memory.
    if (record.starts.length + record.excused.length === 0) return undefined;
    const isNew =
      starts.length > known.starts.length ||
      excused.join() !== known.excused.join() ||
      depth > known.depth;
    const lastSeenAt = Math.max(known.lastSeenAt, now - record.ageMs);
    this.known.set(digest, { depth, starts, excused, lastSeenAt });
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

/** Time for which a record with attributed crashes is kept, in milliseconds. */
function retentionMs({ depth }: Pick<CrashRecord, 'depth'>): number {
  return depth === 0 ? RETENTION_MS : PART_RETENTION_MS;
}

/** Whether one suspicion takes precedence over another. */
function isStronger(one: Suspicion | undefined, other: Suspicion): boolean {
  if (one === undefined) return false;
  if (one.crashes !== other.crashes) return one.crashes > other.crashes;
  if (one.depth === 0 || other.depth === 0) return one.depth === 0 && other.depth !== 0;
  return one.depth > other.depth;
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
