/**
 * Binds one stream to the software version of the backend that began it. Backends do not check whether a stream that they continue
 * was begun by another version, whose events are incompatible.
 */
import type { RouteMatch } from '../core/routing-table.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { streamKeyOf } from './stream-key.js';
import type { ResumedStream } from './stream-resumptions.js';

/** Time after a caller's deadline for which the origin of its stream is kept, in milliseconds. */
const LIFETIME_MARGIN_MS = 5_000;

/** The stream that one request receives. */
export class RequestStream {
  /** The backend that wrote the stream's first event, in this answer or an earlier one; undefined before that. */
  private begunAt: Pick<BackendRecord, 'softwareVersion'> | undefined;
  /** Whether an event of this answer was forwarded. */
  private hasForwarded = false;

  constructor(
    private readonly context: Pick<GatewayContext, 'directory' | 'streamOrigins'>,
    private readonly match: RouteMatch,
    private readonly request: CallerRequest,
    private readonly resumed: ResumedStream | undefined,
  ) {
    this.begunAt = resumed?.origin;
  }

  /** Whether the caller resumes a stream that an earlier answer has begun. */
  get isResumed(): boolean {
    return this.resumed !== undefined;
  }

  /** Records the backend whose event is about to be forwarded to the caller. Notifies other daemons before the first event. */
  recordForwarding(backend: BackendRecord): void {
    if (this.hasForwarded) return;
    this.hasForwarded = true;
    this.begunAt ??= backend;
    this.recordOrigin();
  }

  /** The software version that the stream is bound to; undefined if it has not begun, or if the version is unknown. */
  get softwareVersion(): string | undefined {
    return this.begunAt?.softwareVersion;
  }

  /** Whether the request may run at a backend: its stream has not begun, or is bound to the backend's software version. */
  readonly mayRunAt = ({ softwareVersion }: Pick<BackendRecord, 'softwareVersion'>): boolean => {
    if (this.begunAt === undefined) return true;
    return softwareVersion !== undefined && softwareVersion === this.begunAt.softwareVersion;
  };

  /** Whether the stream has begun and the service has backends, but none of the stream's version. */
  hasLostVersion(): boolean {
    if (this.begunAt === undefined) return false;
    const serving = this.context.directory.servingBackends(this.match.service.name);
    return serving.length > 0 && !serving.some(this.mayRunAt);
  }

  /** Also called for a resumed stream, because daemons that held its origin may have ended. */
  private recordOrigin(): void {
    const { softwareVersion } = this;
    const { route, service } = this.match;
    const key = this.key();
    if (route.repeatability !== 'resumable_stream') return;
    if (key === undefined || softwareVersion === undefined) return;
    const waitsMs = Math.max(this.request.head.deadlineMs ?? 0, route.timeoutMs);
    const origin = { service: service.name, softwareVersion };
    this.context.streamOrigins.record(key, origin, waitsMs + LIFETIME_MARGIN_MS);
  }

  private key(): string | undefined {
    if (this.resumed !== undefined) return this.resumed.key;
    const { attemptId } = this.request.head;
    return attemptId === undefined ? undefined : streamKeyOf(attemptId, this.request);
  }
}
