/** HTTP ports of a gateway daemon for the load balancer's readiness probe and for the operator's metrics. */
import http from 'node:http';
import { ConnectionLimit, LIMITED_SERVER_OPTIONS } from '../common/connection-limit.js';
import { splitAddress } from '../common/http-client.js';
import { endAfterRequest, listen, sendJson } from '../common/http-server.js';
import type { Logger } from '../common/logger.js';
import type { CrashTracker } from './crash-tracker.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewaySettings } from './gateway-settings.js';

/** GET lists the refused requests; DELETE on the path followed by a digest allows that request to be sent to backends again. */
const CRASHING_REQUESTS_PATH = '/crashing-requests';

/** Most connections of each port. */
const MAX_CONNECTIONS = 64;

/** Options of {@link StatusPorts}. */
export interface StatusPortsOptions {
  readonly settings: Pick<GatewaySettings, 'readiness' | 'address' | 'metricsPort'>;
  /** Path of the load balancer's readiness probe. */
  readonly readinessPath: string;
  /** Whether the daemon accepts new connections. */
  readonly isReady: () => boolean;
  readonly metrics: Pick<GatewayMetrics, 'registry' | 'closedConnections'>;
  /** Updates the metrics that are computed only when they are scraped. */
  readonly refreshMetrics: () => void;
  readonly crashes: Pick<CrashTracker, 'refusedRequests' | 'lift'>;
  readonly logger: Logger;
}

/** HTTP servers of the readiness port and the metrics port. */
export class StatusPorts {
  private readonly readiness: http.Server;
  private readonly metrics: http.Server;

  constructor(private readonly options: StatusPortsOptions) {
    this.readiness = http.createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
      this.handleReadiness(request, response);
    });
    this.metrics = http.createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
      this.handleOperator(request, response);
    });
    this.limitConnections('readiness', this.readiness);
    this.limitConnections('metrics', this.metrics);
  }

  async start(): Promise<void> {
    const { readiness, address, metricsPort } = this.options.settings;
    const [host, port] = splitAddress(readiness);
    await listen(this.readiness, host, port);
    if (metricsPort > 0) await listen(this.metrics, address, metricsPort);
  }

  stop(): void {
    this.readiness.close();
    this.metrics.close();
  }

  private limitConnections(port: string, server: http.Server): void {
    const { logger, metrics } = this.options;
    new ConnectionLimit(server, {
      maxConnections: MAX_CONNECTIONS,
      maxWaiting: () => MAX_CONNECTIONS,
      refuseRequest: () => false,
      answerHead: () => {},
      onClosed: (limit, connections) => {
        metrics.closedConnections.inc({ limit });
        logger.info('connection_closed', { limit, connections, port });
      },
    });
  }

  private handleReadiness(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { readinessPath, isReady } = this.options;
    const isProbe = request.url === readinessPath;
    response.writeHead(isProbe && isReady() ? 200 : isProbe ? 503 : 404, { 'content-length': 0 });
    endAfterRequest(response);
  }

  /** Serves metrics under every path except that of the requests that are refused because they have crashed backends. */
  private handleOperator(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { crashes } = this.options;
    const path = request.url ?? '';
    if (!path.startsWith(CRASHING_REQUESTS_PATH)) return void this.sendMetrics(response);
    if (request.method === 'GET') return sendJson(response, 200, crashes.refusedRequests());
    if (request.method !== 'DELETE') return sendJson(response, 405, {});
    const isLifted = crashes.lift(path.slice(CRASHING_REQUESTS_PATH.length + 1));
    sendJson(response, isLifted ? 200 : 404, {});
  }

  private async sendMetrics(response: http.ServerResponse): Promise<void> {
    const { metrics, refreshMetrics } = this.options;
    const { registry } = metrics;
    refreshMetrics();
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    endAfterRequest(response, text);
  }
}
