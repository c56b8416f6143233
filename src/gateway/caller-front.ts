/** The callers' side: reads requests within the configured limits and starts their exchanges. */
import http from 'node:http';
import { splitAddress } from '../common/http-client.js';
import { listen } from '../common/http-server.js';
import type { RoutingTable } from '../core/routing-table.js';
import { isStream, type CallerLimits } from '../core/service-configuration.js';
import { CallerAnswer } from './caller-answer.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead } from './ports.js';
import { RequestExchange } from './request-exchange.js';
import { steadyNow } from './steady-clock.js';

/** Heads above this are refused by the parser itself. */
const LARGEST_HEADER_BYTES = 128 * 1024;
const TIMEOUT_CHECK_MS = 500;
/** Hexadecimal digits of a key's digest that logs show. */
const FINGERPRINT_DIGITS = 8;
/** A request's body may take so long. */
const BODY_TIMEOUT_MS = 30_000;

/** Serves callers. */
export class CallerFront {
  private readonly server: http.Server;

  constructor(
    private readonly context: GatewayContext,
    private readonly routing: () => RoutingTable | undefined,
  ) {
    this.server = http.createServer(
      {
        maxHeaderSize: LARGEST_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        requestTimeout: BODY_TIMEOUT_MS,
        noDelay: true,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.on('clientError', (_fault, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
    });
  }

  async start(): Promise<void> {
    const [host, port] = splitAddress(this.context.settings.callers);
    await listen(this.server, host, port);
  }

  /** Puts the configured limits in force. */
  setLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes connections that rest. */
  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Takes no new connections and closes all others. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: http.IncomingMessage, response: http.ServerResponse): void {
    const arrivedAt = steadyNow();
    const head = this.context.dialect.readRequest(request.headers);
    const answer = new CallerAnswer(this.context, head, response);
    const table = this.routing();
    if (table === undefined) return answer.sendError('not_ready', 500);
    if (this.context.refusesRequests()) return answer.sendError('draining', 0);
    const { limits } = table.configuration;
    if (sizeOf(request.rawHeaders) > limits.headerBytes) {
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
    this.readBody(request, limits.bodyBytes, (body) => {
      if (body === undefined) return answer.sendError('body_too_large', undefined);
      this.begin(request, response, answer, { head, body, arrivedAt });
    });
  }

  private begin(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    answer: CallerAnswer,
    read: Pick<RequestExchange['request'], 'head' | 'body' | 'arrivedAt'>,
  ): void {
    const path = request.url ?? '/';
    const table = this.routing();
    const match = table?.match(request.headers.host ?? '', path);
    if (table === undefined || match === undefined) {
      return this.denyRoute(answer, read.head.attemptId, path, table);
    }
    const { rawHeaders, method = 'GET' } = request;
    const caller = { ...read, method, path, rawHeaders };
    if (isStream(match.route)) response.socket?.setNoDelay(true);
    const { version } = table.configuration;
    new RequestExchange(this.context, match, version, caller, response).start();
  }

  /** The first digits of a key's SHA-256 tell an operator whose key it is; the key itself is never written. */
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

  /** A route that this daemon does not know may stand in a newer configuration. */
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

  /** Reads the whole body; undefined if it is over the limit. */
  private readBody(
    request: http.IncomingMessage,
    limit: number,
    done: (body: Buffer | undefined) => void,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    if (Number(request.headers['content-length'] ?? 0) > limit) return done(undefined);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else if (size - chunk.length <= limit) done(undefined);
    });
    request.on('end', () => {
      if (size <= limit) done(Buffer.concat(chunks));
    });
    request.on('error', () => request.destroy());
  }
}

/** Bytes of a head's fields on the wire. */
function sizeOf(rawHeaders: readonly string[]): number {
  let size = 0;
  for (const text of rawHeaders) size += text.length + 2;
  return size;
}
