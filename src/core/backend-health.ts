/**
 * What a daemon learns about backends from the answers to its own requests.
 * A backend that did not answer is left alone for a time that doubles with each
 * further failure; one that fails part of its requests becomes less attractive.
 * Pure; times are milliseconds of a steady clock.
 */

const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 4_000;
/** Weight of the newest answer in the share of failures. */
const FAILURE_SMOOTHING = 0.2;

interface Health {
  silentInARow: number;
  avoidUntil: number;
  failureShare: number;
}

/** Remembers how the backends have answered this daemon. */
export class BackendHealth {
  private readonly backends = new Map<string, Health>();

  /** The backend gave a whole answer of its own. */
  answered(backend: string): void {
    const health = this.of(backend);
    health.silentInARow = 0;
    health.avoidUntil = 0;
    health.failureShare *= 1 - FAILURE_SMOOTHING;
  }

  /** The backend answered with a failure, or broke its answer off. */
  failed(backend: string): void {
    const health = this.of(backend);
    health.failureShare += FAILURE_SMOOTHING * (1 - health.failureShare);
  }

  /** The backend could not be reached, or did not answer in time. */
  silent(backend: string, now: number): void {
    this.failed(backend);
    const health = this.of(backend);
    const pause = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** health.silentInARow);
    health.silentInARow += 1;
    health.avoidUntil = Math.max(health.avoidUntil, now + pause);
  }

  /** Whether the backend is left alone for now. */
  isAvoided(backend: string, now: number): boolean {
    return (this.backends.get(backend)?.avoidUntil ?? 0) > now;
  }

  /** Smoothed share of failures, 0 to 1. */
  failureShare(backend: string): number {
    return this.backends.get(backend)?.failureShare ?? 0;
  }

  /** Forgets backends that are no longer listed. */
  keepOnly(backends: ReadonlySet<string>): void {
    for (const backend of this.backends.keys()) {
      if (!backends.has(backend)) this.backends.delete(backend);
    }
  }

  private of(backend: string): Health {
    const known = this.backends.get(backend);
    if (known !== undefined) return known;
    const fresh: Health = { silentInARow: 0, avoidUntil: 0, failureShare: 0 };
    this.backends.set(backend, fresh);
    return fresh;
  }
}
