/**
 * Passive health checks: what a daemon learns about backends from the responses to its own requests.
 * A backend that does not respond is ejected (gets no requests) for a time that doubles with each
 * further failure. A backend that fails part of its requests becomes less preferred in selection.
 * No I/O; times are milliseconds of a monotonic clock.
 */

const INITIAL_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;
/** Initial ejection after a connection broke before the response began: the connection may be at fault, not the backend. */
const INITIAL_DISCONNECT_EJECTION_MS = 60;
/** Number of consecutive requests without a response from which the backend counts as failing. */
const FAILING_THRESHOLD = 2;
/** A failing backend is reported for this long after its last request without a response. */
const FAILING_REPORT_MS = 3_000;
/** Weight of the latest response in the smoothed share of failures. */
const FAILURE_SMOOTHING = 0.2;

interface Health {
  /** Consecutive requests that got no response. */
  consecutiveUnanswered: number;
  lastUnansweredAt: number;
  ejectedUntil: number;
  failureShare: number;
}

/** Tracks how each backend has responded to this daemon. */
export class BackendHealth {
  private readonly backends = new Map<string, Health>();

  /** Records a complete response that the backend itself produced. */
  recordSuccess(backend: string): void {
    const health = this.healthOf(backend);
    health.consecutiveUnanswered = 0;
    health.ejectedUntil = 0;
    health.failureShare *= 1 - FAILURE_SMOOTHING;
  }

  /** Records an error response, or a response that the backend broke off. */
  recordFailure(backend: string): void {
    const health = this.healthOf(backend);
    health.failureShare += FAILURE_SMOOTHING * (1 - health.failureShare);
  }

  /** Records that the backend could not be reached or did not respond in time. */
  recordNoResponse(backend: string, now: number): void {
    this.recordUnanswered(backend, INITIAL_EJECTION_MS, now);
  }

  /** Records that the backend accepted a request and the connection broke before the response began. */
  recordDisconnect(backend: string, now: number): void {
    this.recordUnanswered(backend, INITIAL_DISCONNECT_EJECTION_MS, now);
  }

  private recordUnanswered(backend: string, initialEjectionMs: number, now: number): void {
    this.recordFailure(backend);
    const health = this.healthOf(backend);
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      initialEjectionMs * 2 ** health.consecutiveUnanswered,
    );
    health.consecutiveUnanswered += 1;
    health.lastUnansweredAt = now;
    health.ejectedUntil = Math.max(health.ejectedUntil, now + ejectionMs);
  }

  /** Backends that recently left several consecutive requests without a response. */
  failingBackends(now: number): string[] {
    const failingBackends: string[] = [];
    for (const [backend, { consecutiveUnanswered, lastUnansweredAt }] of this.backends) {
      const isRecent = now - lastUnansweredAt <= FAILING_REPORT_MS;
      if (consecutiveUnanswered >= FAILING_THRESHOLD && isRecent) failingBackends.push(backend);
    }
    return failingBackends;
  }

  /** Whether the backend is currently ejected. */
  isEjected(backend: string, now: number): boolean {
    return this.ejectedUntil(backend) > now;
  }

  /** Time at which the ejection ends; 0 after a complete response, or if no request to the backend has gone without a response. */
  ejectedUntil(backend: string): number {
    return this.backends.get(backend)?.ejectedUntil ?? 0;
  }

  /** Smoothed share of failures, 0 to 1. */
  failureShare(backend: string): number {
    return this.backends.get(backend)?.failureShare ?? 0;
  }

  /** Drops the history of a backend that restarted: it does not apply to the new process. */
  forget(backend: string): void {
    this.backends.delete(backend);
  }

  /** Drops the history of all backends, because this daemon could reach none of them. */
  clear(): void {
    this.backends.clear();
  }

  /** Drops the history of all backends that are not in the set. */
  keepOnly(backends: ReadonlySet<string>): void {
    for (const backend of this.backends.keys()) {
      if (!backends.has(backend)) this.backends.delete(backend);
    }
  }

  private healthOf(backend: string): Health {
    const known = this.backends.get(backend);
    if (known !== undefined) return known;
    const created: Health = {
      consecutiveUnanswered: 0,
      lastUnansweredAt: -Infinity,
      ejectedUntil: 0,
      failureShare: 0,
    };
    this.backends.set(backend, created);
    return created;
  }
}
