/** HTTP server for callers: reads requests within the configured limits and starts their exchanges. */
import http from 'node:http';
import { CallerConnections } from '../common/caller-connections.js';
import { ConnectionLimit, LIMITED_SERVER_OPTIONS } from '../common/connection-limit.js';
import type { ErrorKind } from '../common/errors.js';
import type { FaultBoundary } from '../common/fault-boundary.js';
import { splitAddress } from '../common/http-client.js';
import { headBytesOf, headerBytesOf, listen, mayHaveTrailers } from '../common/http-server.js';
import { RequestBody, type BodyRefusal } from '../common/request-body.js';
import { answerHead, UnreadableRequests } from '../common/unreadable-requests.js';
import { descriptorLimitsFor } from '../core/descriptor-limits.js';
import type { RequestReservation } from '../core/request-memory.js';
import type { RouteMatch, RoutingTable } from '../core/routing-table.js';
import { isStream, type CallerLimits } from '../core/service-configuration.js';
import { CallerAnswer } from './caller-answer.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';
import type { CallerRequest } from './caller-request.js';
import { RequestExchange } from './request-exchange.js';
import { steadyNow } from './steady-clock.js';
import { isResumption, type ResumedStream, type StreamResumptions } from './stream-resumptions.js';

/** Node's HTTP parser refuses larger heads, whatever is configured. */
const MAX_HEAD_BYTES = 128 * 1024;
/** Largest request target in bytes. The configured limit for heads does not count it. */
const MAX_TARGET_BYTES = 16 * 1024;
/** Connections without a request that are kept however much memory the requests take. */
const MIN_WAITING = 64;
const TIMEOUT_CHECK_MS = 500;
/** Number of hexadecimal digits of a key's digest in log lines. */
const FINGERPRINT_DIGITS = 8;
/** Timeout for receiving a whole request. */
const BODY_TIMEOUT_MS = 30_000;

/** Retry time for a caller whose request finds no memory. */
const OVERLOAD_RETRY_AFTER_MS = 1_000;
/** Retry time for a caller whose request a defect of this daemon has ended. */
const FAULT_RETRY_AFTER_MS = 1_000;

/** A request whose head was read. */
interface ReceivedRequest {
  readonly head: RequestHead;
  readonly answer: CallerAnswer;
  /** Runs whatever the event loop calls for the request until its exchange begins. */
  readonly boundary: FaultBoundary;
}

/** Where a request goes. */
interface RoutedRequest {
  readonly match: RouteMatch;
  /** The configuration that chose the route. */
  readonly table: RoutingTable;
  /** The stream that the request resumes; undefined for a new one. */
  readonly resumed?: ResumedStream | undefined;
}

/** HTTP server for callers. */
export class CallerServer {
  private readonly server: http.Server;
  private readonly connections: CallerConnections;
  private readonly unreadable: UnreadableRequests;
  private readonly limit: ConnectionLimit;
  /** Largest head that is read, in bytes. */
  private headBytes = MAX_HEAD_BYTES;

  constructor(
    private readonly context: GatewayContext,
    private readonly routing: () => RoutingTable | undefined,
    private readonly resumptions: StreamResumptions,
  ) {
    this.server = http.createServer(
      {
        ...LIMITED_SERVER_OPTIONS,
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        noDelay: true,
      },
      (request, response) => this.accept(request, response),
    );
    this.connections = new CallerConnections(this.server);
    this.unreadable = new UnreadableRequests(this.server, {
      connections: this.connections,
      refuse: (response, kind) => this.refuse(response, kind, undefined),
      onUnreadable: (code, kind) => context.logger.info('request_unreadable', { code, kind }),
    });
    this.limit = this.limitConnections();
  }

  async start(): Promise<void> {
    const [host, port] = splitAddress(this.context.settings.callers);
    await listen(this.server, host, port);
  }

  /** Number of requests whose head was read and that have neither an exchange nor an answer yet. */
  get receiving(): number {
    return this.connections.receiving.length;
  }

  /** Refuses the requests that have not begun, because the daemon stops. */
  refuseReceiving(): void {
    for (const response of this.connections.receiving) this.refuse(response, 'draining', 0);
  }

  /** Applies the configured limits. */
  setLimits(limits: CallerLimits): void {
    this.warnOfMemory(limits.bodyBytes);
    this.headBytes = Math.min(MAX_HEAD_BYTES, limits.headerBytes + MAX_TARGET_BYTES);
    // Node reads it for each new connection.
    Object.assign(this.server, { maxHeaderSize: this.headBytes });
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Logs that bodies which the configuration allows are refused, because this machine has no memory for them. */
  private warnOfMemory(bodyBytes: number): void {
    const { maxBodyBytes } = this.context.requestMemory;
    if (bodyBytes <= maxBodyBytes) return;
    this.context.logger.warn('body_limit_reduced', { bodyBytes, maxBodyBytes });
  }

  /** Closes the connections without a request. Returns whether no request is left. */
  closeIdle(): boolean {
    return this.connections.closeIdle();
  }

  /** Stops accepting connections and closes the existing ones. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (!this.connections.add(request, response)) return void request.resume();
    if (this.unreadable.isRefused(request)) return void response.destroy();
    const head = this.context.dialect.readRequest(request.headers);
    const answer = new CallerAnswer(this.context, head, response);
    // An exchange handles the exceptions of its own request; before it begins, the request is sent to no backend.
    const boundary = this.context.faults.boundaryOf('request', {
      fields: () => ({ request: head.attemptId, mayHaveRun: false }),
      end: () => {
        answer.sendError('internal_not_sent', FAULT_RETRY_AFTER_MS);
        answer.disconnectIfIncomplete();
      },
      abandon: () => answer.disconnect(),
    });
    boundary.run(() => this.reserve(request, response, { head, answer, boundary }));
  }

  /** Answers a request that has no exchange: it is never sent. */
  private refuse(
    response: http.ServerResponse,
    kind: ErrorKind,
    retryAfterMs: number | undefined,
  ): void {
    const head = this.context.dialect.readRequest(response.req.headers);
    new CallerAnswer(this.context, head, response).sendError(kind, retryAfterMs);
  }

  private reserve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    received: ReceivedRequest,
  ): void {
    const trailerBytes = mayHaveTrailers(request) ? this.headBytes : 0;
    const reservation = this.context.requestMemory.open(headBytesOf(request), trailerBytes);
    if (reservation === undefined) return this.refuseUnread(request, received, 'overloaded');
    response.once('close', () => reservation.release());
    this.receive(request, response, received, reservation);
  }

  private receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    received: ReceivedRequest,
    reservation: RequestReservation,
  ): void {
    const { head, answer, boundary } = received;
    const arrivedAt = steadyNow();
    const table = this.routing();
    if (table === undefined) return answer.sendError('not_ready', 500);
    if (this.context.refusesRequests()) return answer.sendError('draining', 0);
    const { limits } = table.configuration;
    if (headerBytesOf(request.rawHeaders) > limits.headerBytes) {
      return answer.sendError('header_too_large', undefined);
    }
    const path = request.url ?? '/';
    const route = table.route(request.headers.host ?? '', path);
    const admission = route && this.context.admission.check(route, head.keyDigest);
    if (admission?.type === 'refused') {
      this.logDenial(head, route?.name, admission.kind, table);
      return answer.sendError(admission.kind, admission.retryAfterMs);
    }
    response.on('error', () => response.destroy());
    new RequestBody(request, {
      limitBytes: Math.min(limits.bodyBytes, this.context.requestMemory.maxBodyBytes),
      reservation,
      onComplete: boundary.guard((body) => {
        // The caller may have been told that the request does not run.
        if (!answer.hasBegun) {
          this.begin(request, response, { answer, boundary }, { head, body, arrivedAt });
        }
      }),
      onRefused: boundary.guard((kind) => this.refuseUnread(request, received, kind)),
    });
  }

  /** Refuses a request that is not read to its end. */
  private refuseUnread(
    request: http.IncomingMessage,
    { answer, head }: Pick<ReceivedRequest, 'answer' | 'head'>,
    kind: BodyRefusal,
  ): void {
    if (answer.hasBegun) return;
    this.context.metrics.refusals.inc({ kind, tenant: '' });
    const { heldBytes, limitBytes, requests } = this.context.requestMemory.state;
    const state = { heldBytes, limitBytes, requests };
    this.context.logger.info('refused', { request: head.attemptId, kind, ...state });
    answer.sendError(kind, kind === 'overloaded' ? OVERLOAD_RETRY_AFTER_MS : undefined);
    if (!request.complete) this.limit.release(request.socket);
  }

  private limitConnections(): ConnectionLimit {
    const { settings, requestMemory, logger, metrics } = this.context;
    const { callerConnections } = descriptorLimitsFor(settings.descriptors);
    return new ConnectionLimit(this.server, {
      maxConnections: callerConnections,
      // Each of them may hold the largest part of a head.
      maxWaiting: () => Math.max(MIN_WAITING, requestMemory.freeBytes / this.headBytes),
      refuseRequest: () => requestMemory.refuseOne(),
      answerHead: (socket) => answerHead(socket, 'overloaded'),
      onClosed: (limit, connections) => {
        metrics.closedConnections.inc({ limit });
        logger.info('connection_closed', { limit, connections });
      },
    });
  }

  private begin(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    { answer, boundary }: Pick<ReceivedRequest, 'answer' | 'boundary'>,
    read: Pick<CallerRequest, 'head' | 'body' | 'arrivedAt'>,
  ): void {
    const { rawHeaders, method = 'GET', url: path = '/' } = request;
    const caller = { ...read, method, path, rawHeaders };
    const host = request.headers.host ?? '';
    const table = this.routing();
    const route = table?.route(host, path);
    if (route !== undefined && isStream(route) && isResumption(caller)) {
      return boundary.watch(this.resume(response, answer, caller, host));
    }
    const match = table?.match(host, path);
    if (table === undefined || match === undefined) {
      return this.denyRoute(answer, read.head.attemptId, path, table);
    }
    this.startExchange(response, answer, caller, { match, table });
  }

  private startExchange(
    response: http.ServerResponse,
    answer: CallerAnswer,
    caller: CallerRequest,
    { match, table, resumed }: RoutedRequest,
  ): void {
    const { head, arrivedAt } = caller;
    const allowedMs = Math.min(head.deadlineMs ?? Infinity, match.route.timeoutMs);
    if (!this.context.mayBegin(allowedMs - (steadyNow() - arrivedAt))) {
      return answer.sendError('draining', 0);
    }
    this.connections.begin(response);
    if (isStream(match.route)) response.socket?.setNoDelay(true);
    const { version } = table.configuration;
    new RequestExchange(this.context, match, version, caller, response, resumed).start();
  }

  /** Starts a request that resumes a stream, once the stream's origin is known. */
  private async resume(
    response: http.ServerResponse,
    answer: CallerAnswer,
    caller: CallerRequest,
    host: string,
  ): Promise<void> {
    const { path, head } = caller;
    const asked = this.routing()?.route(host, path);
    const resumed = asked && (await this.resumptions.locate(caller, asked));
    if (response.destroyed) return;
    // The configuration may have changed in the meantime.
    const table = this.routing();
    const route = table?.route(host, path);
    if (table === undefined || route === undefined) {
      return this.denyRoute(answer, head.attemptId, path, table);
    }
    const match = resumed && table.matchAt(route, resumed.origin.service);
    if (match === undefined) return this.denyResumption(answer, head, route.name);
    this.startExchange(response, answer, caller, { match, table, resumed });
  }

  private denyResumption(answer: CallerAnswer, head: RequestHead, route: string): void {
    const kind = 'stream_not_resumable';
    this.context.metrics.refusals.inc({ kind, tenant: '' });
    this.context.logger.info('refused', { request: head.attemptId, route, kind });
    answer.sendError(kind, undefined);
  }

  /**
   * Logs the first digits of the key's SHA-256 so that an operator can identify the key. The key itself is
   * never logged.
   */
  private logDenial(
    head: RequestHead,
    route: string | undefined,
    kind: string,
    table: RoutingTable,
  ): void {
    this.context.metrics.refusals.inc({ kind, tenant: '' });
    this.context.logger.info('not_admitted', {
      request: head.attemptId,
      route,
      kind,
      fingerprint: head.keyDigest?.slice(0, FINGERPRINT_DIGITS),
      configuration: table.configuration.version,
      proofAgeMs: this.context.admission.proofAgeMs(),
    });
  }

  /**
   * Denies a request without a route here. A newer configuration may contain its route, so the denial may allow
   * a retry.
   */
  private denyRoute(
    answer: CallerAnswer,
    request: string | undefined,
    path: string,
    table: RoutingTable | undefined,
  ): void {
    const { kind, retryAfterMs } = this.context.admission.denyRoute();
    const configuration = table?.configuration.version;
    this.context.logger.info('no_route', { request, path, kind, configuration });
    answer.sendError(kind, retryAfterMs);
  }
}
