/**
 * Backoffs that backends requested when they refused a request; the daemon sends nothing to a backend until its backoff
 * ends. Pure; times are milliseconds of a monotonic clock. That clock may stop while a machine is suspended, which makes
 * a backoff longer, never shorter.
 */
import { readDecimal } from '../common/decimal.js';
import { startKey } from './backend-starts.js';
import type { BackendProcess } from './announced-shutdowns.js';

/** Maximum backoff per refusal. A backoff of days is most likely a mistake; if not, the backend requests it again. */
const MAX_BACKOFF_MS = 3_600_000;

/** The backoffs that backends requested of one daemon. */
export class BackendBackoffs {
  /** End time of each backoff by backend process; a later process with the same id has no backoff. */
  private readonly ends = new Map<string, number>();

  /** Records a requested backoff; it never shortens a running one. Returns the remaining milliseconds. */
  recordBackoff(backend: BackendProcess, backoffMs: number, now: number): number {
    this.removeExpired(now);
    const until = now + Math.min(backoffMs, MAX_BACKOFF_MS);
    const end = Math.max(until, this.ends.get(startKey(backend)) ?? 0);
    this.ends.set(startKey(backend), end);
    return end - now;
  }

  /** Milliseconds until requests may be sent to the backend; 0 if they may be sent now. */
  remainingMs(backend: BackendProcess, now: number): number {
    const end = this.ends.get(startKey(backend)) ?? 0;
    return Math.max(0, end - now);
  }

  private removeExpired(now: number): void {
    for (const [key, end] of this.ends) if (end <= now) this.ends.delete(key);
  }
}

/**
 * Reads a `Retry-After` header as milliseconds. A date, a negative number and any other text yield undefined: clocks of
 * two machines are not compared, and a guess could exclude a healthy backend.
 */
export function readRetryAfter(header: string | undefined): number | undefined {
  const seconds = readDecimal(header ?? '') ?? 0;
  return seconds > 0 ? seconds * 1_000 : undefined;
}
