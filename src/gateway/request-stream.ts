/**
 * Tracks at which software version of a service's backends one stream has begun. What two versions write does not fit together,
 * and backends do not check it, so that a stream may go on only at that version. Any version may begin it.
 */
import type { RouteMatch } from '../core/routing-table.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { streamKeyOf } from './stream-key.js';
import type { ResumedStream } from './stream-resumptions.js';

/** Time after a caller's deadline for which its stream is remembered, in milliseconds. */
const LIFETIME_MARGIN_MS = 5_000;

/** The stream that one request receives. */
export class RequestStream {
  /** The backend that began the stream, in this answer or an earlier one; undefined before that. */
  private begunAt: Pick<BackendRecord, 'softwareVersion'> | undefined;
  /** Whether an event of this answer was passed on. */
  private hasPassedOn = false;

  constructor(
    private readonly context: Pick<GatewayContext, 'directory' | 'streamOrigins'>,
    private readonly match: RouteMatch,
    private readonly request: CallerRequest,
    private readonly resumed: ResumedStream | undefined,
  ) {
    this.begunAt = resumed?.origin;
  }

  /** Whether the caller has taken up a stream that an earlier answer has begun. */
  get isResumed(): boolean {
    return this.resumed !== undefined;
  }

  /** Records the backend whose event is about to be passed on to the caller. Other daemons are told before the first one is. */
  passOnFrom(backend: BackendRecord): void {
    if (this.hasPassedOn) return;
    this.hasPassedOn = true;
    this.begunAt ??= backend;
    this.tellOthers();
  }

  /** The software version at which the stream must go on; undefined if it has not begun, or if the version is unknown. */
  get softwareVersion(): string | undefined {
    return this.begunAt?.softwareVersion;
  }

  /** Whether the request may run at a backend: its stream has not begun, or has begun at the backend's software version. */
  readonly mayRunAt = ({ softwareVersion }: Pick<BackendRecord, 'softwareVersion'>): boolean => {
    if (this.begunAt === undefined) return true;
    return softwareVersion !== undefined && softwareVersion === this.begunAt.softwareVersion;
  };

  /** Whether the stream has begun, and backends serve, but none at which it may go on. */
  hasLostVersion(): boolean {
    if (this.begunAt === undefined) return false;
    const serving = this.context.directory.servingBackends(this.match.service.name);
    return serving.length > 0 && !serving.some(this.mayRunAt);
  }

  /** A stream that was taken up is told again, since daemons that remembered it may have ended. */
  private tellOthers(): void {
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
