/** Tracks whether one request crashes the backends that run it. */
import { createHash } from 'node:crypto';
import type { CrashVerdict } from '../core/crash-records.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { AttemptEnd } from './attempt.js';
import type { CrashCause, CrashTracker } from './crash-tracker.js';
import { hostOf, type CallerRequest } from './caller-request.js';

/**
 * Hexadecimal digits of a digest: 16 bytes, so that two requests cannot have the same digest by chance or by
 * intent.
 */
const DIGEST_DIGITS = 32;

/** Maximum number of parts of one prompt that are tracked, the first ones. */
const MAX_PARTS = 16;

/** Connects one request's exchange to the crash records. */
export class RequestSuspicion {
  private cachedDigest: string | undefined;
  private cachedParts: readonly CrashCause[] | undefined;

  constructor(
    private readonly watch: CrashTracker,
    private readonly request: CallerRequest,
    private readonly answerHasBegun: () => boolean,
  ) {}

  /** Whether the answer has begun. A request that crashes its backend does so before this moment. */
  get hasBegun(): boolean {
    return this.answerHasBegun();
  }

  /** What may be blamed for a crash: the request itself and the shared parts of its prompt. */
  private get causes(): readonly CrashCause[] {
    this.cachedDigest ??= digestOf(this.request);
    return [{ digest: this.cachedDigest, depth: 0 }, ...this.parts];
  }

  private get parts(): readonly CrashCause[] {
    this.cachedParts ??= partsOf(this.request);
    return this.cachedParts;
  }

  /** Returns the request or the part of its prompt to which the most crashes are attributed, with their number. */
  strongestSuspicion(): CrashCause & { readonly crashes: number } {
    const [own, ...parts] = this.causes.map((cause) => {
      return { ...cause, crashes: this.watch.attributedCrashes(cause.digest) };
    });
    const first = own ?? { digest: '', depth: 0, crashes: 0 };
    return parts.reduce((most, part) => (part.crashes > most.crashes ? part : most), first);
  }

  verdict(): CrashVerdict {
    if (this.watch.isIdle) return 'sound';
    const verdicts = this.causes.map(({ digest }) => this.watch.verdict(digest));
    if (verdicts.includes('condemned')) return 'condemned';
    return verdicts.includes('suspect') ? 'suspect' : 'sound';
  }

  /** Whether the request must not be sent to any backend, because it crashes them. */
  get isCondemned(): boolean {
    return this.verdict() === 'condemned';
  }

  /** Whether the request is neither suspected nor known to crash backends. */
  get isSound(): boolean {
    return this.verdict() === 'sound';
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
    for (const { digest } of this.causes) this.watch.recordRepeat(digest);
  }

  /** Records that the request was answered. A failure does not show that a backend can run the parts of its prompt. */
  recordAnswer(isSuccess: boolean): void {
    const causes = this.watch.isIdle ? this.parts : this.causes;
    for (const cause of causes) {
      if (cause.depth === 0 || isSuccess) this.watch.recordAnswer(cause);
    }
  }

  /**
   * Finds out whether the request has crashed its backend; undefined if nothing suggests that.
   * @param relay - Peer address of the daemon that relayed the request; undefined if it was sent directly.
   */
  examine(
    backend: BackendRecord,
    relay: string | undefined,
    end: Extract<AttemptEnd, { type: 'failed' }>,
  ): Promise<void> | undefined {
    if (!end.connectionLost) return undefined;
    if (relay === undefined) return this.recordAbort(backend, false);
    // Only the relay can tell whether the backend has ended.
    return end.relayFailure === 'backend_ended' ? this.recordAbort(backend, true) : undefined;
  }

  /**
   * Records that a backend closed the connection. Resolves when it is known whether the backend has crashed.
   * @param isKnownToHaveEnded - Whether the relay has reported that the backend's process ended.
   */
  private recordAbort(backend: BackendRecord, isKnownToHaveEnded: boolean): Promise<void> {
    const { attemptId } = this.request.head;
    return this.watch.recordAbort(backend, this.causes, attemptId, isKnownToHaveEnded);
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

/** Returns the parts of the prompt that other requests may share. One that stands twice counts at its first position. */
function partsOf({ head }: CallerRequest): CrashCause[] {
  const parts = [...new Set(head.promptParts)].slice(0, MAX_PARTS);
  return parts.map((part, index) => {
    const digest = createHash('sha256').update(`part\n${part}`).digest('hex');
    return { digest: digest.slice(0, DIGEST_DIGITS), depth: index + 1 };
  });
}
