/**
 * What is known of requests that were running at backends when these crashed: which request, at which starts of
 * backends, and whether it has been answered since. The union of what any daemons have noted is the same in whatever order, and
 * however often, it is told, so daemons agree without asking one another first.
 * Pure; times are milliseconds of a steady clock.
 */
import murmurhash from 'murmurhash';

/** From so many crashes on that are held against it a request is refused. */
const CONDEMNED_FROM = 3;
/** From so many on it runs beside no other such request: what crashes next tells which of them it was. */
const SUSPECT_FROM = 2;
/** After so long without a crash, a repeat or an answer a request is forgotten: its caller has stopped, or the backends' software has changed. */
const REMEMBERED_MS = 600_000;
/** One that has been answered since its last crash is remembered only until all daemons have heard of the answer. */
const ANSWERED_REMEMBERED_MS = 30_000;
/** Requests that are remembered, those with the most crashes: each crash adds all that ran at the backend. */
const MOST_REQUESTS = 2_048;
/** Starts of backends that are remembered of one request. */
const MOST_STARTS = 8;

/** What one daemon tells another of one request. */
export interface CrashRecord {
  /** Digest of what makes the request the same one when it comes again, in hexadecimal. */
  readonly digest: string;
  /** Starts of backends that have crashed while it was there. */
  readonly starts: readonly string[];
  /** Those of them that it was answered after: they are held against it no more. */
  readonly excused: readonly string[];
  /** Milliseconds since it was last heard of. */
  readonly ageMs: number;
}

/** How a request may be sent. */
export type CrashVerdict =
  /** As any other. */
  | 'sound'
  /** Not beside another suspect. */
  | 'suspect'
  /** Not at all. */
  | 'condemned';

interface Known {
  starts: readonly string[];
  excused: readonly string[];
  heardAt: number;
}

/** All requests that one daemon knows to have met crashes. */
export class CrashRecords {
  /** By digest. */
  private readonly known = new Map<string, Known>();
  private fingerprint: number | undefined;
  /** The most crashes that a request has met of those that were at a start; undefined if something has changed. */
  private mostByStart: Map<string, number> | undefined;

  /** Whether nothing is known: no request needs a look then. */
  get isEmpty(): boolean {
    return this.known.size === 0;
  }

  /** A backend's start has crashed while the request was there. Returns what others should be told, if it is new. */
  noteCrash(digest: string, start: string, now: number): CrashRecord | undefined {
    return this.merge({ digest, starts: [start], excused: [], ageMs: 0 }, now);
  }

  /** The request has been answered: what it met before was not its doing. */
  noteAnswer(digest: string, now: number): CrashRecord | undefined {
    const known = this.known.get(digest);
    if (known === undefined || heldAgainst(known).length === 0) return undefined;
    return this.merge({ digest, starts: [], excused: known.starts, ageMs: 0 }, now);
  }

  /** It has come again: a caller that goes on is remembered for longer. */
  noteRepeat(digest: string, now: number): void {
    const known = this.known.get(digest);
    if (known !== undefined) known.heardAt = now;
  }

  /** Takes in what another daemon knows; returns what of it was new here. */
  hear(records: readonly CrashRecord[], now: number): CrashRecord[] {
    const news = records.filter((record) => record.ageMs < REMEMBERED_MS);
    return news.filter((record) => this.merge(record, now) !== undefined);
  }

  /** Whether a start of a backend is known to have crashed. */
  hasCrashed(start: string): boolean {
    return [...this.known.values()].some(({ starts }) => starts.includes(start));
  }

  verdict(digest: string): CrashVerdict {
    const crashes = this.crashesOf(digest);
    if (crashes >= CONDEMNED_FROM) return 'condemned';
    return crashes >= SUSPECT_FROM ? 'suspect' : 'sound';
  }

  /**
   * Crashes that are held against a request: one that ran beside another that has met more crashes is held against that other
   * one, so what merely ran beside is not taken for the cause.
   */
  crashesOf(digest: string): number {
    const known = this.known.get(digest);
    if (known === undefined) return 0;
    const own = heldAgainst(known);
    if (own.length < SUSPECT_FROM) return own.length;
    const most = this.mostCrashes();
    return own.filter((start) => (most.get(start) ?? 0) <= own.length).length;
  }

  /** Requests that are refused. */
  condemned(): string[] {
    return [...this.known.keys()].filter((digest) => this.verdict(digest) === 'condemned');
  }

  /** All that others may lack. */
  all(now: number): CrashRecord[] {
    return [...this.known].map(([digest, { starts, excused, heardAt }]) => {
      return { digest, starts, excused, ageMs: Math.round(now - heardAt) };
    });
  }

  /** The same at daemons that know the same, whatever the age of it; 0 if nothing is known. */
  stateDigest(): number {
    this.fingerprint ??= [...this.known].reduce((sum, [digest, { starts, excused }]) => {
      return (sum ^ murmurhash.v3(`${digest} ${starts.join()} ${excused.join()}`)) >>> 0;
    }, 0);
    return this.fingerprint;
  }

  /** Drops what was not heard of for long. */
  forgetOld(now: number): void {
    for (const [digest, known] of this.known) {
      const isHeld = heldAgainst(known).length > 0;
      if (now - known.heardAt < (isHeld ? REMEMBERED_MS : ANSWERED_REMEMBERED_MS)) continue;
      this.known.delete(digest);
      this.changed();
    }
  }

  private mostCrashes(): ReadonlyMap<string, number> {
    if (this.mostByStart !== undefined) return this.mostByStart;
    const most = new Map<string, number>();
    for (const known of this.known.values()) {
      const held = heldAgainst(known);
      for (const start of held) most.set(start, Math.max(most.get(start) ?? 0, held.length));
    }
    this.mostByStart = most;
    return most;
  }

  private changed(): void {
    this.fingerprint = undefined;
    this.mostByStart = undefined;
  }

  /** Returns the record if it holds anything new. */
  private merge(record: CrashRecord, now: number): CrashRecord | undefined {
    const { digest } = record;
    const known = this.known.get(digest) ?? { starts: [], excused: [], heardAt: -Infinity };
    const starts = union(known.starts, [...record.starts, ...record.excused]);
    const excused = union(known.excused, record.excused);
    // A record without a crash would take memory that no bound counts.
    if (starts.length === 0) return undefined;
    const isNew = starts.length > known.starts.length || excused.join() !== known.excused.join();
    const heardAt = Math.max(known.heardAt, now - record.ageMs);
    this.known.set(digest, { starts, excused, heardAt });
    if (!isNew) return undefined;
    this.changed();
    this.makeRoom();
    return record;
  }

  /** Those with the fewest crashes go first, then those that were heard of longest ago. */
  private makeRoom(): void {
    if (this.known.size <= MOST_REQUESTS) return;
    let least: { digest: string; crashes: number; heardAt: number } | undefined;
    for (const [digest, known] of this.known) {
      const candidate = { digest, crashes: heldAgainst(known).length, heardAt: known.heardAt };
      if (least === undefined || goesBefore(candidate, least)) least = candidate;
    }
    if (least !== undefined) this.known.delete(least.digest);
  }
}

type Candidate = { readonly crashes: number; readonly heardAt: number };

function goesBefore(one: Candidate, other: Candidate): boolean {
  if (one.crashes !== other.crashes) return one.crashes < other.crashes;
  return one.heardAt < other.heardAt;
}

function heldAgainst({ starts, excused }: Known): string[] {
  return starts.filter((start) => !excused.includes(start));
}

/** In order and no longer than what is kept, so that all daemons keep the same ones. */
function union(one: readonly string[], other: readonly string[]): string[] {
  return [...new Set([...one, ...other])].sort().slice(0, MOST_STARTS);
}
