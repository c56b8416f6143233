/**
 * What a daemon learns about backends from the answers to its own requests.
 * A backend that did not answer is left alone for a time that doubles with each
 * further failure; one that fails part of its requests becomes less attractive.
 * Pure; times are milliseconds of a steady clock.
 */

const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 4_000;
/** First pause after an answer that was broken off before it began: it may be the connection's fault. */
const FIRST_BREAK_PAUSE_MS = 60;
/** Failures in a row without any answer from which on the backend counts as failing. */
const FAILING_FROM = 2;
/** A backend that has failed is told of so long after its last failure. */
const FAILING_LIFETIME_MS = 3_000;
/** Weight of the newest answer in the share of failures. */
const FAILURE_SMOOTHING = 0.2;

interface Health {
  /** Requests in a row that got no answer. */
  unansweredInARow: number;
  lastUnansweredAt: number;
  avoidUntil: number;
  failureShare: number;
}

/** Remembers how the backends have answered this daemon. */
export class BackendHealth {
  private readonly backends = new Map<string, Health>();

  /** The backend gave a whole answer of its own. */
  answered(backend: string): void {
    const health = this.of(backend);
    health.unansweredInARow = 0;
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
    this.unanswered(backend, FIRST_PAUSE_MS, now);
  }

  /** The backend took a request and broke the connection off before it answered. */
  broke(backend: string, now: number): void {
    this.unanswered(backend, FIRST_BREAK_PAUSE_MS, now);
  }

  private unanswered(backend: string, firstPauseMs: number, now: number): void {
    this.failed(backend);
    const health = this.of(backend);
    const pause = Math.min(LONGEST_PAUSE_MS, firstPauseMs * 2 ** health.unansweredInARow);
    health.unansweredInARow += 1;
    health.lastUnansweredAt = now;
    health.avoidUntil = Math.max(health.avoidUntil, now + pause);
  }

  /** Backends that have lately left several requests in a row without an answer. */
  failing(now: number): string[] {
    const failing: string[] = [];
    for (const [backend, { unansweredInARow, lastUnansweredAt }] of this.backends) {
      const isRecent = now - lastUnansweredAt <= FAILING_LIFETIME_MS;
      if (unansweredInARow >= FAILING_FROM && isRecent) failing.push(backend);
    }
    return failing;
  }

  /** Whether the backend is left alone for now. */
  isAvoided(backend: string, now: number): boolean {
    return this.avoidedUntil(backend) > now;
  }

  /** Until when the backend is left alone; 0 if it has answered. */
  avoidedUntil(backend: string): number {
    return this.backends.get(backend)?.avoidUntil ?? 0;
  }

  /** Smoothed share of failures, 0 to 1. */
  failureShare(backend: string): number {
    return this.backends.get(backend)?.failureShare ?? 0;
  }

  /** The backend has started again: its earlier start says nothing of it. */
  forget(backend: string): void {
    this.backends.delete(backend);
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
    const fresh: Health = {
      unansweredInARow: 0,
      lastUnansweredAt: -Infinity,
      avoidUntil: 0,
      failureShare: 0,
    };
    this.backends.set(backend, fresh);
    return fresh;
  }
}
