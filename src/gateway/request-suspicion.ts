/** One request, and whether it crashes the backends that run it. */
import { createHash } from 'node:crypto';
import type { CrashVerdict } from '../core/crash-records.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { CrashWatch } from './crash-watch.js';
import type { CallerRequest } from './caller-request.js';

/** Hexadecimal digits of a digest: 16 bytes, too many for two requests to share one by chance or by design. */
const DIGEST_DIGITS = 32;

/** What one exchange tells and asks. */
export class RequestSuspicion {
  private known: string | undefined;

  constructor(
    private readonly watch: CrashWatch,
    private readonly request: CallerRequest,
    private readonly answerHasBegun: () => boolean,
  ) {}

  /** What has begun to answer has outlived the moment at which such a request crashes its backend. */
  get hasBegun(): boolean {
    return this.answerHasBegun();
  }

  /** Digest of what makes it the same request when it comes again; worked out when it is first needed. */
  get digest(): string {
    this.known ??= digestOf(this.request);
    return this.known;
  }

  /** Crashes that are held against it. */
  get crashes(): number {
    return this.watch.isIdle ? 0 : this.watch.crashesOf(this.digest);
  }

  verdict(): CrashVerdict {
    return this.watch.isIdle ? 'sound' : this.watch.verdict(this.digest);
  }

  /** Whether it may be sent to a backend now: a suspect takes turns with others. */
  takePlace(backend: string): boolean {
    return this.verdict() !== 'suspect' || this.watch.takePlace(backend, this);
  }

  /** Whether no other suspect has its turn at a backend. */
  mayTakePlace(backend: string): boolean {
    return this.verdict() !== 'suspect' || this.watch.isPlaceFree(backend, this);
  }

  /** It runs no more. */
  leavePlace(): void {
    this.watch.leavePlace(this);
  }

  /** It is refused. */
  refused(): void {
    this.watch.repeated(this.digest);
  }

  answered(): void {
    if (!this.watch.isIdle) this.watch.answered(this.digest);
  }

  /** A backend has broken it off; ends when it is known what that means. */
  brokeOff(backend: BackendRecord): Promise<void> {
    return this.watch.brokeOff(backend, this.digest, this.request.head.attemptId);
  }
}

/** Of its path, its caller's key and its body: not of the attempt's name, its deadline, or how it is resumed. */
function digestOf({ head, method, path, rawHeaders, body }: CallerRequest): string {
  const hash = createHash('sha256');
  const parts = [method, hostOf(rawHeaders), path, head.keyDigest ?? ''];
  hash.update(`${JSON.stringify(parts)}\n`).update(body);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}

function hostOf(rawHeaders: readonly string[]): string {
  const at = rawHeaders.findIndex((text, index) => {
    return index % 2 === 0 && text.toLowerCase() === 'host';
  });
  return at < 0 ? '' : (rawHeaders[at + 1] ?? '').toLowerCase();
}
