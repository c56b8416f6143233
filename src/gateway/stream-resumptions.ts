/**
 * Determines at which service and software version a stream has begun that a caller resumes. A stream of unknown origin is not
 * resumed.
 */
import { RouteHistory } from '../core/route-history.js';
import type { RoutingTable } from '../core/routing-table.js';
import { ServiceVersions, type VersionedBackend } from '../core/service-versions.js';
import type { StreamOrigin } from '../core/stream-origins.js';
import { sleep } from '../common/process.js';
import type { Route } from '../core/service-configuration.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { clocksNow, steadyNow } from './steady-clock.js';
import { streamKeyOf } from './stream-key.js';
import type { StreamTarget } from './stream-origin-codec.js';
import type { Inference } from './stream-origin-exchange.js';
import { VersionRecorder, type VersionRecorderOptions } from './version-recorder.js';

/** Maximum length of an id of a caller in a log line. */
const MAX_LOGGED_ID_LENGTH = 64;
/** Maximum time for which a resumption waits for a read of the record of versions, in milliseconds. */
const MAX_RECORD_WAIT_MS = 250;
/** Maximum time for which a resumption waits for a read of the configuration and the list of backends, in milliseconds. */
const MAX_CONFIRMATION_WAIT_MS = 500;

/** Why an inferred origin is not relied on. */
type Doubt =
  /** The platform did not respond in time. */
  | 'list_unconfirmed'
  /** Another version, or another service of the path, has appeared. */
  | 'other_version';

/** The origin of an unnamed stream, as far as it can be inferred. */
interface InferredOrigin {
  readonly origin: StreamOrigin | undefined;
  readonly source: string;
  /** What the inference is based on, for the log. */
  readonly inputs: Readonly<Record<string, string | number | undefined>>;
}

/** A resumed stream and its origin. */
export interface ResumedStream {
  /** Key under which daemons record it; undefined if its caller has not named it. */
  readonly key: string | undefined;
  readonly origin: StreamOrigin;
}

/** Returns whether a request resumes a stream that an earlier answer has begun. */
export function isResumption({ head }: CallerRequest): boolean {
  return head.lastEventId !== undefined || head.resumedAttemptId !== undefined;
}

/** Locates the origins of the streams that callers of one daemon resume. */
export class StreamResumptions {
  /** Software versions that the daemon has seen. */
  private readonly versions = new ServiceVersions();
  private readonly routes = new RouteHistory();
  private readonly recorder: VersionRecorder;

  constructor(
    private readonly context: Pick<
      GatewayContext,
      'streamOrigins' | 'metrics' | 'logger' | 'backendsAgeMs' | 'confirmDirectory'
    >,
    store: VersionRecorderOptions['store'],
    peers: VersionRecorderOptions['peers'],
  ) {
    const { versions, routes } = this;
    const { logger } = context;
    this.recorder = new VersionRecorder({ store, peers, logger, versions, routes });
  }

  /** Records all backends that are listed now. */
  observe(backends: readonly VersionedBackend[]): void {
    if (this.versions.observe(backends, steadyNow())) this.recorder.versionAppeared();
  }

  /** Records how old the list of backends is; call it several times a second once there is one. */
  recordListAge(): void {
    this.versions.recordListAge(this.context.backendsAgeMs(), clocksNow());
    this.recorder.tick();
    this.context.metrics.routeHistoryBytes.set(this.routes.replacedBytes);
  }

  /** Records that a routing table is in force now. */
  configure(table: RoutingTable): void {
    const now = steadyNow();
    const { unknownUntil } = this.routes;
    this.routes.replace(table, now);
    if (this.routes.unknownUntil > unknownUntil) this.logDeletedRoutes(table, now);
    this.recorder.configurationChanged();
  }

  /** Until the rules that were deleted have expired, no stream is resumed whose caller does not name it. */
  private logDeletedRoutes({ configuration }: RoutingTable, now: number): void {
    this.context.logger.warn('route_history_deleted', {
      version: configuration.version,
      keptBytes: this.routes.replacedBytes,
      unknownMs: Math.round(this.routes.unknownUntil - now),
    });
  }

  /** Returns the origin of the stream that a request resumes; undefined if it is unknown. */
  async locate(request: CallerRequest, route: Route): Promise<ResumedStream | undefined> {
    const { resumedAttemptId } = request.head;
    if (resumedAttemptId === undefined) return this.locateUnnamed(request, route);
    const startedAt = steadyNow();
    const key = streamKeyOf(resumedAttemptId, request);
    const { located, asked, answered } = await this.context.streamOrigins.locate(key);
    const source = located === undefined || located.from === undefined ? 'own' : 'peer';
    this.log(request, route, located?.origin, {
      source: located === undefined ? 'none' : source,
      from: located?.from,
      ageMs: located && Math.round(located.ageMs),
      asked,
      answered,
      milliseconds: Math.round(steadyNow() - startedAt),
    });
    return located && { key, origin: located.origin };
  }

  /**
   * Infers the origin of a stream that its caller has not named from what this daemon has observed: its path must have had only one
   * service, and this one only one software version, for as long as the stream may have run.
   */
  inferOrigin({ host, path }: StreamTarget): Inference {
    const now = clocksNow();
    const scope = this.routes.scopeOf(host, path, now.steady);
    if (scope === undefined) return { type: 'unknown' };
    const { service, timeoutMs } = scope;
    if (this.versions.hasSeenSeveral(service, timeoutMs, now)) return { type: 'unknown' };
    if (this.versions.observedMs(now) < timeoutMs) return { type: 'observed_too_briefly' };
    const softwareVersion = this.versions.soleVersion(service, timeoutMs, now);
    if (softwareVersion === undefined) return { type: 'unknown' };
    return { type: 'sole', origin: { service, softwareVersion } };
  }

  /**
   * Infers the origin of an unnamed stream, and confirms that no other version or service is in use by now: a stream may have begun at
   * one that this daemon's list or configuration does not have yet.
   */
  private async locateUnnamed(
    request: CallerRequest,
    route: Route,
  ): Promise<ResumedStream | undefined> {
    const target = { host: route.host, path: request.path };
    const observedMs = Math.round(this.versions.observedMs(clocksNow()));
    const ageMs = Math.round(this.context.backendsAgeMs());
    const inferred = await this.inferUnnamed(target);
    const doubt = inferred.origin && (await this.doubtOf(target, inferred.origin));
    const origin = doubt === undefined ? inferred.origin : undefined;
    const source = origin === undefined ? 'none' : inferred.source;
    this.log(request, route, origin, { ...inferred.inputs, source, doubt, ageMs, observedMs });
    return origin && { key: undefined, origin };
  }

  /** Returns why an inferred origin cannot be relied on; undefined if it can. */
  private async doubtOf(target: StreamTarget, origin: StreamOrigin): Promise<Doubt | undefined> {
    const timeout = sleep(MAX_CONFIRMATION_WAIT_MS).then(() => false);
    const isConfirmed = await Promise.race([this.context.confirmDirectory(), timeout]);
    if (!isConfirmed) return 'list_unconfirmed';
    return this.isPossible(target, origin) ? undefined : 'other_version';
  }

  /**
   * Infers the origin of an unnamed stream, or has it inferred by daemons that have observed the backends for longer, or by the record
   * of versions if all daemons that respond have observed too briefly.
   */
  private async inferUnnamed(target: StreamTarget): Promise<InferredOrigin> {
    const own = this.inferOrigin(target);
    if (own.type === 'sole') return { origin: own.origin, source: 'sole_version', inputs: {} };
    const lookup = await this.context.streamOrigins.inferAtPeers(target);
    const { located, asked, answered, observedTooBriefly } = lookup;
    const inputs = { from: located?.from, asked, answered, observedTooBriefly };
    if (located !== undefined && this.isPossible(target, located.origin))
      return { origin: located.origin, source: 'sole_version_at_peer', inputs };
    const isUncontradicted = located === undefined && answered === observedTooBriefly;
    const recorded = isUncontradicted ? await this.inferFromRecord(target) : undefined;
    const recordAgeMs = recorded && Math.round(recorded.ageMs);
    const source = 'sole_version_recorded';
    return { origin: recorded?.origin, source, inputs: { ...inputs, recordAgeMs } };
  }

  private async inferFromRecord(
    target: StreamTarget,
  ): Promise<{ origin: StreamOrigin; ageMs: number } | undefined> {
    await Promise.race([this.recorder.refresh(), sleep(MAX_RECORD_WAIT_MS)]);
    return this.recorder.infer(target);
  }

  /**
   * Whether an origin that another daemon has inferred agrees with all that this daemon knows of the time for which the stream may have
   * run: the services of its path, and the versions that it has seen, also before an interruption of its list.
   */
  private isPossible({ host, path }: StreamTarget, origin: StreamOrigin): boolean {
    const now = clocksNow();
    const scope = this.routes.scopeOf(host, path, now.steady);
    if (scope?.service !== origin.service) return false;
    return this.versions.soleSeen(scope.service, scope.timeoutMs, now) === origin.softwareVersion;
  }

  private log(
    { head }: CallerRequest,
    route: Route,
    origin: StreamOrigin | undefined,
    how: { readonly source: string } & Readonly<Record<string, string | number | undefined>>,
  ): void {
    this.context.metrics.streamResumptions.inc({ source: how.source });
    this.context.logger.info('stream_located', {
      request: head.attemptId,
      resumes: head.resumedAttemptId?.slice(0, MAX_LOGGED_ID_LENGTH),
      afterEvent: head.lastEventId?.slice(0, MAX_LOGGED_ID_LENGTH),
      route: route.name,
      service: origin?.service,
      version: origin?.softwareVersion,
      ...how,
    });
  }
}
