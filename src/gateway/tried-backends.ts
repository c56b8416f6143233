/** What one request has learned about backends from its own attempts. Shared by all searches of the request. */

/** Time for which a backend that refused the request, or could not be reached, is not tried again. */
const REFUSED_RETRY_MS = 250;

/** The backends that one request has tried, by id; times are milliseconds of a monotonic clock. */
export class TriedBackends {
  private readonly sent = new Set<string>();
  /** Times until which backends that refused the request are not tried again. */
  private readonly refusals = new Map<string, number>();
  /** Times at which backends that were full for longer than the request can wait should have a free slot. */
  private readonly fullUntil = new Map<string, number>();
  /** Times until which backends with rate limits have no permit for the request. */
  private readonly limitedUntil = new Map<string, number>();

  recordSent(backend: string): void {
    this.sent.add(backend);
  }

  /** Records that the request was not sent after all. */
  recordNotSent(backend: string): void {
    this.sent.delete(backend);
  }

  /** Records that a backend refused the request or could not be reached. */
  recordRefusal(backend: string, now: number): void {
    this.refusals.set(backend, now + REFUSED_RETRY_MS);
  }

  recordFull(backend: string, until: number): void {
    this.fullUntil.set(backend, until);
  }

  recordLimited(backend: string, until: number): void {
    this.limitedUntil.set(backend, until);
  }

  /** Discards what is known about a backend, because it has restarted under the same id. */
  clear(backend: string): void {
    this.sent.delete(backend);
    this.refusals.delete(backend);
    this.fullUntil.delete(backend);
    this.limitedUntil.delete(backend);
  }

  /** Whether the request was sent to a backend. */
  has(backend: string): boolean {
    return this.sent.has(backend);
  }

  /** Whether a backend refused the request, or could not be reached, shortly before. */
  isRefusing(backend: string, now: number): boolean {
    return (this.refusals.get(backend) ?? 0) > now;
  }

  /** Whether a backend has no permit for the request. */
  isLimited(backend: string, now: number): boolean {
    return (this.limitedUntil.get(backend) ?? 0) > now;
  }

  /** Returns the milliseconds until the first full backend should have a free slot; undefined if none was full. */
  fullForMs(now: number): number | undefined {
    const full = [...this.fullUntil].filter(([backend]) => this.isRefusing(backend, now));
    return soonestMs(full, now);
  }

  /** Returns the milliseconds until the first backend may have a permit; undefined if none has refused one. */
  limitedForMs(now: number): number | undefined {
    return soonestMs(
      [...this.limitedUntil].filter(([, until]) => until > now),
      now,
    );
  }
}

function soonestMs(times: readonly [string, number][], now: number): number | undefined {
  if (times.length === 0) return undefined;
  return Math.max(0, Math.min(...times.map(([, until]) => until)) - now);
}
