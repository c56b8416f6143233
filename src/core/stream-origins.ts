/**
 * Records at which software version streams have begun, so that they can be resumed at the same version. Bounded in time and
 * number. No I/O; times are milliseconds of a monotonic clock.
 */

/** The service and software version at which a stream has begun. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** A recorded origin. */
export interface KnownOrigin {
  readonly origin: StreamOrigin;
  /** Time since the stream began or was last resumed, in milliseconds. */
  readonly ageMs: number;
  /** Time until the record expires, in milliseconds. */
  readonly remainingMs: number;
}

/** Maximum number of records. The oldest are deleted first. */
const MAX_STREAMS = 20_000;
/** Maximum lifetime of a record, in milliseconds. */
const MAX_LIFETIME_MS = 600_000;

interface Entry {
  /** Undefined if two different origins were recorded under the same key. */
  readonly origin: StreamOrigin | undefined;
  readonly recordedAt: number;
  readonly expiresAt: number;
}

/** Origins of streams, by a key that identifies the stream and its caller. */
export class StreamOrigins {
  /** Oldest first. */
  private readonly entries = new Map<string, Entry>();

  /** Number of records. */
  get size(): number {
    return this.entries.size;
  }

  /** Records the origin of a stream. If a different origin was recorded before, the origin becomes unknown. */
  record(stream: string, origin: StreamOrigin, lifetimeMs: number, now: number): void {
    const known = this.entries.get(stream);
    const isAmbiguous = known !== undefined && !isSameOrigin(known.origin, origin);
    const expiresAt = now + Math.min(lifetimeMs, MAX_LIFETIME_MS);
    this.entries.delete(stream);
    this.entries.set(stream, {
      origin: isAmbiguous ? undefined : origin,
      recordedAt: now,
      expiresAt: Math.max(expiresAt, known?.expiresAt ?? 0),
    });
    this.removeOldest();
  }

  /** Returns the origin of a stream; undefined if it is unknown. */
  find(stream: string, now: number): KnownOrigin | undefined {
    const entry = this.entries.get(stream);
    if (entry?.origin === undefined || entry.expiresAt <= now) return undefined;
    const { origin, recordedAt, expiresAt } = entry;
    return { origin, ageMs: now - recordedAt, remainingMs: expiresAt - now };
  }

  /** Deletes expired records. */
  deleteExpired(now: number): void {
    for (const [stream, { expiresAt }] of this.entries) {
      if (expiresAt <= now) this.entries.delete(stream);
    }
  }

  private removeOldest(): void {
    if (this.entries.size <= MAX_STREAMS) return;
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }
}

function isSameOrigin(one: StreamOrigin | undefined, other: StreamOrigin): boolean {
  return one?.service === other.service && one.softwareVersion === other.softwareVersion;
}
