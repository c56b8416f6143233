/**
 * Tracks at which software version of a service's backends one stream has begun. What two versions write does not fit together,
 * and backends do not check it, so that a stream may go on only at that version. Any version may begin it.
 */
import type { BackendDirectory } from '../core/backend-directory.js';
import type { BackendRecord } from '../core/service-configuration.js';

/** The stream that one request receives. */
export class RequestStream {
  /** The backend that wrote the first event passed on; undefined before that. */
  private begunAt: Pick<BackendRecord, 'softwareVersion'> | undefined;

  constructor(
    private readonly directory: Pick<BackendDirectory, 'servingBackends'>,
    private readonly service: string,
  ) {}

  /** Records the backend whose event is about to be passed on to the caller. */
  passOnFrom(backend: BackendRecord): void {
    this.begunAt ??= backend;
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

  /** Whether backends serve, but none at which the stream may go on. */
  hasLostVersion(): boolean {
    const serving = this.directory.servingBackends(this.service);
    return serving.length > 0 && !serving.some(this.mayRunAt);
  }
}
