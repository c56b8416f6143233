/**
 * Relays requests of other daemons that cannot reach a backend. Whatever the request is counted against, such as limits, slots and
 * retries, is counted by the daemon that received it from the caller. A relayed request is never relayed again.
 */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { FaultBoundary } from '../common/fault-boundary.js';
import { faultText, type LogFields, type Logger } from '../common/logger.js';
import {
  endAfterRequest,
  headBytesOf,
  listen,
  mayHaveTrailers,
  sendJson,
} from '../common/http-server.js';
import { RequestBody } from '../common/request-body.js';
import { UnreadConnections } from '../common/unread-connections.js';
import type { BackendDirectory } from '../core/backend-directory.js';
import type { RequestMemory } from '../core/request-memory.js';
import type { BackendRecord } from '../core/service-configuration.js';
import type { BackendAgent } from './backend-agent.js';
import { BackendExchange, type ExchangeFailure } from './backend-exchange.js';
import type { BackendWatch } from './backend-watch.js';
import { forwardedHeaders } from './caller-answer.js';
import type { FaultRecorder } from './fault-recorder.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { RequestDialect } from './ports.js';
import {
  mayHaveReachedBackend,
  parseReachabilityTarget,
  parseRelayedPool,
  parseRelayTarget,
  RELAYED_POOL_HEADER,
  RELAY_FAILURE_HEADER,
  type RelayFailure,
} from './relay-protocol.js';
import { steadyNow } from './steady-clock.js';

/** Maximum number of requests relayed at the same time, for each core: the processor must have time for this daemon's own callers. */
const MAX_RELAYED_PER_CORE = 128;
/** The same for the smallest machines. */
const MIN_RELAYED = 16;
/** Largest head of a relayed request: that of the largest one that a caller may send, and what the other daemon adds. */
const MAX_HEAD_BYTES = 160 * 1024;
/** Most connections of hosts that are not the group's: a daemon that has just joined may not be known yet. */
const MAX_UNKNOWN_CONNECTIONS = 32;
/** Headers that belong to the connection with the other daemon. */
const REQUEST_CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  RELAYED_POOL_HEADER,
]);
const DROPPED_ANSWER_HEADERS: ReadonlySet<string> = new Set([RELAY_FAILURE_HEADER]);

/** Options of {@link RelayServer}. */
export interface RelayServerOptions {
  readonly host: string;
  readonly port: number;
  /** Processor capacity, in cores of standard speed. */
  readonly capacity: number;
  readonly logger: Logger;
  readonly metrics: Pick<
    GatewayMetrics,
    'relayedForOthers' | 'relaysInFlight' | 'closedConnections'
  >;
  readonly directory: Pick<BackendDirectory, 'getServing' | 'servingBackends'>;
  readonly dialect: Pick<RequestDialect, 'readRequest'>;
  readonly agent: BackendAgent;
  readonly faults: FaultRecorder;
  readonly watch: BackendWatch;
  /** The configured limit for bodies is for callers: the daemon that accepted the request may have applied that of another version. */
  readonly requestMemory: RequestMemory;
  /** Whether an IP address is one of the group's. */
  readonly isMember: (host: string) => boolean;
  /** Whether no further requests are relayed because the daemon stops. */
  readonly isDraining: () => boolean;
  /** Resolves with whether the process at a backend's address has ended. */
  readonly hasEnded: (backend: BackendRecord) => Promise<boolean>;
}

/** A request of another daemon. */
interface RelayedRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly id: string | undefined;
  readonly peer: string;
  readonly startedAt: number;
  /** Runs whatever the event loop calls for the request. */
  readonly boundary: FaultBoundary;
}

/** HTTP server for the other daemons. */
export class RelayServer {
  private readonly server: http.Server;
  private readonly unread: UnreadConnections;
  private readonly maxInFlight: number;
  private inFlight = 0;
  /** Requests that have not been answered in full, refused ones included. */
  private unanswered = 0;
  private unknownConnections = 0;

  constructor(private readonly options: RelayServerOptions) {
    const relayed = Math.round(MAX_RELAYED_PER_CORE * options.capacity);
    this.maxInFlight = Math.max(MIN_RELAYED, relayed);
    const serverOptions = { noDelay: true, maxHeaderSize: MAX_HEAD_BYTES };
    this.server = http.createServer(serverOptions, (request, response) => {
      response.sendDate = false;
      response.on('error', () => response.destroy());
      this.unanswered += 1;
      response.once('close', () => (this.unanswered -= 1));
      const relayed = this.accept(request, response);
      relayed.boundary.run(() => this.receive(relayed));
    });
    this.server.on('clientError', (_fault, socket) => socket.destroy());
    this.server.on('connection', (socket) => this.limitUnknown(socket));
    this.unread = new UnreadConnections(this.server);
  }

  /** Number of requests of other daemons that have not been answered in full, and of new connections that may carry one. */
  get active(): number {
    return this.unanswered + this.unread.count;
  }

  /** Listens. A port in use is logged; the daemon then relays nothing. */
  async start(): Promise<void> {
    const { host, port, logger } = this.options;
    try {
      await listen(this.server, host, port);
    } catch (fault) {
      logger.error('relay_port_unavailable', { port, reason: faultText(fault) });
    }
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Limits the connections of hosts that are not the group's. Nothing that comes on them is served. */
  private limitUnknown(socket: Socket): void {
    const { isMember, logger, metrics } = this.options;
    if (isMember(socket.remoteAddress ?? '')) return;
    this.unknownConnections += 1;
    socket.once('close', () => (this.unknownConnections -= 1));
    if (this.unknownConnections <= MAX_UNKNOWN_CONNECTIONS) return;
    metrics.closedConnections.inc({ limit: 'unknown_host' });
    logger.info('connection_closed', { limit: 'unknown_host', peer: socket.remoteAddress });
    socket.destroy();
  }

  private accept(request: http.IncomingMessage, response: http.ServerResponse): RelayedRequest {
    const peer = request.socket.remoteAddress ?? '';
    const id = this.options.dialect.readRequest(request.headers).attemptId;
    // Without an answer, the other daemon takes it that the request may have run.
    const end = (): void => void response.destroy();
    const fields = (): LogFields => ({ request: id, peer });
    const work = { fields, end, abandon: end };
    const boundary = this.options.faults.boundaryOf('relayed_request', work);
    return { request, response, id, peer, startedAt: steadyNow(), boundary };
  }

  private receive(relayed: RelayedRequest): void {
    const { request, response, peer, boundary } = relayed;
    if (!this.options.isMember(peer)) return this.refuse(relayed, undefined, 'rejected');
    const url = request.url ?? '';
    const service = parseReachabilityTarget(url);
    if (service !== undefined) return boundary.watch(this.answerReachability(service, response));
    const target = parseRelayTarget(url);
    if (target === undefined) return this.refuse(relayed, undefined, 'rejected');
    const backend = this.options.directory.getServing(target.backend);
    const refusal = this.refusalFor(backend, Number(request.headers['content-length'] ?? 0));
    if (refusal !== undefined || backend === undefined) {
      return this.refuse(relayed, target.backend, refusal ?? 'backend_unavailable');
    }
    const trailerBytes = mayHaveTrailers(request) ? MAX_HEAD_BYTES : 0;
    const reservation = this.options.requestMemory.open(headBytesOf(request), trailerBytes);
    if (reservation === undefined) return this.refuse(relayed, target.backend, 'busy');
    response.once('close', () => reservation.release());
    this.inFlight += 1;
    this.options.metrics.relaysInFlight.set(this.inFlight);
    response.once('close', () => {
      this.inFlight -= 1;
      this.options.metrics.relaysInFlight.set(this.inFlight);
    });
    // Tells the other daemon that this process runs; its kernel would accept connections in any case.
    response.writeProcessing();
    new RequestBody(request, {
      // Daemons declare the length of each body, so that a longer one is refused before.
      limitBytes: this.options.requestMemory.maxBodyBytes,
      reservation,
      onComplete: boundary.guard((body) => {
        if (!response.destroyed) this.forward(relayed, backend, target.path, body);
      }),
      onRefused: boundary.guard(() => this.refuse(relayed, backend.id, 'busy')),
    });
  }

  private refusalFor(
    backend: BackendRecord | undefined,
    bodyBytes: number,
  ): RelayFailure | undefined {
    const { isDraining, watch, requestMemory } = this.options;
    if (isDraining()) return 'draining';
    if (watch.reachability.isPartitioned) return 'partitioned';
    if (backend === undefined) return 'backend_unavailable';
    if (watch.reachability.isUnreachable(backend.address)) return this.unreachableReason();
    const hasRoom = this.inFlight < this.maxInFlight && bodyBytes <= requestMemory.maxBodyBytes;
    return hasRoom ? undefined : 'busy';
  }

  /** Only a daemon that received from others lately can tell that one backend alone is unreachable. */
  private unreachableReason(): RelayFailure {
    return this.options.watch.reachability.hasRecentContact(steadyNow())
      ? 'backend_unreachable'
      : 'partitioned';
  }

  /** Tells how many backends of a service, of a few that it probes, this daemon reaches. */
  private async answerReachability(service: string, response: http.ServerResponse): Promise<void> {
    const { directory, watch, isDraining } = this.options;
    const addresses = directory.servingBackends(service).map(({ address }) => address);
    sendJson(response, 200, await watch.probeSome(isDraining() ? [] : addresses));
  }

  private forward(
    relayed: RelayedRequest,
    backend: BackendRecord,
    path: string,
    body: Buffer,
  ): void {
    const { request, response, boundary } = relayed;
    const { agent, watch } = this.options;
    const headers = forwardedHeaders(request.rawHeaders, REQUEST_CONNECTION_HEADERS);
    const hasBody = body.length > 0 || request.method === 'POST';
    if (hasBody) headers.push('Content-Length', String(body.length));
    const exchange = new BackendExchange(
      {
        address: backend.address,
        method: request.method ?? 'GET',
        path,
        headers,
        body,
        pool: parseRelayedPool(request.headers[RELAYED_POOL_HEADER]),
      },
      agent,
      {
        onHead: boundary.guard((answer) => {
          const { statusCode = 502, rawHeaders } = answer;
          response.writeHead(statusCode, forwardedHeaders(rawHeaders, DROPPED_ANSWER_HEADERS));
        }),
        onData: boundary.guard((chunk) => {
          if (response.write(chunk)) return;
          exchange.setPaused(true);
          response.once('drain', () => exchange.setPaused(false));
        }),
        onEnd: boundary.guard(() => {
          // The other daemon cannot tell from the end of this answer that the backend has stated no length.
          if (exchange.isHeadOnly) {
            response.destroy();
            return this.ended(relayed, backend.id, 'head_only');
          }
          response.end();
          this.ended(relayed, backend.id, 'answered');
        }),
        onFailure: (failure) => boundary.watch(this.failed(relayed, backend, failure)),
      },
      watch.observeExchange(backend.address),
      steadyNow,
    );
    response.once('close', () => {
      if (!response.writableFinished) exchange.abort();
    });
  }

  private async failed(
    relayed: RelayedRequest,
    backend: BackendRecord,
    failure: ExchangeFailure,
  ): Promise<void> {
    const { response } = relayed;
    // The other daemon must not take a truncated answer for a complete one.
    if (response.headersSent) {
      response.destroy();
      return this.ended(relayed, backend.id, 'connection_lost');
    }
    if (!failure.reached) return this.refuse(relayed, backend.id, this.unreachableReason());
    if (failure.isInvalidAnswer === true) {
      return this.refuse(relayed, backend.id, 'invalid_answer');
    }
    const hasEnded = await this.options.hasEnded(backend);
    this.refuse(relayed, backend.id, hasEnded ? 'backend_ended' : 'connection_lost');
  }

  private refuse(relayed: RelayedRequest, backend: string | undefined, reason: RelayFailure): void {
    const { response, request } = relayed;
    if (!response.headersSent && !response.destroyed) {
      const status = mayHaveReachedBackend(reason) ? 502 : 503;
      response.writeHead(status, { [RELAY_FAILURE_HEADER]: reason, 'content-length': 0 });
      endAfterRequest(response);
    }
    request.resume();
    this.ended(relayed, backend, reason);
  }

  private ended(relayed: RelayedRequest, backend: string | undefined, end: string): void {
    const { id, peer, startedAt } = relayed;
    this.options.metrics.relayedForOthers.inc({ end });
    this.options.logger.info('relayed', {
      request: id,
      peer,
      backend,
      end,
      milliseconds: Math.round(steadyNow() - startedAt),
      inFlight: this.inFlight,
    });
  }
}
