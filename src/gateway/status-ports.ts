/** The ports on which a gateway daemon tells the entry whether it is ready, and an operator its metrics. */
import http from 'node:http';
import type { Registry } from 'prom-client';
import { splitAddress } from '../common/http-client.js';
import { listen, sendJson } from '../common/http-server.js';
import type { CrashWatch } from './crash-watch.js';
import type { GatewaySettings } from './gateway-settings.js';

/** GET lists them; DELETE with the digest of one behind it has it sent to backends again. */
const CRASHING_REQUESTS = '/crashing-requests';

/** Options of {@link StatusPorts}. */
export interface StatusPortsOptions {
  readonly settings: Pick<GatewaySettings, 'readiness' | 'address' | 'metricsPort'>;
  /** Path at which the entry asks. */
  readonly readinessPath: string;
  /** Whether new connections are wanted. */
  readonly isReady: () => boolean;
  readonly registry: Registry;
  /** Sets the metrics that are worked out when they are asked for. */
  readonly refreshMetrics: () => void;
  readonly crashes: Pick<CrashWatch, 'refusedRequests' | 'lift'>;
}

/** Both ports. */
export class StatusPorts {
  private readonly readiness: http.Server;
  private readonly metrics: http.Server;

  constructor(private readonly options: StatusPortsOptions) {
    this.readiness = http.createServer((request, response) => {
      this.answerReadiness(request, response);
    });
    this.metrics = http.createServer((request, response) => this.answerOperator(request, response));
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

  private answerReadiness(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { readinessPath, isReady } = this.options;
    const asked = request.url === readinessPath;
    response.writeHead(asked && isReady() ? 200 : asked ? 503 : 404, { 'content-length': 0 });
    response.end();
  }

  /** Metrics under any path but that of the requests which are refused because backends have crashed under them. */
  private answerOperator(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { crashes } = this.options;
    const path = request.url ?? '';
    if (!path.startsWith(CRASHING_REQUESTS)) return void this.answerMetrics(response);
    if (request.method === 'GET') return sendJson(response, 200, crashes.refusedRequests());
    if (request.method !== 'DELETE') return sendJson(response, 405, {});
    const isLifted = crashes.lift(path.slice(CRASHING_REQUESTS.length + 1));
    sendJson(response, isLifted ? 200 : 404, {});
  }

  private async answerMetrics(response: http.ServerResponse): Promise<void> {
    const { registry, refreshMetrics } = this.options;
    refreshMetrics();
    const text = await registry.metrics();
    response.writeHead(200, { 'content-type': registry.contentType });
    response.end(text);
  }
}
