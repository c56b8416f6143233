/** Tracks whether one request crashes the backends that run it. */
import { createHash } from 'node:crypto';
import type { CrashVerdict } from '../core/crash-records.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { CrashTracker } from './crash-tracker.js';
import { hostOf, type CallerRequest } from './caller-request.js';

/**
 * Hexadecimal digits of a digest: 16 bytes, so that two requests cannot have the same digest by chance or by
 * intent.
 */
const DIGEST_DIGITS = 32;

/** Connects one request's exchange to the crash records. */
export class RequestSuspicion {
  private cachedDigest: string | undefined;

  constructor(
    private readonly watch: CrashTracker,
    private readonly request: CallerRequest,
    private readonly answerHasBegun: () => boolean,
  ) {}

  /** Whether the answer has begun. A request that crashes its backend does so before this moment. */
  get hasBegun(): boolean {
    return this.answerHasBegun();
  }

  /** Digest that identifies a repeated request; computed on first use. */
  get digest(): string {
    this.cachedDigest ??= digestOf(this.request);
    return this.cachedDigest;
  }

  /** Number of crashes attributed to the request. */
  get crashes(): number {
    return this.watch.isIdle ? 0 : this.watch.attributedCrashes(this.digest);
  }

  verdict(): CrashVerdict {
    return this.watch.isIdle ? 'sound' : this.watch.verdict(this.digest);
  }

  /**
   * Returns whether the request may be sent to the backend now. A backend runs one suspect request at a time.
   */
  takeTurn(backend: string): boolean {
    return this.verdict() !== 'suspect' || this.watch.reserve(backend, this);
  }

  /** Returns whether the backend runs no other suspect request, if this request is a suspect. */
  mayTakeTurn(backend: string): boolean {
    return this.verdict() !== 'suspect' || this.watch.canReserve(backend, this);
  }

  /** Records that the request no longer runs at a backend. */
  endTurn(): void {
    this.watch.release(this);
  }

  /** Records that the request was refused. */
  recordRefusal(): void {
    this.watch.recordRepeat(this.digest);
  }

  /** Records that the request was answered. */
  recordAnswer(): void {
    if (!this.watch.isIdle) this.watch.recordAnswer(this.digest);
  }

  /** Records that a backend's process has ended while it ran the request, as the relay has reported. */
  recordCrash(backend: BackendRecord): Promise<void> {
    const isKnownToHaveEnded = true;
    return this.watch.recordAbort(
      backend,
      this.digest,
      this.request.head.attemptId,
      isKnownToHaveEnded,
    );
  }

  /**
   * Records that a backend closed the connection. Resolves when it is known whether the backend has crashed.
   */
  recordDisconnect(backend: BackendRecord): Promise<void> {
    return this.watch.recordAbort(backend, this.digest, this.request.head.attemptId);
  }
}

/**
 * Hashes the method, host, path, key digest and body, but not the attempt id, the deadline or the resume
 * position.
 */
function digestOf({ head, method, path, rawHeaders, body }: CallerRequest): string {
  const hash = createHash('sha256');
  const parts = [method, hostOf(rawHeaders), path, head.keyDigest ?? ''];
  hash.update(`${JSON.stringify(parts)}\n`).update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}
