/**
 * Backends that have turned this daemon away and asked for a backoff: nothing is sent to them until its end. Pure; times are milliseconds
 * of a steady clock, which counts less where a machine was suspended: the backoff is then longer, never shorter.
 */
import { readDecimal } from '../common/decimal.js';
import { startKey } from './backend-starts.js';
import type { BackendProcess } from './declared-leavings.js';

/** A backoff that is asked for is kept for no longer at once: one of days is most likely a mistake, and is asked for again. */
const LONGEST_BACKOFF_MS = 3_600_000;

/** The backoffs that one daemon was asked for. */
export class BackendBackoffs {
  /** When backoffs end, by the process that asked: a later one under its id has asked for nothing. */
  private readonly ends = new Map<string, number>();

  /** Notes what a backend asks for; a backoff that ends earlier shortens none. Returns the milliseconds from now. */
  note(backend: BackendProcess, backoffMs: number, now: number): number {
    this.forgetEnded(now);
    const until = now + Math.min(backoffMs, LONGEST_BACKOFF_MS);
    const end = Math.max(until, this.ends.get(startKey(backend)) ?? 0);
    this.ends.set(startKey(backend), end);
    return end - now;
  }

  /** Milliseconds until a backend may be sent to; 0 if it may now. */
  remainingMs(backend: BackendProcess, now: number): number {
    const end = this.ends.get(startKey(backend)) ?? 0;
    return Math.max(0, end - now);
  }

  private forgetEnded(now: number): void {
    for (const [key, end] of this.ends) if (end <= now) this.ends.delete(key);
  }
}

/**
 * Milliseconds of a `Retry-After` header. A date, a negative number and any other text ask for nothing: clocks are not
 * compared, and a guess would keep a sound backend out.
 */
export function readRetryAfter(header: string | undefined): number | undefined {
  const seconds = readDecimal(header ?? '') ?? 0;
  return seconds > 0 ? seconds * 1_000 : undefined;
}
