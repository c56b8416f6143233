/**
 * The daemon's HTTP server: serves the caller API, the administration API, health checks and
 * metrics on one port.
 */
import http from 'node:http';
import { CallerConnections } from '../common/caller-connections.js';
import { serviceError, type ServiceError } from '../common/errors.js';
import { ConnectionLimit, LIMITED_SERVER_OPTIONS } from '../common/connection-limit.js';
import {
  headBytesOf,
  listen,
  mayHaveTrailers,
  readJson,
  sendError,
  sendJson,
} from '../common/http-server.js';
import type { LinkFaults } from '../common/link-faults.js';
import { faultText, type Logger } from '../common/logger.js';
import { inputRead, sleep } from '../common/process.js';
import { answerHead, UnreadableRequests } from '../common/unreadable-requests.js';
import { descriptorLimitsFor } from '../core/descriptor-limits.js';
import { RequestMemory, type RequestReservation } from '../core/request-memory.js';
import type { AdminApi } from './admin-api.js';
import type { CallerApi } from './caller-api.js';
import type { DaemonMetrics } from './metrics.js';

const FAULTS_BODY_LIMIT_BYTES = 64 * 1024;
/** Connections without a request that are kept however much memory the requests take. */
const MIN_WAITING = 64;
/** Interval between checks for requests that are left at a stop, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Dependencies and settings of the HTTP server. */
export interface DaemonHttpServerOptions {
  readonly host: string;
  readonly port: number;
  /** Memory for the requests of callers and operators, in bytes. */
  readonly requestMemoryBytes: number;
  /** File descriptors that the process may have open. */
  readonly descriptors: number;
  readonly logger: Logger;
  readonly metrics: DaemonMetrics;
  readonly callerApi: CallerApi;
  readonly adminApi: AdminApi;
  /** Returns the error to refuse requests with; undefined if the daemon is ready. */
  readonly notReadyError: () => ServiceError | undefined;
  /** Updates the gauges before the metrics are rendered. */
  readonly refreshMetrics: () => void;
  /** Link faults that tests inject; undefined in production. */
  readonly faults: LinkFaults | undefined;
}

/** Routes HTTP requests to the APIs by path. */
export class DaemonHttpServer {
  private readonly server: http.Server;
  private readonly connections: CallerConnections;
  private readonly unreadable: UnreadableRequests;
  private readonly memory: RequestMemory;

  constructor(private readonly options: DaemonHttpServerOptions) {
    this.server = http.createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
      if (!this.connections.add(request, response)) return void request.resume();
      const trailerBytes = mayHaveTrailers(request) ? http.maxHeaderSize : 0;
      const reservation = this.memory.open(headBytesOf(request), trailerBytes);
      if (reservation === undefined) return this.refuseForMemory(response);
      response.once('close', () => reservation.release());
      this.route(request, response, reservation).catch((fault: unknown) => {
        options.logger.error('http_fault', { reason: faultText(fault) });
        sendError(
          response,
          serviceError('internal', 'unexpected error; see the log of the daemon'),
        );
      });
    });
    this.server.keepAliveTimeout = 65_000;
    const limits = descriptorLimitsFor(options.descriptors);
    const totalBytes = options.requestMemoryBytes;
    this.memory = new RequestMemory(
      { totalBytes, requests: limits.requests },
      () => performance.now(),
      () => this.logRefusal(),
    );
    this.limitConnections(limits.callerConnections);
    this.connections = new CallerConnections(this.server);
    this.unreadable = new UnreadableRequests(this.server, {
      connections: this.connections,
      refuse: (response, kind) =>
        sendError(response, serviceError(kind, 'the request could not be read')),
      onUnreadable: (code, kind) => options.logger.info('request_unreadable', { code, kind }),
    });
  }

  private limitConnections(maxConnections: number): void {
    const { logger, metrics } = this.options;
    const { memory } = this;
    new ConnectionLimit(this.server, {
      maxConnections,
      // Each of them may hold the largest part of a head.
      maxWaiting: () => Math.max(MIN_WAITING, memory.freeBytes / http.maxHeaderSize),
      refuseRequest: () => memory.refuseOne(),
      answerHead: (socket) => answerHead(socket, 'overloaded'),
      onClosed: (limit, connections) => {
        metrics.closedConnections.inc({ limit });
        logger.info('connection_closed', { limit, connections });
      },
    });
  }

  private logRefusal(): void {
    const { heldBytes, limitBytes, requests } = this.memory.state;
    this.options.metrics.refusals.inc({ kind: 'overloaded' });
    this.options.logger.info('refused', { kind: 'overloaded', heldBytes, limitBytes, requests });
  }

  private refuseForMemory(response: http.ServerResponse): void {
    response.shouldKeepAlive = false;
    sendError(response, serviceError('overloaded', 'no memory for the request'));
  }

  /** Listens on the configured host and port. */
  async start(): Promise<void> {
    await listen(this.server, this.options.host, this.options.port);
  }

  /** Closes the port as soon as no request is left; resolves when the last response has been written. */
  async stop(): Promise<void> {
    // A connection is idle only if no request has arrived on it.
    await inputRead();
    while (!this.connections.closeIdle()) {
      await sleep(CHECK_INTERVAL_MS);
      await inputRead();
    }
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    // Connections on which nothing was ever sent are left; Node does not count them as idle.
    this.server.closeAllConnections();
    await closed;
  }

  /** Closes all connections immediately. */
  kill(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async route(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reservation: RequestReservation,
  ): Promise<void> {
    if (this.unreadable.isRefused(request)) return void response.destroy();
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    // Node then writes `Connection: close`.
    if (this.options.notReadyError()?.kind === 'draining') response.shouldKeepAlive = false;
    if (path.startsWith('/v1/')) {
      return this.options.callerApi.handle(path, request, response, reservation);
    }
    if (path.startsWith('/admin/v1/')) {
      return this.options.adminApi.handle(path, request, response, reservation);
    }
    if (path === '/healthz') return sendJson(response, 200, { alive: true });
    if (path === '/readyz') return this.readiness(response);
    if (path === '/metrics') return this.metrics(response);
    if (path === '/debug/links' && this.options.faults !== undefined) {
      return this.setFaults(this.options.faults, request, response);
    }
    sendError(response, serviceError('not_found', `no such path: ${path}`));
  }

  private readiness(response: http.ServerResponse): void {
    const unready = this.options.notReadyError();
    if (unready !== undefined) return sendError(response, unready);
    sendJson(response, 200, { ready: true });
  }

  private async metrics(response: http.ServerResponse): Promise<void> {
    this.options.refreshMetrics();
    const { registry } = this.options.metrics;
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }

  private async setFaults(
    faults: LinkFaults,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, FAULTS_BODY_LIMIT_BYTES);
    if (body.isErr) return sendError(response, body.error);
    const links = body.value as { outbound?: string[]; inbound?: string[] };
    faults.set(links.outbound ?? [], links.inbound ?? []);
    sendJson(response, 200, {});
  }
}
